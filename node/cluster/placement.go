package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/coordination"
	"doorstack.dev/core/routing"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/requestcontrol"
)

// One daemon of the fleet coordinates each pool: among the living daemons on strong hosts,
// the first in the pool's rendezvous order. The others ask it where to send a call, so that
// each choice takes all calls into account. Its placement is advice: a daemon that gets none
// in time decides from the calls that it knows itself, and only the quality of the choice
// suffers.

// Timeouts and intervals of placement requests.
const (
	// progressTimeout bounds the time until a message without an answer is queued.
	progressTimeout = 40 * time.Millisecond
	// maxAnswerDelay is how long the coordinator holds a request to answer it with a
	// placement; later placements are sent as messages of their own.
	maxAnswerDelay = coordination.AnswerDelay
	// placementRenewInterval is the interval at which a daemon repeats a waiting request,
	// so that each side notices the end of the other.
	placementRenewInterval = 250 * time.Millisecond
	// placementRequestTTL is the time after which a coordinator drops a request that is not
	// repeated.
	placementRequestTTL = time.Second
	// callExpiryMargin is how long a coordinator counts a call beyond its deadline, in case
	// the report of its end was lost.
	callExpiryMargin = time.Second
	// adoptedCallTTL is how long a coordinator counts a call that was running when the
	// coordinator began: its deadline is not reported, and the longest timeout of the
	// users' routes is 15 s.
	adoptedCallTTL = 15 * time.Second
	// maxSuspectDuration bounds how long a target is excluded because one daemon reported a
	// failure.
	maxSuspectDuration = 5 * time.Second
)

// Placer asks the pools' coordinators and acts as one. It implements requestcontrol.Placer.
type Placer struct {
	cluster *Cluster
	// links has its own lock.
	links *placementLinks

	mu sync.Mutex
	// countedAt are the coordinators that count each of this daemon's calls, by attempt: the one that placed it, and
	// those that were told of it.
	countedAt map[string][]string
	// elsewhere are the calls that have yet to be reported to the first coordinator of their pool, by attempt.
	elsewhere map[string]elsewhereCall
	// pending are this daemon's requests that wait at a coordinator, by attempt.
	pending map[string]chan placeAnswer
	// candidates are the daemons that may coordinate each pool, as of a view of the members.
	candidates map[string]candidates
	// informed are the coordinators that know of this daemon's calls, by pool.
	informed map[string]coordination.Candidate
	// coordinated are the other daemons' requests and calls that this daemon coordinates,
	// by attempt.
	coordinated map[string]*coordinatedCall
	// requests is the number of placement requests that this daemon has sent.
	requests uint64
	// ended are the attempts of other daemons whose end was reported lately.
	ended endedAttempts
}

func newPlacer(c *Cluster) *Placer {
	return &Placer{
		cluster: c, links: newPlacementLinks(c), countedAt: map[string][]string{}, elsewhere: map[string]elsewhereCall{}, pending: map[string]chan placeAnswer{},
		candidates: map[string]candidates{}, informed: map[string]coordination.Candidate{}, coordinated: map[string]*coordinatedCall{},
	}
}

// Coordinates reports whether this daemon places a pool's calls for the fleet. A daemon
// that has not found the others yet does not: where all hosts start together each would
// take itself for the coordinator and poll every engine for a report of how slow it is.
func (p *Placer) Coordinates(pool string) bool {
	return p.cluster.Board.Phase() == blackboard.Serving && p.cluster.discoveryDone() &&
		p.coordinatorOf(pool, time.Now()).Name == p.cluster.Board.Self.Name
}

// acceptAnswer returns a coordinator's placement, or false if this daemon knows a reason
// not to send the call to one of the targets.
func (p *Placer) acceptAnswer(c coordination.Candidate, t *blackboard.Ticket, answer *placeAnswer) (blackboard.Placement, bool) {
	if answer.Verdict == routing.Place && !p.targetsAccept(t, answer) {
		// What this daemon knows of its targets takes precedence over the coordinator's
		// older state.
		p.cluster.Recorder.Log.Info("placement is not accepted", "request", t.Request.ID, "peer", c.Name, "target", answer.Target,
			"reason", "the target or a helper is draining, evacuated, outside the homes, in backoff or unknown here, or the call would exceed the target's rate limit")
		p.notifyEnded(c.Name, callProgress{Attempt: t.Attempt, Result: blackboard.CallCancelled})
		return blackboard.Placement{}, false
	}
	if answer.Verdict == routing.Place {
		p.mu.Lock()
		p.countAt(t.Attempt, c.Name)
		p.mu.Unlock()
		p.recordPlacedBy(t, c.Name)
	}
	placement := p.applyPlacement(t, answer)
	placement.DecidedBy = c.Name
	return placement, true
}

// targetsAccept reports whether this daemon itself would send to all targets of a
// placement. A coordinator of an earlier version does not know the homes of requests.
func (p *Placer) targetsAccept(t *blackboard.Ticket, a *placeAnswer) bool {
	targets, now := p.cluster.Board.Targets, time.Now()
	incomplete := p.cluster.Board.Directory.Incomplete()
	homes := t.Request.Homes
	accepts := func(id string) bool {
		if len(homes) > 0 && !slices.Contains(homes, targets.Region(id)) {
			return false
		}
		// A coordinator knows more targets than a daemon that has read only a part of the
		// list.
		return targets.Accepts(id, now) || incomplete && targets.Address(id) == ""
	}
	for _, h := range a.Helpers {
		if !accepts(h.Target) {
			return false
		}
	}
	return accepts(a.Target) && !targets.OverLimit(a.Target, now)
}

