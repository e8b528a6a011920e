package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/coordination"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/rendezvous"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/requestcontrol"
	"github.com/go-faster/errors"
)

// The coordinator's side of placement. Requests of other daemons wait in the same queue as
// the daemon's own calls, and a placed call counts as load of its target until the
// requesting daemon reports its end.

// coordinatedCall is another daemon's placement request, or its call once it is placed, at
// the coordinator.
type coordinatedCall struct {
	requester   string
	pool        string
	ticket      *blackboard.Ticket
	answer      *placeAnswer // set when placed; empty if another daemon placed the call
	lastRenewed time.Time
	expires     time.Time
}

// servePlace answers a placement request as the pool's coordinator. The answer is
// routing.Wait if no target is found within maxAnswerDelay; the placement is then sent
// later.
func (p *Placer) servePlace(ctx context.Context, from string, in placeRequest) (placeAnswer, error) {
	now := time.Now()
	view := p.cluster.Board.Settings.Current()
	var pool *settings.ResolvedPool
	if view != nil {
		pool = view.Tree.Pool(in.Pool)
	}
	if pool == nil || p.cluster.Board.Phase() != blackboard.Serving {
		if answer, ok := p.successorAnswer(&in, now); ok {
			return answer, nil
		}
		return placeAnswer{}, errors.New("this daemon does not coordinate the pool " + in.Pool)
	}
	if answer, ok := p.redirectAnswer(ctx, &in); ok {
		return answer, nil
	}
	now = time.Now()
	p.adoptCalls(from, in.Pool, p.withoutEnded(&in), now)
	p.mergeLimits(in.Pool, in.Limits, now)
	p.mu.Lock()
	call := p.coordinated[in.Attempt]
	if call == nil && p.ended.covers(in.Attempt, in.Number) {
		p.mu.Unlock()
		return placeAnswer{}, errCallEnded
	}
	if call != nil {
		call.lastRenewed = now
		answer := call.answer
		p.mu.Unlock()
		if answer != nil {
			return *answer, nil
		}
		return placeAnswer{Attempt: in.Attempt, Verdict: routing.Wait}, nil
	}
	call = &coordinatedCall{requester: from, pool: in.Pool, lastRenewed: now, expires: now.Add(in.UntilDeadline + callExpiryMargin)}
	call.ticket = p.newTicket(pool, &in, now)
	p.coordinated[in.Attempt] = call
	p.mu.Unlock()
	if !p.queueCall(call) {
		return placeAnswer{}, errCallEnded
	}
	timer := time.NewTimer(maxAnswerDelay)
	defer timer.Stop()
	select {
	case placement, ok := <-call.ticket.Placed():
		if !ok {
			return placeAnswer{}, errCallEnded // The request was dropped.
		}
		return p.recordPlacement(call, &placement), nil
	case <-timer.C:
	}
	go p.answerLater(ctx, call)
	return placeAnswer{Attempt: in.Attempt, Verdict: routing.Wait}, nil
}

// queueCall adds a registered request to its pool's queue, and returns false if its end was reported in the meantime:
// endCall then found no ticket in the queue.
func (p *Placer) queueCall(call *coordinatedCall) bool {
	p.cluster.Board.Queues.Push(call.ticket)
	attempt := call.ticket.Attempt
	p.mu.Lock()
	registered := p.coordinated[attempt] == call
	p.mu.Unlock()
	if !registered {
		p.dropCall(call, attempt, blackboard.CallCancelled)
	}
	return registered
}

// redirectAnswer returns the answer to a request that another daemon should have got. A request that waits here
// stays here.
func (p *Placer) redirectAnswer(ctx context.Context, in *placeRequest) (placeAnswer, bool) {
	self := p.cluster.Board.Self.Name
	p.mu.Lock()
	known := p.coordinated[in.Attempt] != nil
	p.mu.Unlock()
	if known || in.Rank == 0 || in.Insist {
		return placeAnswer{}, false
	}
	ranking := p.rankingOf(in.Pool)
	if len(ranking) > 0 && ranking[0].Name != self {
		p.links.hears(ctx, ranking[0].Name)
	}
	to, ok := coordination.Redirect(self, coordination.Request{Rank: in.Rank, Insist: in.Insist}, ranking, p.cluster.Hub.LastHeard, time.Now())
	if !ok {
		return placeAnswer{}, false
	}
	return p.redirectTo(in, to), true
}

