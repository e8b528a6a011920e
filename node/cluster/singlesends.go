package cluster

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/once"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/requestcontrol"
	"github.com/go-faster/errors"
)

// A claim to a call that may run once is held by the daemon that sends it and by the first daemons of a ranking, its holders. The ranking is
// one for all calls, so that new settings do not give a repeat other holders than the first arrival had. A call is sent if more than
// half of the holders that run hold its claim, and none of them holds another one (once.Decide).

// claimRanking is the name of the ranking, among those of the pools.
const claimRanking = "claims to calls that may run once"

// claimHolders is how many daemons of a ranking hold a claim. A claim that three of four hold is found by a repeat to which one of them
// does not answer, also if one of the four has been replaced meanwhile.
const claimHolders = 4

const (
	// reaskPause is the pause after which a holder is asked again whose link was closed or could not be opened.
	reaskPause = 50 * time.Millisecond
	// withdrawTimeout is how long it is tried to withdraw a claim at a holder that does not answer: a daemon that is silent
	// for longer is dead to the others, and no holder any more.
	withdrawTimeout = 2 * membership.DeadAfter
)

// singleSendAction is what a daemon is asked to do about a claim.
type singleSendAction uint8

// The actions.
const (
	beginSend    singleSendAction = iota // hold the claim, unless there is another one to the request
	checkSend                            // tell whether there is another one; asked by earlier versions
	withdrawSend                         // forget the claim: the request has not run
)

// singleSendRequest asks a daemon to do something about a claim.
type singleSendRequest struct {
	Claim  onceClaim        `cbor:"1,keyasint"`
	Action singleSendAction `cbor:"2,keyasint,omitempty"`
}

// singleSendAnswer reports whether another arrival has a claim to the same request, and its owner; earlier versions do not name it.
type singleSendAnswer struct {
	Repeated bool   `cbor:"1,keyasint,omitempty"`
	Owner    uint64 `cbor:"2,keyasint,omitempty"`
}

// claimRound asks the holders of a claim until it is known whether its call may be sent.
type claimRound struct {
	placer *Placer
	claim  once.Claim
	// updated receives a value when a vote has changed.
	updated chan struct{}

	mu    sync.Mutex
	votes map[string]once.Vote // of the daemons that were asked
}

// ClaimSend implements requestcontrol.Placer.
func (p *Placer) ClaimSend(ctx context.Context, claim once.Claim) (requestcontrol.SendClaim, once.Verdict) {
	r := &claimRound{placer: p, claim: claim, updated: make(chan struct{}, 1), votes: map[string]once.Vote{}}
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		changed := p.links.nextChange()
		holders, complete := p.currentHolders()
		r.ask(askCtx, holders)
		if verdict := r.decide(holders); complete && verdict != once.Undecided || verdict == once.Repeated {
			return r.outcome(), verdict
		}
		var searched <-chan time.Time
		if !complete {
			searched = time.After(searchPause)
		}
		select {
		case <-r.updated:
		case <-changed:
		case <-searched:
		case <-ctx.Done():
			return r.outcome(), once.Undecided
		}
	}
}

// currentHolders returns the daemons that hold claims, which this one may be. It reports false while this daemon still looks for the
// others.
func (p *Placer) currentHolders() (names []string, complete bool) {
	ranking := p.rankingOf(claimRanking)
	for _, c := range ranking[:min(claimHolders, len(ranking))] {
		names = append(names, c.Name)
	}
	return names, !p.cluster.openFleet() || p.cluster.discoveryDone()
}

// ask asks the holders that have not been asked yet.
func (r *claimRound) ask(ctx context.Context, holders []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range holders {
		if _, asked := r.votes[name]; asked {
			continue
		}
		switch {
		case name == r.placer.cluster.Board.Self.Name:
			r.votes[name] = once.Granted // The claim was made here before.
			continue
		case r.placer.links.mayAnswer(name):
			r.votes[name] = once.Pending
		default:
			r.votes[name] = once.Late
		}
		go r.askHolder(ctx, name)
	}
}

// maxContests is how often a holder is asked again that holds the claim of another arrival with a higher owner. If that one has not been
// sent, its daemon withdraws it, within two round trips.
const maxContests = 4

// askHolder asks a holder until it answers or has ended, and records its votes.
func (r *claimRound) askHolder(ctx context.Context, name string) {
	p := r.placer
	timeout := p.links.timeout(name)
	late := time.AfterFunc(timeout, func() {
		if r.recordVote(name, once.Late) && ctx.Err() == nil {
			p.links.unanswered(name, timeout)
		}
	})
	defer late.Stop()
	answer, err := r.claimAt(ctx, name)
	switch {
	case errors.Is(err, errHolderAbsent):
		r.recordVote(name, once.Absent)
	case err != nil: // The round is over.
	case answer.Repeated:
		r.recordVote(name, once.Denied)
	default:
		r.recordVote(name, once.Granted)
	}
}

