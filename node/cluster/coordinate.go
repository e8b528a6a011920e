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

// heldCall is another daemon's call at its coordinator.
type heldCall struct {
	owner   string
	pool    string
	ticket  *blackboard.Ticket
	answer  *placeAnswer // set when placed
	renewed time.Time
	expires time.Time
}

// servePlace is the coordinator's side of a question.
func (p *Placements) servePlace(ctx context.Context, from string, in placeRequest) (placeAnswer, error) {
	now := time.Now()
	view := p.cluster.Board.Settings.Current()
	if view == nil || view.Tree.Pool(in.Pool) == nil || p.cluster.Board.Phase() != blackboard.Serving {
		return placeAnswer{}, errors.New("this daemon does not coordinate the pool " + in.Pool)
	}
	p.adopt(from, &in, now)
	p.takeLimits(in.Pool, in.Limits, now)
	p.mu.Lock()
	held := p.held[in.Attempt]
	if held != nil {
		held.renewed = now
		answer := held.answer
		p.mu.Unlock()
		if answer != nil {
			return *answer, nil
		}
		return placeAnswer{Attempt: in.Attempt, Verdict: routing.Wait}, nil
	}
	held = &heldCall{owner: from, pool: in.Pool, renewed: now, expires: now.Add(in.Left + callTTL)}
	held.ticket = p.ticket(&in, now)
	p.held[in.Attempt] = held
	p.mu.Unlock()
	p.cluster.Board.Queues.Push(held.ticket)
	soon := time.NewTimer(answerWithin)
	defer soon.Stop()
	select {
	case placement := <-held.ticket.Placed():
		return p.placed(held, &placement), nil
	case <-soon.C:
	}
	go p.answerLater(ctx, held)
	return placeAnswer{Attempt: in.Attempt, Verdict: routing.Wait}, nil
}

// adopt counts the calls of a daemon that asks for the first time.
func (p *Placements) adopt(from string, in *placeRequest, now time.Time) {
	for _, c := range in.Calls {
		p.mu.Lock()
		known := p.held[c.Attempt] != nil
		if !known {
			p.held[c.Attempt] = &heldCall{owner: from, pool: in.Pool, renewed: now, expires: now.Add(adoptedTTL), answer: &placeAnswer{}}
		}
		p.mu.Unlock()
		if !known {
			p.cluster.Board.Targets.Adopt(c, now)
		}
	}
}

func (p *Placements) ticket(in *placeRequest, now time.Time) *blackboard.Ticket {
	board := p.cluster.Board
	pool := board.Settings.Current().Tree.Pool(in.Pool)
	params := requestcontrol.RoutingParams(pool, board.Targets.Capacity(pool.Name, now), board.Members.Sharers())
	arrived := now.Add(-in.Waited)
	return &blackboard.Ticket{
		Pool: pool, Attempt: in.Attempt, Params: params, Deadline: now.Add(in.Left),
		Request: routing.Request{
			ID: in.Request, PromptTokens: in.PromptTokens, OutputTokens: in.OutputTokens, DataCentre: in.DataCentre,
			Exclude: in.Exclude, Goal: in.Goal, GapGoal: in.GapGoal, Retry: in.Retry, AnswerStarted: in.Begun, Seed: rendezvous.Score(in.Pool, in.Attempt),
		},
		Item: &admission.Item{
			ID: in.Request, Account: in.Account, Level: in.Level, Tokens: max(1, in.PromptTokens),
			Long: params.IsLong(in.PromptTokens), Retry: in.Retry, Arrived: arrived, PrefillSeconds: requestcontrol.PrefillSeconds(&params, in.PromptTokens),
			LatestStart: requestcontrol.LatestStart(&params, in.PromptTokens, arrived, in.Goal, in.Retry),
		},
	}
}

// placed keeps the placement of another daemon's call and makes its answer.
func (p *Placements) placed(held *heldCall, placement *blackboard.Placement) placeAnswer {
	d := &placement.Decision
	answer := placeAnswer{
		Attempt: held.ticket.Attempt, Verdict: d.Verdict, Target: d.Chosen, Address: placement.Address,
		Reading: d.PrefillTime, Considered: d.Considered, Tickets: d.Reservations, ComeBack: d.RetryAfter,
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
		delete(p.held, held.ticket.Attempt)
	}
	p.mu.Unlock()
	p.cluster.Record.Record(decision.Record{
		Kind: decision.KindPlace, Outcome: string(d.Verdict), Request: d.Request.ID, Attempt: held.ticket.Attempt,
		Pool: held.pool, Target: d.Chosen, Routing: d, Reason: "asked by " + held.owner,
	})
	return answer
}

// answerLater sends the placement of a question that had to wait.
func (p *Placements) answerLater(ctx context.Context, held *heldCall) {
	placement, ok := <-held.ticket.Placed()
	if !ok {
		return // It was dropped.
	}
	answer := p.placed(held, &placement)
	if err := p.cluster.Hub.Notify(ctx, p.cluster.address(held.owner), peer.KindPlaced, answer); err != nil {
		p.end(held.ticket.Attempt, blackboard.CallCancelled)
	}
}

// serveProgress takes in what a daemon tells of a call that was placed here.
func (p *Placements) serveProgress(_ context.Context, _ string, in callProgress) (done, error) {
	if in.Suspect != "" {
		now := time.Now()
		p.cluster.Board.Targets.Suspect(in.Suspect, now.Add(min(in.SuspectFor, maxSuspect)), now)
	}
	if in.Ended {
		p.end(in.Attempt, in.Result)
		return done{}, nil
	}
	p.cluster.Board.Targets.PromptRead(in.Attempt, time.Now())
	return done{}, nil
}

// end forgets another daemon's call or question.
func (p *Placements) end(attempt string, result blackboard.CallResult) {
	p.mu.Lock()
	held := p.held[attempt]
	delete(p.held, attempt)
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

// sweepHeld is how often calls of daemons that are gone are looked for.
const sweepHeld = 250 * time.Millisecond

// run ends the calls and questions of others that will not be ended by themselves.
func (p *Placements) run(ctx context.Context) {
	for ctx.Err() == nil {
		controller.Sleep(ctx, sweepHeld)
		for _, attempt := range p.overdue(time.Now()) {
			p.end(attempt, blackboard.CallCancelled)
		}
	}
}

func (p *Placements) overdue(now time.Time) []string {
	gone := map[string]bool{}
	for _, m := range p.cluster.Board.Members.Members() {
		gone[m.Name] = m.State == membership.Dead
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for attempt, held := range p.held {
		dropped := held.answer == nil && now.Sub(held.renewed) > dropPlace
		if dropped || now.After(held.expires) || gone[held.owner] {
			list = append(list, attempt)
		}
	}
	return list
}