// successorAnswer returns the answer of a daemon that drains: who coordinates after it.
func (p *Placer) successorAnswer(in *placeRequest, now time.Time) (placeAnswer, bool) {
	if in.Rank == 0 || in.Insist || p.cluster.Board.Phase() != blackboard.Draining {
		return placeAnswer{}, false
	}
	to, ok := p.links.successor(p.rankingOf(in.Pool), now)
	if !ok {
		return placeAnswer{}, false
	}
	return p.redirectTo(in, to), true
}

func (p *Placer) redirectTo(in *placeRequest, to coordination.Candidate) placeAnswer {
	p.cluster.Recorder.Metrics.CoordinationSteps.WithLabelValues(in.Pool, "redirect", "").Inc()
	return placeAnswer{
		Attempt: in.Attempt, Verdict: verdictRedirect, Coordinator: to.Name, CoordinatorIncarnation: to.Incarnation,
		CoordinatorAddress: p.cluster.Board.Members.Address(to.Name),
	}
}

// adoptCalls counts the running calls that a daemon names with its first placement request, or that it placed
// elsewhere.
func (p *Placer) adoptCalls(from, pool string, calls []blackboard.CallState, now time.Time) {
	for _, c := range calls {
		p.mu.Lock()
		known := p.coordinated[c.Attempt] != nil
		call := &coordinatedCall{requester: from, pool: pool, lastRenewed: now, expires: now.Add(adoptedCallTTL), answer: &placeAnswer{}}
		if !known {
			p.coordinated[c.Attempt] = call
		}
		p.mu.Unlock()
		if known {
			continue
		}
		p.cluster.Board.Targets.Adopt(c, now)
		p.mu.Lock()
		ended := p.coordinated[c.Attempt] != call
		p.mu.Unlock()
		if ended { // Its end was handled before Adopt, and found nothing to remove.
			p.cluster.Board.Targets.Finish(c.Attempt, blackboard.CallCancelled, now)
		}
	}
}

// newTicket returns the ticket with which another daemon's request waits in the pool's queue.
func (p *Placer) newTicket(pool *settings.ResolvedPool, in *placeRequest, now time.Time) *blackboard.Ticket {
	board := p.cluster.Board
	capacity := board.Targets.Capacity(pool.Name, now)
	params := requestcontrol.RoutingParams(pool, capacity, board.Members.DaemonCount())
	arrived := now.Add(-in.Waited)
	return &blackboard.Ticket{
		Pool: pool, Attempt: in.Attempt, Params: params, Deadline: now.Add(in.UntilDeadline),
		Request: routing.Request{
			ID: in.Request, PromptTokens: in.PromptTokens, OutputTokens: in.OutputTokens, DataCentre: in.DataCentre,
			Exclude: in.Exclude, Homes: in.Homes, Goal: in.Goal, GapGoal: in.GapGoal, Retry: in.Retry, AnswerStarted: in.AnswerStarted, Seed: rendezvous.Score(in.Pool, in.Attempt),
		},
		Item: &admission.Item{
			ID: in.Request, Account: in.Account, Level: in.Level, Tokens: max(1, in.PromptTokens),
			Cost: admission.Cost(pool.Timing, capacity.Size(), in.PromptTokens, in.OutputTokens),
			Long: params.IsLong(in.PromptTokens), Retry: in.Retry, Arrived: arrived, PrefillSeconds: requestcontrol.PrefillSeconds(&params, in.PromptTokens),
			LatestStart: requestcontrol.LatestStart(&params, in.PromptTokens, arrived, in.Goal, in.Retry),
		},
	}
}

