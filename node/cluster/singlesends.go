package cluster

import (
	"context"
	"slices"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/once"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/requestcontrol"
)

// A claim to a call that may run once is held by the daemon that sends it and by the first daemons of the pool's ranking. A repeat
// asks the first daemons of the ranking as it is then: at least one of them knows the claim unless all of its holders have ended.

// claimHolders is how many daemons of a pool's ranking hold the claim to a call, beside the one that sends it. Two may end at once,
// with a third that sends the call.
const claimHolders = 3

// singleSendAction is what a daemon is asked to do about a claim.
type singleSendAction uint8

// The actions.
const (
	beginSend    singleSendAction = iota // hold the claim, unless there is another one to the request
	checkSend                            // tell whether there is another one
	withdrawSend                         // forget the claim: the request has not run
)

// singleSendRequest asks a daemon to do something about a claim.
type singleSendRequest struct {
	Claim  onceClaim        `cbor:"1,keyasint"`
	Action singleSendAction `cbor:"2,keyasint,omitempty"`
}

// singleSendAnswer reports whether another arrival has a claim to the same request.
type singleSendAnswer struct {
	Repeated bool `cbor:"1,keyasint,omitempty"`
}

// BeginSend implements requestcontrol.Placer.
func (p *Placer) BeginSend(ctx context.Context, pool, placedBy string, claim once.Claim) (requestcontrol.SendClaim, bool) {
	holders, unasked := p.holdersOf(pool)
	// A coordinator holds the claims to the calls that it places for others.
	asked := slices.DeleteFunc(slices.Clone(holders), func(name string) bool { return name == placedBy })
	if placedBy != "" && placedBy != p.cluster.Board.Self.Name && len(asked) == len(holders) {
		holders = append(holders, placedBy)
	}
	silent, repeatedAt := p.askHolders(ctx, asked, beginSend, claim)
	return requestcontrol.SendClaim{Claim: claim, SendClaim: decision.SendClaim{
		Holders: holders, Silent: silent, Unasked: unasked, RepeatedAt: repeatedAt,
	}}, repeatedAt == ""
}

// SentBefore implements requestcontrol.Placer.
func (p *Placer) SentBefore(ctx context.Context, pool string, claim once.Claim) (decision.SendClaim, bool) {
	holders, unasked := p.holdersOf(pool)
	silent, repeatedAt := p.askHolders(ctx, holders, checkSend, claim)
	return decision.SendClaim{Silent: silent, Unasked: unasked, RepeatedAt: repeatedAt}, repeatedAt != ""
}

// WithdrawSend implements requestcontrol.Placer.
func (p *Placer) WithdrawSend(ctx context.Context, held requestcontrol.SendClaim) {
	p.askHolders(ctx, held.Holders, withdrawSend, held.Claim)
}

// holdersOf lists the daemons that hold the claims to a pool's calls, without this one; unasked are those that cannot be reached.
// Failed links are opened again for later calls.
func (p *Placer) holdersOf(pool string) (holders, unasked []string) {
	ranking := p.rankingOf(pool)
	for _, c := range ranking[:min(claimHolders, len(ranking))] {
		switch {
		case c.Name == p.cluster.Board.Self.Name:
		case p.links.mayAnswer(c.Name):
			holders = append(holders, c.Name)
		default:
			unasked = append(unasked, c.Name)
			p.links.open(c.Name)
		}
	}
	return holders, unasked
}

// holderAnswer is what a daemon says of a claim, if it answered.
type holderAnswer struct {
	name               string
	repeated, answered bool
}

// askHolders sends a request about a claim to some daemons and waits for their answers, each for the timeout of a request to that
// peer. It returns the daemons that did not answer, and one that has another claim to the same request, if any.
func (p *Placer) askHolders(ctx context.Context, holders []string, action singleSendAction, claim once.Claim) (silent []string, repeatedAt string) {
	answers := make(chan holderAnswer, len(holders))
	for _, name := range holders {
		go func() { answers <- p.askHolder(ctx, name, singleSendRequest{*wireClaim(&claim), action}) }()
	}
	for range holders {
		switch a := <-answers; {
		case !a.answered:
			silent = append(silent, a.name)
		case a.repeated:
			repeatedAt = a.name
		}
	}
	return silent, repeatedAt
}

// askHolder sends a request about a claim to one daemon.
func (p *Placer) askHolder(ctx context.Context, name string, request singleSendRequest) holderAnswer {
	timeout := p.links.timeout(name)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	var answer singleSendAnswer
	err := p.cluster.Hub.Call(callCtx, p.links.address(name), peer.KindSingleSend, request, &answer)
	if err == nil {
		return holderAnswer{name, answer.Repeated, true}
	}
	waited := time.Since(began)
	if ctx.Err() == nil && (waited >= timeout || !p.cluster.Hub.HasLink(name)) { // The caller has not gone.
		p.links.unanswered(name, waited)
	}
	p.cluster.Recorder.Log.Debug("a daemon does not answer about a call that may run once", "peer", name, "error", err.Error())
	return holderAnswer{name: name}
}

// serveSingleSend handles another daemon's request about a claim.
func (p *Placer) serveSingleSend(_ context.Context, _ string, in singleSendRequest) (singleSendAnswer, error) {
	sends, claim := p.cluster.Board.SingleSends, *in.Claim.claim(time.Now())
	switch in.Action {
	case withdrawSend:
		sends.Withdraw(claim)
		return singleSendAnswer{}, nil
	case checkSend:
		return singleSendAnswer{Repeated: sends.ClaimedByOther(claim)}, nil
	default:
		return singleSendAnswer{Repeated: !sends.Begin(claim)}, nil
	}
}
