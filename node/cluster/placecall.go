package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/coordination"
	"doorstack.dev/core/routing"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
	"github.com/go-faster/errors"
)

// The requesting daemon's side of placement: core/coordination decides whom a call asks and for how long it waits.

// Place implements requestcontrol.Placer. It asks the pool's coordinator, and returns false
// where this daemon decides itself.
func (p *Placer) Place(ctx context.Context, t *blackboard.Ticket) (blackboard.Placement, bool) {
	now, goalDue := time.Now(), time.Time{}
	if t.Request.Goal > 0 {
		goalDue = t.Item.Arrived.Add(time.Duration(t.Request.Goal * float64(time.Second)))
	}
	call := coordination.NewCall(now, goalDue, t.Deadline)
	var held coordination.Step
	for ctx.Err() == nil {
		step, changed := p.nextStep(call, t.Pool.Name)
		p.recordStep(t, step, held)
		switch step.Action {
		case coordination.Ask:
			answer, err := p.requestPlacement(ctx, call, &step, t)
			if err != nil {
				p.recordLostCoordinator(ctx, call, step, t, err)
				continue
			}
			if answer.Verdict == verdictRedirect {
				p.followRedirect(call, step, t, &answer)
				continue
			}
			p.cluster.Recorder.MarkStage(blackboard.StageCoordinator)
			return p.acceptAnswer(step.Peer, t, &answer)
		case coordination.Hold:
			held = step
			p.hold(ctx, step, changed)
		default:
			p.recordPlacedBy(t, p.cluster.Board.Self.Name)
			return blackboard.Placement{}, false
		}
	}
	return blackboard.Placement{}, false
}

// nextStep returns the next step of a call to a pool, and a channel that is closed when a later step may differ.
func (p *Placer) nextStep(call *coordination.Call, pool string) (coordination.Step, <-chan struct{}) {
	ranking := p.askableRanking(pool, time.Now())
	self := coordination.Self{Name: p.cluster.Board.Self.Name, Draining: p.cluster.Board.Phase() == blackboard.Draining}
	self.Searching = (len(ranking) == 0 || len(ranking) == 1 && ranking[0].Name == self.Name) && !p.cluster.discoveryDone()
	step, changed := p.links.next(call, ranking, self)
	if step.Action == coordination.Alone || step.Rank > keepRanks {
		for _, c := range ranking[:min(len(ranking), maxRedialed)] {
			if c.Name != self.Name && p.links.state(c.Name) == coordination.Failed {
				p.links.open(c.Name)
			}
		}
	}
	return step, changed
}

// maxRedialed is how many daemons of a ranking are dialed again when the first ones cannot be asked.
const maxRedialed = 4

// searchPause is the time between two looks whether the search for other daemons is done.
const searchPause = 10 * time.Millisecond

