package blackboard

import (
	"time"

	"doorstack.dev/core/routing"
)

// activeCall is a call to a target that has not ended: one of this daemon, or one that
// another daemon reported.
type activeCall struct {
	id          string
	state       *targetState
	load        routing.Load
	sent        time.Time
	prefillDone bool          // the first token has arrived
	parts       []prefillPart // the parts of the prompt, for engines of known timing
	gapGoal     float64       // longest acceptable gap between two events, in seconds
	// firstEventGoal is the route's goal for the time to the first event in seconds, zero if it
	// has none; firstEventDue is when that time is over.
	firstEventGoal float64
	firstEventDue  time.Time
	promptTokens   int64
	// disturbed means that prefill beside the call has made it miss its gap goal.
	disturbed  bool
	gone       chan struct{} // closed when the target is considered gone
	goneClosed bool
}

// remainingLoad returns the load of a call, without its prompt once the prefill is done.
func (c *activeCall) remainingLoad() routing.Load {
	if !c.prefillDone {
		return c.load
	}
	return routing.Load{Requests: c.load.Requests, MemoryTokens: c.load.MemoryTokens}
}

// Placement is the result of a routing decision: the chosen target, if there is one.
type Placement struct {
	Decision routing.Decision
	// Attempt is the id of the call; Address is the target's host:port.
	Attempt, Address string
	// DecidedAt is when the decision was made.
	DecidedAt time.Time
	// DecidedBy is the daemon that decided, if it was another one.
	DecidedBy string
	// Helpers are the targets that prefill parts of the prompt.
	Helpers []TargetAddress
	// Gone is closed if the target is considered gone while the call runs.
	Gone <-chan struct{}
}

// Place chooses a target for a request and, if there is room, counts the call there under
// its attempt id. Both happen under one lock, so that the next decision sees the call.
func (t *TargetTable) Place(pool, attempt string, r *routing.Request, p *routing.Params, holders []Holder, at time.Time) Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	tp := t.pools[pool]
	if tp == nil {
		return Placement{Decision: routing.Decision{Request: *r, Params: *p, Verdict: routing.None}, DecidedAt: at}
	}
	if at.Sub(tp.refreshed) >= refreshInterval {
		tp.refresh(at)
	}
	r.Cached = cachedPrefixes(holders, tp.index)
	d := t.scratch.Decide(r, p, tp.targets)
	placement := Placement{Decision: d, Attempt: attempt, DecidedAt: at}
	if d.Verdict != routing.Place {
		return placement
	}
	s := tp.states[tp.index[d.Chosen]]
	placement.Address = s.address
	load := requestLoad(r, p, d.Chosen, holders)
	for _, reservation := range d.Reservations {
		load.MemoryTokens = max(0, load.MemoryTokens-reservation.Tokens)
	}
	if load.LongPrefills == 0 {
		tp.shortPrompts.add(load.BacklogTokens, at)
	}
	if s.activeLimiter(at) != nil {
		s.limiter.RecordCall(at)
	}
	placement.Gone = t.begin(s, attempt, load, at)
	t.calls[attempt].promptTokens = r.PromptTokens
	if p.Timing != nil {
		placement.Helpers = t.beginPrefill(attempt, &d, at)
	}
	return placement
}

// requestLoad returns the load that a request adds to a target.
func requestLoad(r *routing.Request, p *routing.Params, id string, holders []Holder) routing.Load {
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

// begin counts a call at a target; the lock is held.
func (t *TargetTable) begin(s *targetState, attempt string, load routing.Load, at time.Time) <-chan struct{} {
	if earlier := t.calls[attempt]; earlier != nil { // A call counts at one target.
		t.end(earlier, CallCancelled, at)
	}
	c := &activeCall{id: attempt, state: s, load: load, sent: at, gone: make(chan struct{})}
	t.calls[attempt] = c
	s.calls[attempt] = c
	s.loadSinceReport = s.loadSinceReport.Add(load)
	s.breaker.Sent()
	s.refresh(at)
	return c.gone
}

// BeginPart counts, at a target that the caller chose, one part of a request that a group of
// targets serves (see routing.Group). The channel is closed if the target is considered gone
// before the part ends; it is nil if the target is not known.
func (t *TargetTable) BeginPart(id, attempt string, load routing.Load, at time.Time) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return nil
	}
	return t.begin(s, attempt, load, at)
}

// Active reports whether a call has begun and not ended.
func (t *TargetTable) Active(attempt string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[attempt] != nil
}

// RecordPrefillDone records that the prefill of a call's prompt is done.
func (t *TargetTable) RecordPrefillDone(attempt string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[attempt]
	if c == nil || c.prefillDone {
		return
	}
	c.prefillDone = true
	c.endPrefill(at)
	s := c.state
	prefill := routing.Load{BacklogTokens: c.load.BacklogTokens, LongPrefills: c.load.LongPrefills}
	if c.sent.After(s.reportAt) {
		s.loadSinceReport = s.loadSinceReport.Sub(prefill)
	} else {
		// The reported backlog already shrinks with the report's age; only the number of long prefills is corrected.
		s.endedSinceReport = s.endedSinceReport.Add(routing.Load{LongPrefills: prefill.LongPrefills})
	}
	s.refresh(at)
}

// Suspect stops new calls to a target until the given time.
func (t *TargetTable) Suspect(id string, until, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil && until.After(s.suspectUntil) {
		s.suspectUntil = until
		s.refresh(at)
	}
}

// CallResult is what the end of a call says about its target.
type CallResult int

// The results of calls.
const (
	// CallSucceeded means that the target did its work.
	CallSucceeded CallResult = iota
	// CallFailed means that the target failed.
	CallFailed
	// CallCancelled says nothing about the target.
	CallCancelled
)

// Finish records the end of a call.
func (t *TargetTable) Finish(attempt string, result CallResult, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.calls[attempt]; c != nil {
		t.end(c, result, at)
	}
}

// end removes a call; the lock is held.
func (t *TargetTable) end(c *activeCall, result CallResult, at time.Time) {
	delete(t.calls, c.id)
	c.endPrefill(at)
	c.releaseParts(at)
	s := c.state
	delete(s.calls, c.id)
	if c.sent.After(s.reportAt) {
		s.loadSinceReport = s.loadSinceReport.Sub(c.remainingLoad())
	} else {
		s.endedSinceReport = s.endedSinceReport.Add(c.remainingLoad())
	}
	switch result {
	case CallSucceeded:
		s.breaker.Succeeded()
	case CallFailed:
		s.failures++
		s.recentFailures.add(at)
		s.breaker.Failed(at)
	case CallCancelled:
		s.breaker.Cancelled()
	}
	s.refresh(at)
}

// Reserve reserves a target for one long request, so that no other request is placed there.
// An empty request ends the reservation.
func (t *TargetTable) Reserve(id, request string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		s.reservedFor = request
		s.refresh(at)
	}
}

// Unreserve ends the reservation of any target for a request.
func (t *TargetTable) Unreserve(request string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		if s.reservedFor == request {
			s.reservedFor = ""
			s.refresh(at)
		}
	}
}
