package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/rendezvous"
	"doorstack.dev/core/routing"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/requestcontrol"
	"github.com/go-faster/errors"
)

// The coordinator's side of a placement: questions of other daemons wait in the same
// queue as the daemon's own calls, and what is placed counts at its target until the
// asker tells of its end.

// coordinatedCall is another daemon's call at its coordinator.
type coordinatedCall struct {
	requester   string
	pool        string
	ticket      *blackboard.Ticket
	answer      *placeAnswer // set when placed
	lastRenewed time.Time
	expires     time.Time
}

// servePlace is the coordinator's side of a question.
func (p *Placer) servePlace(ctx context.Context, from string, in placeRequest) (placeAnswer, error) {
	now := time.Now()
	view := p.cluster.Board.Settings.Current()
	if view == nil || view.Tree.Pool(in.Pool) == nil || p.cluster.Board.Phase() != blackboard.Serving {
		return placeAnswer{}, errors.New("this daemon does not coordinate the pool " + in.Pool)
	}
	p.adoptCalls(from, &in, now)
	p.mergeLimits(in.Pool, in.Limits, now)
	p.mu.Lock()
	held := p.coordinated[in.Attempt]
	if held != nil {
		held.lastRenewed = now
		answer := held.answer
		p.mu.Unlock()
		if answer != nil {
			return *answer, nil
		}
		return placeAnswer{Attempt: in.Attempt, Verdict: routing.Wait}, nil
	}
	held = &coordinatedCall{requester: from, pool: in.Pool, lastRenewed: now, expires: now.Add(in.UntilDeadline + callExpiryMargin)}
	held.ticket = p.newTicket(&in, now)
	p.coordinated[in.Attempt] = held
	p.mu.Unlock()
	p.cluster.Board.Queues.Push(held.ticket)
	soon := time.NewTimer(maxAnswerDelay)
	defer soon.Stop()
	select {
	case placement := <-held.ticket.Placed():
		return p.recordPlacement(held, &placement), nil
	case <-soon.C:
	}
	go p.answerLater(ctx, held)
	return placeAnswer{Attempt: in.Attempt, Verdict: routing.Wait}, nil
}

// adopt counts the calls of a daemon that asks for the first time.
func (p *Placer) adoptCalls(from string, in *placeRequest, now time.Time) {
	for _, c := range in.Calls {
		p.mu.Lock()
		known := p.coordinated[c.Attempt] != nil
		if !known {
			p.coordinated[c.Attempt] = &coordinatedCall{requester: from, pool: in.Pool, lastRenewed: now, expires: now.Add(adoptedCallTTL), answer: &placeAnswer{}}
		}
		p.mu.Unlock()
		if !known {
			p.cluster.Board.Targets.Adopt(c, now)
		}
	}
}

func (p *Placer) newTicket(in *placeRequest, now time.Time) *blackboard.Ticket {
	board := p.cluster.Board
	pool := board.Settings.Current().Tree.Pool(in.Pool)
	params := requestcontrol.RoutingParams(pool, board.Targets.Capacity(pool.Name, now), board.Members.Sharers())
	arrived := now.Add(-in.Waited)
	return &blackboard.Ticket{
		Pool: pool, Attempt: in.Attempt, Params: params, Deadline: now.Add(in.UntilDeadline),
		Request: routing.Request{
			ID: in.Request, PromptTokens: in.PromptTokens, OutputTokens: in.OutputTokens, DataCentre: in.DataCentre,
			Exclude: in.Exclude, Goal: in.Goal, GapGoal: in.GapGoal, Retry: in.Retry, AnswerStarted: in.AnswerStarted, Seed: rendezvous.Score(in.Pool, in.Attempt),
		},
		Item: &admission.Item{
			ID: in.Request, Account: in.Account, Level: in.Level, Tokens: max(1, in.PromptTokens),
			Long: params.IsLong(in.PromptTokens), Retry: in.Retry, Arrived: arrived, PrefillSeconds: requestcontrol.PrefillSeconds(&params, in.PromptTokens),
			LatestStart: requestcontrol.LatestStart(&params, in.PromptTokens, arrived, in.Goal, in.Retry),
		},
	}
}

