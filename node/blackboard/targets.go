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
	calls   map[string]*activeCall
	scratch routing.Scratch
	notices *forward.Notices
}

type targetPool struct {
	name         string
	model        string
	targets      []routing.Target
	states       []*targetState
	index        map[string]int
	refreshed    time.Time
	shortPrompts shortPromptRate
	// timing is what the engines' work costs; nil where it is not known.
	timing *engine.Timing
}

// shortPromptRate is a decaying average of the short prompts' tokens that this daemon
// placed, from which follows how many targets they need.
type shortPromptRate struct {
	tokens float64
	at     time.Time
}

// shortPromptRateWindow is the time over which the average is taken.
const shortPromptRateWindow = 10 * time.Second

func (r *shortPromptRate) add(tokens int64, at time.Time) {
	r.decay(at)
	r.tokens += float64(tokens)
}

func (r *shortPromptRate) decay(at time.Time) {
	if elapsed := at.Sub(r.at); elapsed > 0 {
		r.tokens *= math.Exp(-elapsed.Seconds() / shortPromptRateWindow.Seconds())
		r.at = at
	}
}

// perSecond is the average in tokens a second.
func (r *shortPromptRate) perSecond(at time.Time) float64 {
	r.decay(at)
	return r.tokens / shortPromptRateWindow.Seconds()
}

type targetState struct {
	id              string
	address         string
	incarnation     int64 // when its process started, in Unix milliseconds; zero where it is not told
	pool            *targetPool
	index           int
	listed          routing.State // the host list's word
	missedReports   int           // reports missed in a row
	reportsDraining bool          // the word of its last report
	// saidLeaving is the target's word beside an answer to a call.
	drainNoticed bool
	// limiter keeps to the limit that the target has named; nil where it names none.
	limiter          *forward.RateLimiter
	report           target.LoadReport
	reportAt         time.Time    // when the report was true, by this daemon's clock
	loadSinceReport  routing.Load // own work sent after reportAt
	endedSinceReport routing.Load // own work ended after reportAt, sent before
	calls            map[string]*activeCall
	breaker          admission.Breaker
	reservedFor      string
	failures         int64
	recentFailures   failureCount
	prefill          prefillState
	reservedTokens   int64     // tokens of memory for calls that other targets answer
	suspectUntil     time.Time // until when nothing is sent to it, after it turned a call away
	slowdown         slowdownReport
}

// failureCount is a decaying count of failed calls.
type failureCount struct {
	count float64
	at    time.Time
}

// failureDecayTime is the time over which a failed call is forgotten.
const failureDecayTime = 4 * time.Second

func (t *failureCount) valueAt(at time.Time) float64 {
	if t.count == 0 {
		return 0
	}
	return t.count * math.Exp(-at.Sub(t.at).Seconds()/failureDecayTime.Seconds())
}

func (t *failureCount) add(at time.Time) {
	t.count = t.valueAt(at) + 1
	t.at = at
}

// maxMissedReports is the number of reports missed in a row after which a target is
// taken to be gone.
const maxMissedReports = 3

// refreshInterval is how often a pool's loads are worked out again from the age of
// their reports.
const refreshInterval = 10 * time.Millisecond

func newTargetTable() *TargetTable {
	return &TargetTable{
		mu:    NewMutex(RankTargets),
		pools: map[string]*targetPool{},
		byID:  map[string]*targetState{},
		calls: map[string]*activeCall{}, notices: forward.NewNotices(),
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
				p.shortPrompts = old.shortPrompts
			}
			pools[pool.Name] = p
		}
		s := t.byID[h.ID]
		if s != nil && s.restarted(h.Incarnation) {
			s.endCallsSentBefore(h.Incarnation)
			s = nil
		}
		if s == nil || s.address != h.Address {
			s = &targetState{id: h.ID, address: h.Address, calls: map[string]*activeCall{}}
		}
		s.incarnation = max(s.incarnation, h.Incarnation)
		t.notices.UpdateTarget(h.ID, h.Address, h.Incarnation)
		t.applyNotices(s, at)
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
	view.BreakerOpen = s.breaker.Open(at) || at.Before(s.suspectUntil)
	view.ReservedFor = s.reservedFor
	view.Unloaded = s.pool.model != "" && len(s.report.Models) > 0 && !slices.Contains(s.report.Models, s.pool.model)
	view.ReportAge = 0
	reported := routing.Load{}
	if !s.reportAt.IsZero() {
		view.ReportAge = at.Sub(s.reportAt)
		reported = reportedLoad(&s.report, view.PrefillRate, view.ReportAge)
	}
	view.Load = reported.Sub(s.endedSinceReport).Add(s.loadSinceReport)
	view.RateLimit = routingRateLimit(s.limiter, at)
	s.refreshPrefill(view, at)
	view.Slowdown = s.slowdown.valueAt(at)
	view.RecentFailures = s.recentFailures.valueAt(at)
	if s.report.MemoryTokens > 0 {
		view.MemoryTokens = s.report.MemoryTokens
	}
}

func (s *targetState) state() routing.State {
	switch {
	case s.missedReports >= maxMissedReports:
		return routing.Unavailable
	case s.listed == routing.Draining || s.reportsDraining || s.drainNoticed:
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
func (t *TargetTable) RecordReport(id string, r target.LoadReport, received time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return
	}
	if s.missedReports >= maxMissedReports {
		for _, c := range s.calls {
			c.gone, c.goneClosed = make(chan struct{}), false // Those that still wait were told already.
		}
	}
	s.missedReports = 0
	s.reportsDraining = r.Leaving
	reportAt := received.Add(-r.Age)
	if reportAt.Before(s.reportAt) {
		return // An older one that was overtaken.
	}
	s.report, s.reportAt = r, reportAt
	s.loadSinceReport, s.endedSinceReport = routing.Load{}, routing.Load{}
	for _, c := range s.calls {
		if c.sent.After(reportAt) {
			s.loadSinceReport = s.loadSinceReport.Add(c.remainingLoad())
		}
	}
	s.refresh(received)
}

// Silent records that a target did not answer when asked for its report.
func (t *TargetTable) RecordMissedReport(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return
	}
	s.missedReports++
	s.refresh(at)
	if s.missedReports != maxMissedReports {
		return
	}
	// A frozen target keeps its connections open: whoever waits there is told.
	for _, c := range s.calls {
		c.closeGone()
	}
}

// Void makes all reports count as unknown, after a pause of the process.
func (t *TargetTable) InvalidateReports(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		s.report, s.reportAt = target.LoadReport{}, time.Time{}
		s.loadSinceReport, s.endedSinceReport = routing.Load{}, routing.Load{}
		for _, c := range s.calls {
			s.loadSinceReport = s.loadSinceReport.Add(c.remainingLoad())
		}
		s.refresh(at)
	}
}