// claimAt claims the call at a holder. Two daemons that get a request at once may each have claimed it at some of the holders; the arrival
// with the lower owner waits for the other one's withdrawal.
func (r *claimRound) claimAt(ctx context.Context, name string) (singleSendAnswer, error) {
	request := singleSendRequest{wireClaim(r.claim), beginSend}
	began := time.Now()
	answer, err := r.placer.askAboutClaim(ctx, name, request)
	roundTrip := time.Since(began)
	for range maxContests {
		if err != nil || !answer.Repeated || once.Owner(answer.Owner) <= r.claim.Owner {
			break
		}
		r.recordVote(name, once.Contested)
		controller.Sleep(ctx, roundTrip)
		answer, err = r.placer.askAboutClaim(ctx, name, request)
	}
	return answer, err
}

// recordVote records a vote and reports whether it is new. A holder that has answered is not late.
func (r *claimRound) recordVote(name string, v once.Vote) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v == once.Late && r.votes[name] != once.Pending {
		return false
	}
	r.votes[name] = v
	select {
	case r.updated <- struct{}{}:
	default:
	}
	return true
}

// decide returns the verdict of the holders as they are now. One that has been replaced may still object.
func (r *claimRound) decide(holders []string) once.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	votes := make([]once.Vote, 0, len(holders))
	for _, name := range holders {
		votes = append(votes, r.votes[name])
	}
	for name, v := range r.votes {
		if v == once.Denied && !slices.Contains(holders, name) {
			votes = append(votes, v)
		}
	}
	return once.Decide(votes)
}

// outcome returns what the other daemons have answered.
func (r *claimRound) outcome() requestcontrol.SendClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := decision.SendClaim{}
	for name, v := range r.votes {
		switch {
		case name == r.placer.cluster.Board.Self.Name:
		case v == once.Granted:
			outcome.Holders = append(outcome.Holders, name)
		case v == once.Denied || v == once.Contested:
			outcome.RepeatedAt = name
		case v == once.Absent:
			outcome.Ended = append(outcome.Ended, name)
		default:
			outcome.Silent = append(outcome.Silent, name)
		}
	}
	slices.Sort(outcome.Holders)
	slices.Sort(outcome.Silent)
	slices.Sort(outcome.Ended)
	return requestcontrol.SendClaim{Claim: r.claim, SendClaim: outcome}
}

// WithdrawSend implements requestcontrol.Placer. It waits for the holders that are expected to answer; the others are told once they
// can be reached.
func (p *Placer) WithdrawSend(held requestcontrol.SendClaim) {
	request := singleSendRequest{wireClaim(held.Claim), withdrawSend}
	names := slices.Concat(held.Holders, held.Silent)
	told, waited, longest := make(chan struct{}, len(names)), 0, time.Duration(0)
	for _, name := range names {
		due := p.links.mayAnswer(name)
		if due {
			waited++
			longest = max(longest, p.links.timeout(name))
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
			defer cancel()
			if _, err := p.askAboutClaim(ctx, name, request); err != nil {
				p.cluster.Recorder.Log.Debug("the claim to a call that has not run was not withdrawn", "peer", name, "error", err.Error())
			}
			if due {
				told <- struct{}{}
			}
		}()
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	for range waited {
		select {
		case <-told:
		case <-timer.C:
			return
		}
	}
}

// errHolderAbsent means that no process holds claims at a daemon's address.
var errHolderAbsent = errors.New("no daemon that knows claims runs at the address")

// askAboutClaim sends a request about a claim to a daemon until it answers, has ended, or ctx ends.
func (p *Placer) askAboutClaim(ctx context.Context, name string, request singleSendRequest) (singleSendAnswer, error) {
	for {
		var answer singleSendAnswer
		err := p.cluster.Hub.Call(ctx, p.links.address(name), peer.KindSingleSend, request, &answer)
		var unknown *peer.RemoteError
		switch {
		case err == nil:
			return answer, nil
		case ctx.Err() != nil:
			return answer, ctx.Err()
		case errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &unknown):
			return answer, errors.Wrap(errHolderAbsent, err.Error())
		}
		controller.Sleep(ctx, reaskPause)
	}
}

// serveSingleSend handles another daemon's request about a claim.
func (p *Placer) serveSingleSend(_ context.Context, _ string, in singleSendRequest) (singleSendAnswer, error) {
	sends, claim := p.cluster.Board.SingleSends, in.Claim.claim(time.Now())
	switch in.Action {
	case withdrawSend:
		sends.Withdraw(claim)
		return singleSendAnswer{}, nil
	case checkSend:
		return singleSendAnswer{Repeated: sends.ClaimedByOther(claim)}, nil
	default:
		other, ok := sends.Begin(claim)
		return singleSendAnswer{Repeated: !ok, Owner: uint64(other)}, nil
	}
}
