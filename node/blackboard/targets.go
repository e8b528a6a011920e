package blackboard

import (
	"math"
	"slices"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/platform"
	"doorstack.dev/node/target"
)

// TargetTable holds what this daemon believes of each target: the host list's
// word, the last report, its own work since, and the breaker.
type TargetTable struct {
	mu      Mutex
	pools   map[string]*targetPool
	byID    map[string]*targetState
	calls   map[string]*ownCall
	scratch routing.Scratch
}

type targetPool struct {
	name      string
	model     string
	targets   []routing.Target
	states    []*targetState
	index     map[string]int
	refreshed time.Time
	short     shortRate
}

// shortRate is a decaying average of the short prompts' tokens that this daemon
// placed, from which follows how many targets they need.
type shortRate struct {
	tokens float64
	at     time.Time
}

// shortRateTime is the time over which the average is taken.
const shortRateTime = 10 * time.Second

func (r *shortRate) add(tokens int64, at time.Time) {
	r.decay(at)
	r.tokens += float64(tokens)
}

func (r *shortRate) decay(at time.Time) {
	if elapsed := at.Sub(r.at); elapsed > 0 {
		r.tokens *= math.Exp(-elapsed.Seconds() / shortRateTime.Seconds())
		r.at = at
	}
}

// perSecond is the average in tokens a second.
func (r *shortRate) perSecond(at time.Time) float64 {
	r.decay(at)
	return r.tokens / shortRateTime.Seconds()
}

type targetState struct {
	id       string
	address  string
	pool     *targetPool
	index    int
	listed   routing.State // the host list's word
	silent   int           // reports missed in a row
	leaving  bool          // the target's own word
	report   target.LoadReport
	reportAt time.Time    // when the report was true, by this daemon's clock
	since    routing.Load // own work sent after reportAt
	ended    routing.Load // own work ended after reportAt, sent before
	calls    map[string]*ownCall
	breaker  admission.Breaker
	reserved string
	failures int64
}

// ownCall is a call of this daemon to a target.
type ownCall struct {
	id    string
	state *targetState
	load  routing.Load
	sent  time.Time
	read  bool // the prompt has been read: the first token came
}

// maxSilent is the number of reports missed in a row after which a target is
// taken to be gone.
const maxSilent = 3

// refreshEvery is how often a pool's loads are worked out again from the age of
// their reports.
const refreshEvery = 10 * time.Millisecond

func newTargetTable() *TargetTable {
	return &TargetTable{
		mu:    NewMutex(RankTargets),
		pools: map[string]*targetPool{},
		byID:  map[string]*targetState{},
		calls: map[string]*ownCall{},
	}
}

// Sync takes over the host list and the pools of a settings tree. What is known
// of targets that stay is kept.
func (t *TargetTable) Sync(hosts []platform.Host, tree *settings.Tree, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pools := map[string]*targetPool{}
	byID := map[string]*targetState{}
	for _, h := range hosts {
		pool := tree.Pool(h.Pool)
		if h.Role != platform.RoleTarget || pool == nil {
			continue
		}
		p := pools[pool.Name]
		if p == nil {
			p = &targetPool{name: pool.Name, model: pool.Model, index: map[string]int{}}
			if old := t.pools[pool.Name]; old != nil {
				p.short = old.short
			}
			pools[pool.Name] = p
		}
		s := t.byID[h.ID]
		if s == nil || s.address != h.Address {
			s = &targetState{id: h.ID, address: h.Address, calls: map[string]*ownCall{}}
		}
		s.listed = routing.Live
		if h.State == platform.HostLeaving {
			s.listed = routing.Leaving
		}
		p.add(s, routing.Target{
			ID:            h.ID,
			DataCentre:    h.DataCentre,
			Region:        h.Region,
			MemoryTokens:  pool.Kind.MemoryTokens,
			PrefillRate:   pool.Kind.PrefillTokensPerSecond,
			MaxConcurrent: pool.Kind.MaxConcurrent,
		})
		byID[h.ID] = s
	}
	t.pools, t.byID = pools, byID
	for _, p := range pools {
		p.refresh(at)
	}
}

func (p *targetPool) add(s *targetState, view routing.Target) {
	s.pool, s.index = p, len(p.targets)
	p.index[s.id] = s.index
	p.targets = append(p.targets, view)
	p.states = append(p.states, s)
}

func (p *targetPool) refresh(at time.Time) {
	p.refreshed = at
	for _, s := range p.states {
		s.refresh(at)
	}
}

