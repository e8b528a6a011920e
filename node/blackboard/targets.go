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

// TargetTable holds what this daemon knows of each target: its entry on the host list,
// its last load report, the calls since that report, and its circuit breaker.
type TargetTable struct {
	mu      Mutex
	pools   map[string]*targetPool
	byID    map[string]*targetState
	calls   map[string]*activeCall
	scratch routing.Scratch
	notices *forward.Notices
	// coldCallsFrom is when this daemon may begin to send calls to cold targets.
	coldCallsFrom time.Time
	// tree and evacuated are the settings and the evacuated data centres as of the last Sync.
	tree      *settings.Tree
	evacuated map[string]bool
}

// targetPool holds the targets of one pool, with their views for routing at the same
// positions.
type targetPool struct {
	name         string
	model        string
	kind         *settings.EngineKind
	targets      []routing.Target
	states       []*targetState
	index        map[string]int
	refreshed    time.Time
	shortPrompts shortPromptRate
	// timing is the cost model of the engines; nil if it is not known.
	timing *engine.Timing
	// coldRate is how many requests a second a cold target can take, and coldStart how long a target is
	// cold after its start. Zero means that the targets are never cold.
	coldRate  float64
	coldStart time.Duration
}

// shortPromptRate is a decaying average of the tokens of short prompts that this daemon
// has placed. It determines how many targets the short prompts need.
type shortPromptRate struct {
	tokens float64
	at     time.Time
}

// shortPromptRateWindow is the time constant of the average.
const shortPromptRateWindow = 10 * time.Second

// add adds the tokens of a prompt.
func (r *shortPromptRate) add(tokens int64, at time.Time) {
	r.decay(at)
	r.tokens += float64(tokens)
}

// decay applies the decay of the time since the last change.
func (r *shortPromptRate) decay(at time.Time) {
	if elapsed := at.Sub(r.at); elapsed > 0 {
		r.tokens *= math.Exp(-elapsed.Seconds() / shortPromptRateWindow.Seconds())
		r.at = at
	}
}

// perSecond returns the average in tokens per second.
func (r *shortPromptRate) perSecond(at time.Time) float64 {
	r.decay(at)
	return r.tokens / shortPromptRateWindow.Seconds()
}

// targetState is the state of one target.
type targetState struct {
	id              string
	address         string
	incarnation     int64 // start of its process in Unix milliseconds; zero if not known
	pool            *targetPool
	index           int
	listed          routing.State // state on the host list
	missedReports   int           // consecutive missed reports
	reportsDraining bool          // its last report said that it is draining
	// drainNoticed means that the target announced in an answer to a call that it is draining.
	drainNoticed bool
	// limiter enforces the target's rate limits; nil if it has had none.
	limiter *forward.RateLimiter
	// coldCallsFrom is when this daemon may begin to send calls to cold targets.
	coldCallsFrom    time.Time
	entryRevision    hostlist.Position // position of its entry on the host list
	report           target.LoadReport
	reportAt         time.Time    // the time that the report describes, by this daemon's clock
	loadSinceReport  routing.Load // load of calls sent after reportAt
	endedSinceReport routing.Load // load of calls ended after reportAt, sent before
	calls            map[string]*activeCall
	breaker          admission.Breaker
	reservedFor      string // id of the long request that the target is reserved for
	failures         int64
	recentFailures   failureCount
	prefill          prefillState
	reservedTokens   int64     // memory reserved for calls that other targets answer, in tokens
	suspectUntil     time.Time // until when no calls are sent to it, after it rejected one
	slowdown         slowdownReport
}

// failureCount is an exponentially decaying count of failed calls.
type failureCount struct {
	count float64
	at    time.Time
}

// failureDecayTime is the time constant of the decay.
const failureDecayTime = 4 * time.Second

// valueAt returns the decayed count.
func (t *failureCount) valueAt(at time.Time) float64 {
	if t.count == 0 {
		return 0
	}
	return t.count * math.Exp(-at.Sub(t.at).Seconds()/failureDecayTime.Seconds())
}

// add counts a failed call.
func (t *failureCount) add(at time.Time) {
	t.count = t.valueAt(at) + 1
	t.at = at
}

// maxMissedReports is the number of consecutive missed reports after which a target is
// considered gone.
const maxMissedReports = 3

// refreshInterval is how often the loads of a pool are recomputed from the age of the
// targets' reports.
const refreshInterval = 10 * time.Millisecond

func newTargetTable() *TargetTable {
	return &TargetTable{
		mu:    NewMutex(RankTargets),
		pools: map[string]*targetPool{},
		byID:  map[string]*targetState{},
		calls: map[string]*activeCall{}, notices: forward.NewNotices(),
		coldCallsFrom: time.Now().Add(coldSettleTime),
	}
}

// Sync applies the host list and the pools of a settings tree. It keeps the state of
// targets that stay, unless their process has restarted.
func (t *TargetTable) Sync(hosts []hostlist.Host, tree *settings.Tree, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notices.RemoveExpired(at)
	t.tree, t.evacuated = tree, hostlist.Evacuated(hosts)
	before := t.byID
	pools := map[string]*targetPool{}
	t.byID = map[string]*targetState{}
	for i := range hosts {
		h := &hosts[i]
		pool := tree.Pool(h.Pool)
		if h.Role != hostlist.RoleTarget || pool == nil {
			continue
		}
		p := pools[pool.Name]
		if p == nil {
			p = newTargetPool(pool, t.pools[pool.Name])
			pools[pool.Name] = p
		}
		s, coldFor := t.updateState(before[h.ID], h, p)
		p.insert(len(p.targets), s, p.newView(h))
		t.byID[h.ID] = s
		t.recordCold(s, coldFor, at)
		t.applyNotices(s, at)
	}
	t.pools = pools
	for _, p := range pools {
		p.refresh(at)
	}
}