// hold waits until the time of the step or a change, and opens the link that the call waits for.
func (p *Placer) hold(ctx context.Context, step coordination.Step, changed <-chan struct{}) {
	until := time.Until(step.Until)
	if step.Peer.Name != "" {
		p.links.open(step.Peer.Name)
	} else {
		until = min(until, searchPause)
	}
	timer := time.NewTimer(until)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followRedirect records that another daemon should have been asked.
func (p *Placer) followRedirect(call *coordination.Call, step coordination.Step, t *blackboard.Ticket, a *placeAnswer) {
	to := coordination.Candidate{Name: a.Coordinator, Incarnation: a.CoordinatorIncarnation}
	p.mu.Lock()
	if p.informed[t.Pool.Name] == step.Peer {
		delete(p.informed, t.Pool.Name) // It does not count this daemon's calls.
	}
	p.mu.Unlock()
	p.links.update(func(peers *coordination.Peers, now time.Time) {
		if a.CoordinatorAddress != "" && len(p.links.named) < maxNamed {
			p.links.named[to.Name] = a.CoordinatorAddress
		}
		peers.Redirected(call, step.Peer, to, now)
	})
	p.cluster.Recorder.Log.Info("placement request is redirected", "request", t.Request.ID, "pool", t.Pool.Name, "peer", step.Peer.Name, "coordinator", to.Name)
}

// maxNamed bounds the daemons that are known from redirects only.
const maxNamed = 64

// recordStep counts a step, and writes a line where this daemon decides without the coordinator.
func (p *Placer) recordStep(t *blackboard.Ticket, step, held coordination.Step) {
	if step.Action == coordination.Hold && held.Action == coordination.Hold {
		return // One hold of a call may take several steps.
	}
	p.cluster.Recorder.Metrics.CoordinationSteps.WithLabelValues(t.Pool.Name, step.Action.String(), step.Reason).Inc()
	if step.Action == coordination.Alone || step.Action == coordination.Coordinate && step.Reason != coordination.ReasonFirst {
		p.cluster.Recorder.Log.Info("placed without the coordinator", "request", t.Request.ID, "pool", t.Pool.Name, "action", step.Action.String(),
			"reason", step.Reason, "held", held.Reason)
	}
}

// Reasons for which a coordinator counts as lost: it did not answer in time, the link
// failed, or it refused the request.
const (
	lostTimeout = "timeout"
	lostError   = "error"
	lostRefused = "refused"
)

// recordLostCoordinator records that a coordinator failed to answer. The call goes on to the next one.
func (p *Placer) recordLostCoordinator(ctx context.Context, call *coordination.Call, step coordination.Step, t *blackboard.Ticket, err error) {
	name := step.Peer.Name
	var refused *peer.RemoteError
	reason := lostError
	switch {
	case errors.As(err, &refused):
		reason = lostRefused
	case ctx.Err() != nil:
		// The caller is gone, or the call's time is over.
		p.links.update(func(peers *coordination.Peers, _ time.Time) { peers.Abandoned(name) })
		p.notifyEnded(name, callProgress{Attempt: t.Attempt, Result: blackboard.CallCancelled})
		return
	case errors.Is(err, context.DeadlineExceeded):
		reason = lostTimeout
	}
	before := p.links.state(name)
	p.links.update(func(peers *coordination.Peers, now time.Time) {
		switch reason {
		case lostRefused:
			peers.Refused(name, now)
			return // A daemon that starts may be asked again.
		case lostTimeout:
			peers.TimedOut(name, step.Timeout, now)
		default:
			if !p.cluster.Hub.HasLink(name) {
				peers.LinkFailed(name, now)
			}
		}
		call.Tried(name)
	})
	p.cluster.Recorder.Metrics.CoordinatorLost.WithLabelValues(t.Pool.Name, reason).Inc()
	p.mu.Lock()
	delete(p.informed, t.Pool.Name)
	p.mu.Unlock()
	if before == coordination.Ready {
		p.cluster.Recorder.Log.Warn("dependency is lost", "dependency", "coordinator", "peer", name, "pool", t.Pool.Name,
			"request", t.Request.ID, "timeout_ms", step.Timeout.Milliseconds(), "error", err.Error())
	}
	p.notifyEnded(name, callProgress{Attempt: t.Attempt, Result: blackboard.CallCancelled})
}

// requestPlacement sends the placement request and waits for the placement.
func (p *Placer) requestPlacement(ctx context.Context, call *coordination.Call, step *coordination.Step, t *blackboard.Ticket) (placeAnswer, error) {
	c := step.Peer
	later := make(chan placeAnswer, 1)
	p.mu.Lock()
	p.pending[t.Attempt] = later
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, t.Attempt)
		p.mu.Unlock()
	}()
	var waiting time.Time // since when the call waits at the coordinator
	for ; ; step.Timeout = p.links.repeatTimeout(call, c.Name) {
		answer, err := p.askOnce(ctx, step, t)
		if err != nil || answer.Verdict == verdictRedirect {
			return answer, err
		}
		p.links.answered(c.Name)
		if !waiting.IsZero() {
			call.Waited(time.Since(waiting))
		}
		waiting = time.Now()
		if answer.Verdict != routing.Wait {
			return answer, nil
		}
		answer, placed, err := p.awaitLater(ctx, c.Name, later)
		call.Waited(time.Since(waiting))
		waiting = time.Now()
		if placed || err != nil {
			return answer, err
		}
	}
}

var errCoordinatorLost = errors.New("the link to the coordinator was closed while the request waited there")

// awaitLater waits for the placement of a request that waits at a coordinator, until the request is to be repeated.
// It fails if the link to the coordinator does.
func (p *Placer) awaitLater(ctx context.Context, name string, later <-chan placeAnswer) (answer placeAnswer, placed bool, err error) {
	renew := time.NewTimer(placementRenewInterval)
	defer renew.Stop()
	for {
		state, changed := p.links.stateAndChange(name)
		if state == coordination.Failed || state == coordination.NotLinked {
			return answer, false, errCoordinatorLost
		}
		select {
		case answer = <-later:
			return answer, true, nil
		case <-renew.C:
			return answer, false, nil
		case <-changed:
		case <-ctx.Done():
			return answer, false, ctx.Err()
		}
	}
}

// askOnce sends a placement request and waits for its answer.
func (p *Placer) askOnce(ctx context.Context, step *coordination.Step, t *blackboard.Ticket) (placeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	request := p.newRequest(step.Peer, t)
	request.Rank, request.Insist = step.Rank, step.Insist
	var answer placeAnswer
	err := p.cluster.Hub.Call(ctx, p.links.address(step.Peer.Name), peer.KindPlace, request, &answer)
	return answer, err
}