// refresh works out the target's view for routing. The report's backlog shrinks
// by what the engine reads in the report's age; own later work stands on top.
func (s *targetState) refresh(at time.Time) {
	view := &s.pool.targets[s.index]
	view.State = s.state()
	view.BreakerOpen = s.breaker.Open(at)
	view.ReservedFor = s.reserved
	view.Unloaded = s.pool.model != "" && len(s.report.Models) > 0 && !slices.Contains(s.report.Models, s.pool.model)
	view.ReportAge = 0
	reported := routing.Load{}
	if !s.reportAt.IsZero() {
		view.ReportAge = at.Sub(s.reportAt)
		reported = reportedLoad(&s.report, view.PrefillRate, view.ReportAge)
	}
	view.Load = reported.Sub(s.ended).Add(s.since)
	if s.report.MemoryTokens > 0 {
		view.MemoryTokens = s.report.MemoryTokens
	}
}

func (s *targetState) state() routing.State {
	switch {
	case s.silent >= maxSilent:
		return routing.Gone
	case s.listed == routing.Leaving || s.leaving:
		return routing.Leaving
	default:
		return routing.Live
	}
}

func reportedLoad(r *target.LoadReport, rate float64, age time.Duration) routing.Load {
	drained := int64(rate * age.Seconds())
	return routing.Load{
		Requests:      r.Running + r.Waiting,
		MemoryTokens:  r.UsedTokens,
		BacklogTokens: max(0, r.BacklogTokens-drained),
		LongPrefills:  r.LongPrefills,
	}
}

// Report takes over a load report received at the given time.
func (t *TargetTable) Report(id string, r target.LoadReport, received time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return
	}
	s.silent = 0
	s.leaving = r.Leaving
	reportAt := received.Add(-r.Age)
	if reportAt.Before(s.reportAt) {
		return // An older one that was overtaken.
	}
	s.report, s.reportAt = r, reportAt
	s.since, s.ended = routing.Load{}, routing.Load{}
	for _, c := range s.calls {
		if c.sent.After(reportAt) {
			s.since = s.since.Add(c.remaining())
		}
	}
	s.refresh(received)
}

// remaining is the load of a call, less its prompt once that has been read.
func (c *ownCall) remaining() routing.Load {
	if !c.read {
		return c.load
	}
	return routing.Load{Requests: c.load.Requests, MemoryTokens: c.load.MemoryTokens}
}

// Silent records that a target did not answer when asked for its report.
func (t *TargetTable) Silent(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		s.silent++
		s.refresh(at)
	}
}

// Void makes all reports count as unknown, after a pause of the process.
func (t *TargetTable) Void(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		s.report, s.reportAt = target.LoadReport{}, time.Time{}
		s.since, s.ended = routing.Load{}, routing.Load{}
		for _, c := range s.calls {
			s.since = s.since.Add(c.remaining())
		}
		s.refresh(at)
	}
}

// Placement is a target taken for a call.
type Placement struct {
	Decision routing.Decision
	// Attempt is the id of the call; Address is the target's host:port.
	Attempt, Address string
	// Reported is the target's last word on what it holds.
	At time.Time
}

// Place decides where a request goes and, where there is room, counts it there
// under the attempt id, in one step, so that the next decision sees it.
func (t *TargetTable) Place(pool, attempt string, r *routing.Request, p *routing.Params, holders []Holder, at time.Time) Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	tp := t.pools[pool]
	if tp == nil {
		return Placement{Decision: routing.Decision{Request: *r, Params: *p, Verdict: routing.None}, At: at}
	}
	if at.Sub(tp.refreshed) >= refreshEvery {
		tp.refresh(at)
	}
	r.Cached = cachedPrefixes(holders, tp.index)
	d := t.scratch.Decide(r, p, tp.targets)
	placement := Placement{Decision: d, Attempt: attempt, At: at}
	if d.Verdict != routing.Place {
		return placement
	}
	s := tp.states[tp.index[d.Chosen]]
	placement.Address = s.address
	load := loadOf(r, p, d.Chosen, holders)
	if load.LongPrefills == 0 {
		tp.short.add(load.BacklogTokens, at)
	}
	t.begin(s, attempt, load, at)
	return placement
}

// loadOf is the load that a request puts on the target.
func loadOf(r *routing.Request, p *routing.Params, id string, holders []Holder) routing.Load {
	backlog := r.PromptTokens
	for _, h := range holders {
		if h.Target == id {
			backlog = max(0, backlog-h.Tokens)
		}
	}
	load := routing.Load{Requests: 1, MemoryTokens: r.MemoryTokens(), BacklogTokens: backlog}
	if p.IsLong(r.PromptTokens) {
		load.LongPrefills = 1
	}
	return load
}

func (t *TargetTable) begin(s *targetState, attempt string, load routing.Load, at time.Time) {
	c := &ownCall{id: attempt, state: s, load: load, sent: at}
	t.calls[attempt] = c
	s.calls[attempt] = c
	s.since = s.since.Add(load)
	s.breaker.Sent()
	s.refresh(at)
}

// Occupy counts a part of a group at a target, chosen by the caller.
func (t *TargetTable) Occupy(id, attempt string, load routing.Load, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		t.begin(s, attempt, load, at)
	}
}