// newRequest returns the wire form of a ticket. The first request to a coordinator carries
// all calls that this daemon has in the pool.
func (p *Placer) newRequest(c coordination.Candidate, t *blackboard.Ticket) placeRequest {
	q := placeRequest{
		Attempt: t.Attempt, Request: t.Request.ID, Pool: t.Pool.Name, Account: t.Item.Account, Level: t.Item.Level,
		PromptTokens: t.Request.PromptTokens, OutputTokens: t.Request.OutputTokens, DataCentre: t.Request.DataCentre,
		Exclude: t.Request.Exclude, Homes: t.Request.Homes, Goal: t.Request.Goal, GapGoal: t.Request.GapGoal,
		Waited: time.Since(t.Item.Arrived), UntilDeadline: time.Until(t.Deadline), Retry: t.Item.Retry, AnswerStarted: t.Request.AnswerStarted,
	}
	p.mu.Lock()
	known := p.informed[t.Pool.Name] == c
	p.informed[t.Pool.Name] = c
	p.requests++
	q.Number = p.requests
	p.mu.Unlock()
	if !known {
		q.Calls = p.handOverCalls(t.Pool.Name, c.Name)
		q.Limits = p.cluster.Board.Targets.Limits(t.Pool.Name, time.Now())
	}
	return q
}

// handOverCalls lists this daemon's calls in a pool, without those that it coordinates for
// others, for a coordinator that does not know them. From now on this daemon reports their
// ends to that coordinator, where a call whose end is not reported would count for
// adoptedCallTTL.
func (p *Placer) handOverCalls(pool, coordinator string) []blackboard.CallState {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The calls are listed under the lock, for which ReportFinished waits: a call that ends meanwhile is
	// either not listed, or its end is reported.
	calls := p.cluster.Board.Targets.Calls(pool, time.Now())
	calls = slices.DeleteFunc(calls, func(c blackboard.CallState) bool { return p.coordinated[c.Attempt] != nil })
	for _, c := range calls {
		p.countAt(c.Attempt, coordinator)
	}
	return calls
}

// applyPlacement counts a placed call at its target on this daemon too, and returns the
// placement.
func (p *Placer) applyPlacement(t *blackboard.Ticket, a *placeAnswer) blackboard.Placement {
	now := time.Now()
	placement := blackboard.Placement{Attempt: t.Attempt, Address: a.Address, DecidedAt: now, Decision: routing.Decision{
		Request: t.Request, Params: t.Params, Verdict: a.Verdict, Chosen: a.Target, Considered: a.Considered, PrefillTime: a.PrefillTime,
		Reservations: a.Reservations, RetryAfter: a.RetryAfter,
	}}
	if a.Rejections != nil {
		placement.Decision.Rejections = *a.Rejections
	}
	for _, h := range a.Helpers {
		placement.Decision.Helpers = append(placement.Decision.Helpers, h.Target)
		placement.Helpers = append(placement.Helpers, blackboard.TargetAddress{ID: h.Target, Address: h.Address})
	}
	if a.Verdict == routing.Place {
		p.recordLimitedCall(t.Pool.Name, a, now)
		placement.Gone = p.cluster.Board.Targets.Adopt(blackboard.CallStateOf(t.Attempt, &placement.Decision), now)
	}
	return placement
}

// ReportPrefillDone tells the coordinator that a call's prompt was read.
func (p *Placer) ReportPrefillDone(attempt string) {
	p.mu.Lock()
	names := p.countedAt[attempt]
	p.mu.Unlock()
	for _, name := range names {
		p.notify(name, peer.KindProgress, callProgress{Attempt: attempt})
	}
}

// ReportFinished tells the coordinator that a call has ended, and which target, if any, rejected
// the call or could not be reached.
func (p *Placer) ReportFinished(end requestcontrol.CallEnd) {
	p.mu.Lock()
	names := p.countedAt[end.Attempt]
	delete(p.countedAt, end.Attempt)
	delete(p.elsewhere, end.Attempt)
	p.mu.Unlock()
	for _, name := range names {
		p.notifyEnded(name, callProgress{Attempt: end.Attempt, Result: end.Result, Suspect: end.Suspect, SuspectFor: end.SuspectFor})
	}
}

// notifyEnded tells a coordinator that a call has ended, as far as it was requested by now.
func (p *Placer) notifyEnded(name string, end callProgress) {
	p.mu.Lock()
	end.Ended, end.Through = true, p.requests
	p.mu.Unlock()
	p.notify(name, peer.KindProgress, end)
}

// notify sends a message about a call over an open link. Where the message is lost the
// coordinator drops the call after its deadline.
func (p *Placer) notify(name string, kind peer.Kind, message any) {
	if !p.cluster.Hub.HasLink(name) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), progressTimeout)
	defer cancel()
	if err := p.cluster.Hub.Notify(ctx, p.cluster.address(name), kind, message); err != nil {
		p.cluster.Recorder.Log.Debug("message could not be sent to a coordinator", "peer", name, "kind", kind.String(), "error", err.Error())
	}
}

// servePlaced handles a placement that came after the request was answered with
// routing.Wait.
func (p *Placer) servePlaced(_ context.Context, _ string, in placeAnswer) (empty, error) {
	p.mu.Lock()
	waiting := p.pending[in.Attempt]
	p.mu.Unlock()
	if waiting != nil {
		select {
		case waiting <- in:
		default: // The request has an answer already.
		}
	}
	return empty{}, nil
}