// placed keeps the placement of another daemon's call and makes its answer.
func (p *Placer) recordPlacement(held *coordinatedCall, placement *blackboard.Placement) placeAnswer {
	d := &placement.Decision
	answer := placeAnswer{
		Attempt: held.ticket.Attempt, Verdict: d.Verdict, Target: d.Chosen, Address: placement.Address,
		PrefillTime: d.PrefillTime, Considered: d.Considered, Reservations: d.Reservations, RetryAfter: d.RetryAfter,
	}
	if d.Verdict == routing.Place {
		answer.Limit = p.cluster.Board.Targets.LimitOf(d.Chosen, time.Now())
	}
	for _, h := range placement.Helpers {
		answer.Helpers = append(answer.Helpers, placeHelper{h.ID, h.Address})
	}
	p.mu.Lock()
	held.answer = &answer
	if d.Verdict != routing.Place {
		delete(p.coordinated, held.ticket.Attempt)
	}
	p.mu.Unlock()
	p.cluster.Recorder.Record(decision.Record{
		Kind: decision.KindPlace, Outcome: string(d.Verdict), Request: d.Request.ID, Attempt: held.ticket.Attempt,
		Pool: held.pool, Target: d.Chosen, Routing: d, Reason: "asked by " + held.requester,
	})
	return answer
}

// answerLater sends the placement of a question that had to wait.
func (p *Placer) answerLater(ctx context.Context, held *coordinatedCall) {
	placement, ok := <-held.ticket.Placed()
	if !ok {
		return // It was dropped.
	}
	answer := p.recordPlacement(held, &placement)
	if err := p.cluster.Hub.Notify(ctx, p.cluster.address(held.requester), peer.KindPlaced, answer); err != nil {
		p.endCall(held.ticket.Attempt, blackboard.CallCancelled)
	}
}

// serveProgress takes in what a daemon tells of a call that was placed here.
func (p *Placer) serveProgress(_ context.Context, _ string, in callProgress) (empty, error) {
	if in.Suspect != "" {
		now := time.Now()
		p.cluster.Board.Targets.Suspect(in.Suspect, now.Add(min(in.SuspectFor, maxSuspectDuration)), now)
	}
	if in.Ended {
		p.endCall(in.Attempt, in.Result)
		return empty{}, nil
	}
	p.cluster.Board.Targets.PromptRead(in.Attempt, time.Now())
	return empty{}, nil
}

// end forgets another daemon's call or question.
func (p *Placer) endCall(attempt string, result blackboard.CallResult) {
	p.mu.Lock()
	held := p.coordinated[attempt]
	delete(p.coordinated, attempt)
	p.mu.Unlock()
	if held == nil {
		return
	}
	if held.ticket != nil && p.cluster.Board.Queues.Remove(held.ticket) {
		held.ticket.Drop()
		return
	}
	p.cluster.Board.Targets.Finish(attempt, result, time.Now())
	p.cluster.Board.Queues.Wake(held.pool)
}

// sweepInterval is how often calls of daemons that are gone are looked for.
const sweepInterval = 250 * time.Millisecond

// run ends the calls and questions of others that will not be ended by themselves.
func (p *Placer) run(ctx context.Context) {
	for ctx.Err() == nil {
		controller.Sleep(ctx, sweepInterval)
		for _, attempt := range p.expiredCalls(time.Now()) {
			p.endCall(attempt, blackboard.CallCancelled)
		}
	}
}

func (p *Placer) expiredCalls(now time.Time) []string {
	gone := map[string]bool{}
	for _, m := range p.cluster.Board.Members.Members() {
		gone[m.Name] = m.State == membership.Dead
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for attempt, held := range p.coordinated {
		dropped := held.answer == nil && now.Sub(held.lastRenewed) > placementRequestTTL
		if dropped || now.After(held.expires) || gone[held.requester] {
			list = append(list, attempt)
		}
	}
	return list
}
