package routing

// Filter names the rule that rejected a target.
type Filter string

// The filters. The first six concern the target itself; the later ones concern
// capacity, so a request that is rejected only by them waits instead of failing.
const (
	FilterState       Filter = "state"
	FilterEvacuated   Filter = "evacuated"
	FilterHome        Filter = "home"
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

// lacksRoom reports whether the filter rejects a working target only because it takes no more calls:
// it can still prefill a part of a prompt that another target answers.
func (f Filter) lacksRoom() bool {
	return f == FilterMemory || f == FilterConcurrency || f == FilterLimit
}

// Rejections counts the targets that each filter rejected.
type Rejections struct {
	State       int `json:"state,omitempty"`
	Evacuated   int `json:"evacuated,omitempty"`
	Home        int `json:"home,omitempty"`
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

// temporary returns the number of targets that were rejected only for lack of capacity.
func (r *Rejections) temporary() int {
	return r.Concurrency + r.Limit + r.Memory + r.Backlog + r.Long + r.Reserved
}

// Blocked reports whether the decision found no target because every one is evacuated, in a region
// where the request may not run, draining or gone, and not all are draining or gone. Only the
// operators can end that, so waiting for a target is pointless.
func (d *Decision) Blocked() bool {
	r := &d.Rejections
	return d.Verdict == None && r.Evacuated+r.Home > 0 && r.Evacuated+r.Home+r.State == d.Considered
}

// count adds one rejection by the filter and returns the new count.
func (r *Rejections) count(f Filter) int {
	n := r.counter(f)
	*n++
	return *n
}

func (r *Rejections) counter(f Filter) *int {
	switch f {
	case FilterState:
		return &r.State
	case FilterEvacuated:
		return &r.Evacuated
	case FilterHome:
		return &r.Home
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
	if f := targetFilter(r, t); f != "" {
		return f
	}
	switch {
	case t.MemoryTokens == 0:
		return "" // A plain service has no KV cache and prefills no prompt.
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

// targetFilter returns the first filter that rejects the target for reasons other than the memory and the
// processing time of prompts, or "".
func targetFilter(r *Request, t *Target) Filter {
	switch {
	case t.State != Live:
		return stateFilter(t.State)
	case !r.allowsRegion(t.Region):
		return FilterHome
	case t.BreakerOpen:
		return FilterBreaker
	case t.Unloaded:
		return FilterUnloaded
	case excluded(r, t.ID):
		return FilterExcluded
	case t.full():
		return FilterConcurrency
	case t.rateLimited(r):
		return FilterLimit
	}
	return ""
}

// stateFilter returns the filter that rejects a target in a state other than Live.
func stateFilter(s State) Filter {
	if s == Evacuated {
		return FilterEvacuated
	}
	return FilterState
}

// memoryLimit returns the memory, in tokens, up to which the request may fill a target.
// Long requests leave the headroom free, so that short ones fit beside them.
func memoryLimit(p *Params, long bool, memory int64) int64 {
	if long {
		return int64(float64(memory) * (1 - p.MemoryHeadroom))
	}
	return memory
}

// longPrefillFits reports whether one more long prefill may go to the target: it must
// be below the limit per target, and if it has no long prefill yet, the pool must be
// below its limit of targets with long prefills.
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

// RejectionCount is the number of targets that a filter rejected.
type RejectionCount struct {
	Filter Filter
	Count  int
}

// Counts returns the rejections by filter, in the order of the filters.
func (r *Rejections) Counts() []RejectionCount {
	filters := []Filter{FilterState, FilterEvacuated, FilterHome, FilterExcluded, FilterBreaker, FilterUnloaded, FilterConcurrency, FilterLimit, FilterMemory, FilterBacklog, FilterLong, FilterReserved}
	counts := make([]RejectionCount, 0, len(filters))
	for _, f := range filters {
		counts = append(counts, RejectionCount{Filter: f, Count: *r.counter(f)})
	}
	return counts
}
