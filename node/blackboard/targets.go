package blackboard

import (
	"math"
	"slices"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/engine"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
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
	notices *forward.Notices
}

type targetPool struct {
	name      string
	model     string
	targets   []routing.Target
	states    []*targetState
	index     map[string]int
	refreshed time.Time
	short     shortRate
	// timing is what the engines' work costs; nil where it is not known.
	timing *engine.Timing
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
	id      string
	address string
	started int64 // when its process started, in Unix milliseconds; zero where it is not told
	pool    *targetPool
	index   int
	listed  routing.State // the host list's word
	silent  int           // reports missed in a row
	leaving bool          // the word of its last report
	// saidLeaving is the target's word beside an answer to a call.
	saidLeaving bool
	// limiter keeps to the limit that the target has named; nil where it names none.
	limiter  *forward.RateLimiter
	report   target.LoadReport
	reportAt time.Time    // when the report was true, by this daemon's clock
	since    routing.Load // own work sent after reportAt
	ended    routing.Load // own work ended after reportAt, sent before
	calls    map[string]*ownCall
	breaker  admission.Breaker
	reserved string
	failures int64
	trouble  trouble
	reading  readingState
	setAside int64     // tokens of memory for calls that other targets answer
	suspect  time.Time // until when nothing is sent to it, after it turned a call away
	pace     pace
}

// trouble is a decaying count of failed calls.
type trouble struct {
	count float64
	at    time.Time
}

// troubleTime is the time over which a failed call is forgotten.
const troubleTime = 4 * time.Second

func (t *trouble) now(at time.Time) float64 {
	if t.count == 0 {
		return 0
	}
	return t.count * math.Exp(-at.Sub(t.at).Seconds()/troubleTime.Seconds())
}

func (t *trouble) add(at time.Time) {
	t.count = t.now(at) + 1
	t.at = at
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
		calls: map[string]*ownCall{}, notices: forward.NewNotices(),
	}
}

// Sync takes over the host list and the pools of a settings tree. What is known
// of targets that stay is kept, unless their process started anew.
func (t *TargetTable) Sync(hosts []hostlist.Host, tree *settings.Tree, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notices.RemoveExpired(at)
	pools := map[string]*targetPool{}
	byID := map[string]*targetState{}
	for _, h := range hosts {
		pool := tree.Pool(h.Pool)
		if h.Role != hostlist.RoleTarget || pool == nil {
			continue
		}
		p := pools[pool.Name]
		if p == nil {
			p = &targetPool{name: pool.Name, model: pool.Model, index: map[string]int{}, timing: pool.Timing}
			if old := t.pools[pool.Name]; old != nil {
				p.short = old.short
			}
			pools[pool.Name] = p
		}
		s := t.byID[h.ID]
		if s != nil && s.startedAnew(h.Incarnation) {
			s.endCallsBefore(h.Incarnation)
			s = nil
		}
		if s == nil || s.address != h.Address {
			s = &targetState{id: h.ID, address: h.Address, calls: map[string]*ownCall{}}
		}
		s.started = max(s.started, h.Incarnation)
		t.notices.UpdateTarget(h.ID, h.Address, h.Incarnation)
		t.recallNotices(s, at)
		s.listed = routing.Live
		if h.State == hostlist.Leaving {
			s.listed = routing.Draining
		}
		slots := pool.Kind.MaxConcurrent
		if h.Slots > 0 {
			slots = h.Slots
		}
		p.add(s, routing.Target{
			ID:            h.ID,
			DataCentre:    h.DataCentre,
			Region:        h.Region,
			MemoryTokens:  pool.Kind.MemoryTokens,
			PrefillRate:   pool.Kind.PrefillTokensPerSecond,
			MaxConcurrent: slots,
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
	view.BreakerOpen = s.breaker.Open(at) || at.Before(s.suspect)
	view.ReservedFor = s.reserved
	view.Unloaded = s.pool.model != "" && len(s.report.Models) > 0 && !slices.Contains(s.report.Models, s.pool.model)
	view.ReportAge = 0
	reported := routing.Load{}
	if !s.reportAt.IsZero() {
		view.ReportAge = at.Sub(s.reportAt)
		reported = reportedLoad(&s.report, view.PrefillRate, view.ReportAge)
	}
	view.Load = reported.Sub(s.ended).Add(s.since)
	view.RateLimit = rateLimit(s.limiter, at)
	s.refreshTimed(view, at)
	view.Slowdown = s.pace.now(at)
	view.RecentFailures = s.trouble.now(at)
	if s.report.MemoryTokens > 0 {
		view.MemoryTokens = s.report.MemoryTokens
	}
}

func (s *targetState) state() routing.State {
	switch {
	case s.silent >= maxSilent:
		return routing.Unavailable
	case s.listed == routing.Draining || s.leaving || s.saidLeaving:
		return routing.Draining
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
	if s.silent >= maxSilent {
		for _, c := range s.calls {
			c.gone, c.told = make(chan struct{}), false // Those that still wait were told already.
		}
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

// Silent records that a target did not answer when asked for its report.
func (t *TargetTable) Silent(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return
	}
	s.silent++
	s.refresh(at)
	if s.silent != maxSilent {
		return
	}
	// A frozen target keeps its connections open: whoever waits there is told.
	for _, c := range s.calls {
		c.endGone()
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
