package blackboard

import (
	"time"

	"doorstack.dev/core/routing"
)

// activeCall is a call of this daemon to a target.
type activeCall struct {
	id          string
	state       *targetState
	load        routing.Load
	sent        time.Time
	prefillDone bool          // the prompt has been read: the first token came
	parts       []prefillPart // where the prompt is read, for engines of known timing
	gapGoal     float64       // the goal for the pause between two events, in seconds
	// goal is the route's goal for the first event in seconds, zero if there is none, due
	// when it is over, and prompt the length of the prompt in tokens.
	firstEventGoal float64
	firstEventDue  time.Time
	promptTokens   int64
	// disturbed means that reading beside the call has made it miss that goal.
	disturbed  bool
	gone       chan struct{} // closed when the target is taken to be gone
	goneClosed bool          // gone is closed
}

// remaining is the load of a call, less its prompt once that has been read.
func (c *activeCall) remainingLoad() routing.Load {
	if !c.prefillDone {
		return c.load
	}
	return routing.Load{Requests: c.load.Requests, MemoryTokens: c.load.MemoryTokens}
}

// Placement is a target taken for a call.
type Placement struct {
	Decision routing.Decision
	// Attempt is the id of the call; Address is the target's host:port.
	Attempt, Address string
	// At is when the decision was made.
	DecidedAt time.Time
	// By is the daemon that decided, where that was another one.
	DecidedBy string
	// Helpers are the targets that read parts of the prompt.
	Helpers []TargetAddress
	// Gone is closed if the target is taken to be gone while the call runs.
	Gone <-chan struct{}
}

// Place decides where a request goes and, where there is room, counts it there
// under the attempt id, in one step, so that the next decision sees it.
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
	for _, ticket := range d.Reservations {
		load.MemoryTokens = max(0, load.MemoryTokens-ticket.Tokens)
	}
	if load.LongPrefills == 0 {
		tp.shortPrompts.add(load.BacklogTokens, at)
	}
	if s.limiter != nil {
		s.limiter.RecordCall(at)
	}
	placement.Gone = t.begin(s, attempt, load, at)
	t.calls[attempt].promptTokens = r.PromptTokens
	if p.Timing != nil {
		placement.Helpers = t.beginPrefill(attempt, &d, at)
	}
	return placement
}

// requestLoad is the load that a request puts on the target.
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

func (t *TargetTable) begin(s *targetState, attempt string, load routing.Load, at time.Time) <-chan struct{} {
	c := &activeCall{id: attempt, state: s, load: load, sent: at, gone: make(chan struct{})}
	t.calls[attempt] = c
	s.calls[attempt] = c
	s.loadSinceReport = s.loadSinceReport.Add(load)
	s.breaker.Sent()
	s.refresh(at)
	return c.gone
}

// Occupy counts a part of a group at a target, chosen by the caller. The channel
// is closed if the target is taken to be gone while the part is there.
func (t *TargetTable) BeginPart(id, attempt string, load routing.Load, at time.Time) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return nil
	}
	return t.begin(s, attempt, load, at)
}

// Active tells whether a call of this daemon has begun and not ended.
func (t *TargetTable) Active(attempt string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[attempt] != nil
}

// PromptRead records that a call's prompt has been read.
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
	gone := routing.Load{BacklogTokens: c.load.BacklogTokens, LongPrefills: c.load.LongPrefills}
	if c.sent.After(s.reportAt) {
		s.loadSinceReport = s.loadSinceReport.Sub(gone)
	} else {
		// The report's backlog is aged by itself; only the count is corrected.
		s.endedSinceReport = s.endedSinceReport.Add(routing.Load{LongPrefills: gone.LongPrefills})
	}
	s.refresh(at)
}

// Suspect keeps calls away from a target for a while.
func (t *TargetTable) Suspect(id string, until, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil && until.After(s.suspectUntil) {
		s.suspectUntil = until
		s.refresh(at)
	}
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
	c.endPrefill(at)
	c.releaseParts(at)
	s := c.state
	delete(s.calls, attempt)
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

// Reserve keeps a target for a long request; "" ends that.
func (t *TargetTable) Reserve(id, request string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		s.reservedFor = request
		s.refresh(at)
	}
}

// Unreserve frees any target kept for a request.
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