// recordPlacement records the placement of another daemon's call and returns its answer.
func (p *Placer) recordPlacement(call *coordinatedCall, placement *blackboard.Placement) placeAnswer {
	d := &placement.Decision
	answer := placeAnswer{
		Attempt: call.ticket.Attempt, Verdict: d.Verdict, Target: d.Chosen, Address: placement.Address,
		PrefillTime: d.PrefillTime, Considered: d.Considered, Reservations: d.Reservations, RetryAfter: d.RetryAfter,
	}
	if d.Verdict == routing.None {
		answer.Rejections = &d.Rejections
	}
	if d.Verdict == routing.Place {
		answer.Limit = p.cluster.Board.Targets.LimitOf(d.Chosen, time.Now())
	}
	for _, h := range placement.Helpers {
		answer.Helpers = append(answer.Helpers, placeHelper{h.ID, h.Address})
	}
	p.mu.Lock()
	call.answer = &answer
	if answer.Verdict != routing.Place && p.coordinated[call.ticket.Attempt] == call {
		delete(p.coordinated, call.ticket.Attempt)
	}
	p.mu.Unlock()
	p.cluster.Recorder.Record(decision.Record{
		Kind: decision.KindPlace, Outcome: string(d.Verdict), Request: d.Request.ID, Attempt: call.ticket.Attempt,
		Pool: call.pool, Target: d.Chosen, Routing: d, Reason: "requested by " + call.requester,
	})
	return answer
}

// answerLater sends the placement of a request that was answered with routing.Wait.
func (p *Placer) answerLater(ctx context.Context, call *coordinatedCall) {
	placement, ok := <-call.ticket.Placed()
	if !ok {
		return // The request was dropped.
	}
	answer := p.recordPlacement(call, &placement)
	if err := p.cluster.Hub.Notify(ctx, p.cluster.address(call.requester), peer.KindPlaced, answer); err != nil {
		p.endCall(call.ticket.Attempt, blackboard.CallCancelled)
	}
}

// serveProgress handles a daemon's report on a call that was placed here.
func (p *Placer) serveProgress(_ context.Context, _ string, in callProgress) (empty, error) {
	if in.Suspect != "" {
		now := time.Now()
		p.cluster.Board.Targets.Suspect(in.Suspect, now.Add(min(in.SuspectFor, maxSuspectDuration)), now)
	}
	if in.Ended {
		p.mu.Lock()
		p.ended.add(in.Attempt, in.Through, time.Now())
		p.mu.Unlock()
		p.endCall(in.Attempt, in.Result)
		return empty{}, nil
	}
	p.cluster.Board.Targets.RecordPrefillDone(in.Attempt, time.Now())
	return empty{}, nil
}

// endCall removes another daemon's call or waiting request. A placed call no longer counts
// at its target.
func (p *Placer) endCall(attempt string, result blackboard.CallResult) {
	p.mu.Lock()
	call := p.coordinated[attempt]
	delete(p.coordinated, attempt)
	p.mu.Unlock()
	if call != nil {
		p.dropCall(call, attempt, result)
	}
}

// dropCall removes a call that is no longer registered from its queue or its target.
func (p *Placer) dropCall(call *coordinatedCall, attempt string, result blackboard.CallResult) {
	if call.ticket != nil && p.cluster.Board.Queues.Remove(call.ticket) {
		call.ticket.Cancel()
		return
	}
	p.cluster.Board.Targets.Finish(attempt, result, time.Now())
	p.cluster.Board.Queues.Wake(call.pool)
}

// sweepInterval is the time between two searches for calls whose daemons will not report
// their end.
const sweepInterval = 250 * time.Millisecond

// run ends expired calls and requests of other daemons until ctx ends.
func (p *Placer) run(ctx context.Context) {
	for ctx.Err() == nil {
		controller.Sleep(ctx, sweepInterval)
		for _, attempt := range p.expiredCalls(time.Now()) {
			p.endCall(attempt, blackboard.CallCancelled)
		}
	}
}

// expiredCalls lists the attempts whose request was not repeated within placementRequestTTL,
// whose expiry time has passed, or whose daemon is dead.
func (p *Placer) expiredCalls(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.coordinated) == 0 {
		return nil
	}
	dead := map[string]bool{}
	p.cluster.Board.Members.WithLock(func(t *membership.Table) {
		for _, call := range p.coordinated {
			m, known := t.Member(call.requester)
			dead[call.requester] = known && m.State == membership.Dead
		}
	})
	var list []string
	for attempt, call := range p.coordinated {
		dropped := call.answer == nil && now.Sub(call.lastRenewed) > placementRequestTTL
		if dropped || now.After(call.expires) || dead[call.requester] {
			list = append(list, attempt)
		}
	}
	return list
}