// PromptRead records that a call's prompt has been read.
func (t *TargetTable) PromptRead(attempt string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[attempt]
	if c == nil || c.read {
		return
	}
	c.read = true
	s := c.state
	gone := routing.Load{BacklogTokens: c.load.BacklogTokens, LongPrefills: c.load.LongPrefills}
	if c.sent.After(s.reportAt) {
		s.since = s.since.Sub(gone)
	} else {
		// The report's backlog is aged by itself; only the count is corrected.
		s.ended = s.ended.Add(routing.Load{LongPrefills: gone.LongPrefills})
	}
	s.refresh(at)
}

// CallResult says what a call's end tells about the target.
type CallResult int

// The results of calls.
const (
	// CallSucceeded means that the target did its part.
	CallSucceeded CallResult = iota
	// CallFailed means that the target failed.
	CallFailed
	// CallCancelled says nothing of the target.
	CallCancelled
)

// Finish ends a call.
func (t *TargetTable) Finish(attempt string, result CallResult, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[attempt]
	if c == nil {
		return
	}
	delete(t.calls, attempt)
	s := c.state
	delete(s.calls, attempt)
	if c.sent.After(s.reportAt) {
		s.since = s.since.Sub(c.remaining())
	} else {
		s.ended = s.ended.Add(c.remaining())
	}
	switch result {
	case CallSucceeded:
		s.breaker.Succeeded()
	case CallFailed:
		s.failures++
		s.breaker.Failed(at)
	case CallCancelled:
		s.breaker.Cancelled()
	}
	s.refresh(at)
}

// Reserve keeps a target for a long request; "" ends that.
func (t *TargetTable) Reserve(id, request string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		s.reserved = request
		s.refresh(at)
	}
}

// Unreserve frees any target kept for a request.
func (t *TargetTable) Unreserve(request string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		if s.reserved == request {
			s.reserved = ""
			s.refresh(at)
		}
	}
}

// Views returns a copy of the targets of a pool as routing sees them.
func (t *TargetTable) Views(pool string, at time.Time) []routing.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return nil
	}
	p.refresh(at)
	return slices.Clone(p.targets)
}

// Capacity is the number of live targets of a pool and their prefill rate.
type Capacity struct {
	Live int
	Rate float64
	// LargestMemory is the largest memory of a live target, in tokens.
	LargestMemory int64
	// TargetRate is the fastest live target's rate.
	TargetRate float64
	// ShortRate is what this daemon's short prompts take of it, tokens a second.
	ShortRate float64
}

// Capacity sums the live targets of a pool.
func (t *TargetTable) Capacity(pool string, at time.Time) Capacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Capacity
	p := t.pools[pool]
	if p == nil {
		return c
	}
	c.ShortRate = p.short.perSecond(at)
	for i := range p.targets {
		v := &p.targets[i]
		if v.State != routing.Live {
			continue
		}
		c.Live++
		c.Rate += v.PrefillRate
		c.TargetRate = max(c.TargetRate, v.PrefillRate)
		c.LargestMemory = max(c.LargestMemory, v.MemoryTokens)
	}
	return c
}

// TargetAddress is a target and where it listens.
type TargetAddress struct {
	ID, Pool, Address string
	// Engine is true for model engines.
	Engine bool
	// Reservations are what the target last reported to hold.
	Reservations []target.Reservation
	Fence        int64
	Models       []string
}

// Addresses lists all targets.
func (t *TargetTable) Addresses() []TargetAddress {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]TargetAddress, 0, len(t.byID))
	for _, s := range t.byID {
		list = append(list, TargetAddress{
			ID:           s.id,
			Pool:         s.pool.name,
			Address:      s.address,
			Engine:       s.pool.targets[s.index].PrefillRate > 0,
			Reservations: s.report.Reservations,
			Fence:        s.report.Fence,
			Models:       s.report.Models,
		})
	}
	slices.SortFunc(list, func(a, b TargetAddress) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// Address finds where a target listens.
func (t *TargetTable) Address(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		return s.address
	}
	return ""
}

// TargetStatus is a target as operators see it.
type TargetStatus struct {
	Pool     string         `json:"pool"`
	Address  string         `json:"address"`
	View     routing.Target `json:"view"`
	Failures int64          `json:"failures"`
	OwnCalls int            `json:"own_calls"`
}

// Status lists all targets by pool and id.
func (t *TargetTable) Status(at time.Time) []TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []TargetStatus
	for _, p := range t.pools {
		p.refresh(at)
		for i, s := range p.states {
			list = append(list, TargetStatus{Pool: p.name, Address: s.address, View: p.targets[i], Failures: s.failures, OwnCalls: len(s.calls)})
		}
	}
	slices.SortFunc(list, func(a, b TargetStatus) int {
		if a.Pool+"/"+a.View.ID < b.Pool+"/"+b.View.ID {
			return -1
		}
		return 1
	})
	return list
}
