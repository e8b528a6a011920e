package routing

// Filter names the rule that took a target out.
type Filter string

// The filters, in the order in which they are asked. The first three are about
// the target itself; the later ones are about room, so a request that only they
// reject waits instead of failing.
const (
	FilterState       Filter = "state"
	FilterExcluded    Filter = "excluded"
	FilterBreaker     Filter = "breaker"
	FilterUnloaded    Filter = "unloaded"
	FilterConcurrency Filter = "concurrency"
	FilterLimit       Filter = "limit"
	FilterMemory      Filter = "memory"
	FilterBacklog     Filter = "backlog"
	FilterLong        Filter = "long_capacity"
	FilterReserved    Filter = "reserved"
)

// memoryLimit tells whether the filter rejects a target that works but takes no call more: it may read a part
// of a prompt that another one answers.
func (f Filter) lacksRoom() bool {
	return f == FilterMemory || f == FilterConcurrency || f == FilterLimit
}

// Rejections counts the targets taken out by each filter.
type Rejections struct {
	State       int `json:"state,omitempty"`
	Excluded    int `json:"excluded,omitempty"`
	Breaker     int `json:"breaker,omitempty"`
	Unloaded    int `json:"unloaded,omitempty"`
	Concurrency int `json:"concurrency,omitempty"`
	Limit       int `json:"limit,omitempty"`
	Memory      int `json:"memory,omitempty"`
	Backlog     int `json:"backlog,omitempty"`
	Long        int `json:"long_capacity,omitempty"`
	Reserved    int `json:"reserved,omitempty"`
}

// waitable is the number of targets that only lacked room.
func (r *Rejections) temporary() int {
	return r.Concurrency + r.Limit + r.Memory + r.Backlog + r.Long + r.Reserved
}

// count adds one and returns the new count of the filter.
func (r *Rejections) count(f Filter) int {
	n := r.counter(f)
	*n++
	return *n
}

func (r *Rejections) counter(f Filter) *int {
	switch f {
	case FilterState:
		return &r.State
	case FilterExcluded:
		return &r.Excluded
	case FilterBreaker:
		return &r.Breaker
	case FilterUnloaded:
		return &r.Unloaded
	case FilterConcurrency:
		return &r.Concurrency
	case FilterLimit:
		return &r.Limit
	case FilterMemory:
		return &r.Memory
	case FilterBacklog:
		return &r.Backlog
	case FilterLong:
		return &r.Long
	default:
		return &r.Reserved
	}
}

// filter returns the first filter that rejects the target, or "".
func filter(r *Request, p *Params, long bool, longHolders int, t *Target) Filter {
	switch {
	case t.State != Live:
		return FilterState
	case t.BreakerOpen:
		return FilterBreaker
	case t.Unloaded:
		return FilterUnloaded
	case len(r.Exclude) > 0 && excluded(r, t.ID):
		return FilterExcluded
	case t.MaxConcurrent > 0 && t.Load.Requests >= t.MaxConcurrent:
		return FilterConcurrency
	case t.rateLimited(r):
		return FilterLimit
	case t.MemoryTokens == 0:
		return "" // A plain service has no memory and reads no prompt.
	case t.Load.MemoryTokens+r.MemoryTokens() > memoryLimit(p, long, t.MemoryTokens):
		return FilterMemory
	case t.ReservedFor != "" && t.ReservedFor != r.ID:
		return FilterReserved
	case long && !longPrefillFits(p, longHolders, t):
		return FilterLong
	case !long && float64(t.Load.BacklogTokens) > p.MaxBacklog*t.PrefillRate && t.Load.LongPrefills == 0:
		return FilterBacklog
	}
	return ""
}

// memoryLimit is the memory that a request may fill up to. Long requests leave the
// headroom free, so that short ones find a place beside them.
func memoryLimit(p *Params, long bool, memory int64) int64 {
	if long {
		return int64(float64(memory) * (1 - p.MemoryHeadroom))
	}
	return memory
}

// longPrefillFits tells whether one more long prefill may go to the target: it must
// have a place left, and if it holds none yet, the pool must allow one more
// target to hold some.
func longPrefillFits(p *Params, longHolders int, t *Target) bool {
	if t.Load.LongPrefills >= p.LongPerTarget {
		return false
	}
	return t.Load.LongPrefills > 0 || longHolders < p.LongTargets
}

func excluded(r *Request, id string) bool {
	for _, e := range r.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

// RejectionCount is the number of targets that a filter took out.
type RejectionCount struct {
	Filter Filter
	Count  int
}

// Counts lists the rejections by filter, in the order of the filters.
func (r *Rejections) Counts() []RejectionCount {
	filters := []Filter{FilterState, FilterExcluded, FilterBreaker, FilterUnloaded, FilterConcurrency, FilterLimit, FilterMemory, FilterBacklog, FilterLong, FilterReserved}
	counts := make([]RejectionCount, 0, len(filters))
	for _, f := range filters {
		counts = append(counts, RejectionCount{Filter: f, Count: *r.counter(f)})
	}
	return counts
}