// newTargetPool returns a pool without targets, which replaces an earlier one, if there is one.
func newTargetPool(pool *settings.ResolvedPool, before *targetPool) *targetPool {
	p := &targetPool{
		name: pool.Name, model: pool.Model, kind: &pool.Kind, index: map[string]int{}, timing: pool.Timing,
		coldRate: pool.Kind.ColdRequestsPerSecond, coldStart: time.Duration(pool.Kind.ColdStart),
	}
	if before != nil {
		p.shortPrompts = before.shortPrompts
	}
	return p
}

// newView returns the initial view of a target of the pool for routing.
func (p *targetPool) newView(h *hostlist.Host) routing.Target {
	slots := p.kind.MaxConcurrent
	if h.Slots > 0 {
		slots = h.Slots
	}
	return routing.Target{
		ID:            h.ID,
		DataCentre:    h.DataCentre,
		Region:        h.Region,
		MemoryTokens:  p.kind.MemoryTokens,
		PrefillRate:   p.kind.PrefillTokensPerSecond,
		MaxConcurrent: slots,
	}
}

// updateState returns the state of a target after a change of its entry, given the state before, nil if there was
// none, and for how long the target is cold at least.
func (t *TargetTable) updateState(s *targetState, h *hostlist.Host, p *targetPool) (*targetState, time.Duration) {
	coldFor := time.Duration(0)
	if s != nil && s.restarted(h.Incarnation) {
		s.endCallsSentBefore(h.Incarnation)
		s, coldFor = nil, p.coldStart
	}
	if s == nil || s.address != h.Address {
		s = &targetState{id: h.ID, address: h.Address, calls: map[string]*activeCall{}, coldCallsFrom: t.coldCallsFrom}
	}
	s.incarnation = max(s.incarnation, h.Incarnation)
	t.notices.UpdateTarget(h.ID, h.Address, h.Incarnation)
	listed := listedState(h, t.evacuated)
	if s.listed == routing.Evacuated && listed == routing.Live {
		coldFor = p.coldStart // The targets of an evacuated data centre may have been restarted.
	}
	s.listed = listed
	if h.Revision > s.entryRevision {
		coldFor = max(coldFor, h.ColdFor)
	}
	s.entryRevision = h.Revision
	return s, coldFor
}

// listedState returns the state that the host list gives a target.
func listedState(h *hostlist.Host, evacuated map[string]bool) routing.State {
	switch {
	case h.State == hostlist.Leaving:
		return routing.Draining
	case evacuated[h.DataCentre]:
		return routing.Evacuated
	default:
		return routing.Live
	}
}

// refresh recomputes the views of all targets.
func (p *targetPool) refresh(at time.Time) {
	p.refreshed = at
	for _, s := range p.states {
		s.refresh(at)
	}
}

// refresh recomputes the target's view for routing. The reported backlog shrinks by what
// the engine prefills during the report's age; the load of later calls is added to it.
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
	view.RateLimit = s.routingRateLimit(at)
	s.refreshPrefill(view, at)
	view.Slowdown = s.slowdown.valueAt(at)
	view.RecentFailures = s.recentFailures.valueAt(at)
	if s.report.MemoryTokens > 0 {
		view.MemoryTokens = s.report.MemoryTokens
	}
}

// state returns the state for routing, from the missed reports, the host list, the last
// report and the notices.
func (s *targetState) state() routing.State {
	switch {
	case s.missedReports >= maxMissedReports:
		return routing.Unavailable
	case s.listed == routing.Draining || s.reportsDraining || s.drainNoticed:
		return routing.Draining
	default:
		return s.listed
	}
}

// reportedLoad returns the load in a report, less the backlog that the target has prefilled
// since at the given rate in tokens per second.
func reportedLoad(r *target.LoadReport, rate float64, age time.Duration) routing.Load {
	prefilled := int64(rate * age.Seconds())
	return routing.Load{
		Requests:      r.Running + r.Waiting,
		MemoryTokens:  r.UsedTokens,
		BacklogTokens: max(0, r.BacklogTokens-prefilled),
		LongPrefills:  r.LongPrefills,
	}
}

// RecordReport applies a load report that was received at the given time.
func (t *TargetTable) RecordReport(id string, r target.LoadReport, received time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return
	}
	if s.missedReports >= maxMissedReports {
		for _, c := range s.calls {
			c.gone, c.goneClosed = make(chan struct{}), false // the waiting calls were already notified
		}
	}
	s.missedReports = 0
	s.reportsDraining = r.Draining
	reportAt := received.Add(-r.Age)
	if reportAt.Before(s.reportAt) {
		return // a newer report has overtaken it
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

// RecordMissedReport records that a target did not answer a request for its load report.
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
	// A frozen target keeps its connections open, so the waiting calls are notified here.
	for _, c := range s.calls {
		c.closeGone()
	}
}

// InvalidateReports discards all load reports, after a pause of the process.
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
