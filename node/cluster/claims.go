package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/requestcontrol"
)

// claimRequest is a claim on the wire.
type claimRequest struct {
	Key           string    `cbor:"1,keyasint"`
	Attempt       string    `cbor:"2,keyasint"`
	Holder        string    `cbor:"3,keyasint"`
	CreationKnown bool      `cbor:"4,keyasint,omitempty"`
	Created       time.Time `cbor:"5,keyasint,omitempty"`
}

// claimReply is a witness's answer on the wire.
type claimReply struct {
	Answer  claim.Answer        `cbor:"1,keyasint"`
	Attempt string              `cbor:"2,keyasint,omitempty"`
	Holder  string              `cbor:"3,keyasint,omitempty"`
	Outcome *blackboard.Outcome `cbor:"4,keyasint,omitempty"`
}

// The times of a claim on the wire.
const (
	witnessTimeout = 500 * time.Millisecond
	// maxClaimRetryDelay bounds the random pause after a claim that met another one.
	maxClaimRetryDelay = 100 * time.Millisecond
	notifyTimeout      = 2 * time.Second
)

func (r claimRequest) coreRequest() claim.Request {
	return claim.Request{Key: r.Key, Attempt: r.Attempt, Holder: r.Holder, Created: claim.CreationTime{Known: r.CreationKnown, At: r.Created}}
}

func (c *Cluster) serveClaim(_ context.Context, _ string, in claimRequest) (claimReply, error) {
	return c.answerClaim(in), nil
}

// witness answers a claim from this daemon's own memory.
func (c *Cluster) answerClaim(in claimRequest) claimReply {
	reply, outcome := c.Board.Claims.Ask(in.coreRequest(), time.Now())
	return claimReply{Answer: reply.Answer, Attempt: reply.Attempt, Holder: reply.Holder, Outcome: outcome}
}

// witnessAnswer is one witness's answer, or its silence.
type witnessAnswer struct {
	from  string
	reply claimReply
	err   error
}

// Claim implements requestcontrol.Claimer.
func (c *Cluster) Claim(ctx context.Context, in requestcontrol.Claim) (*requestcontrol.Permit, error) {
	request := claimRequest{Key: in.Key, Holder: c.Board.Self.Name}
	if birth := claim.CreationTimeOf(in.CallerKey); birth.Known {
		request.CreationKnown, request.Created = true, birth.At
	}
	for attempt := in.Attempt; ; attempt = requestcontrol.NewAttemptID() {
		request.Attempt = attempt
		permit, retry, err := c.claimOnce(ctx, request)
		if err == nil {
			permit.Attempt = attempt
			return permit, nil
		}
		if !retry || ctx.Err() != nil {
			return permit, err
		}
		controller.Sleep(ctx, rand.N(maxClaimRetryDelay))
	}
}

// claimOnce makes one round. It tells whether another round makes sense: when
// two claims met and both gave up.
func (c *Cluster) claimOnce(ctx context.Context, in claimRequest) (permit *requestcontrol.Permit, retry bool, err error) {
	now := time.Now()
	sets := c.Board.Members.WitnessSets(in.coreRequest(), now)
	claimer := claim.NewClaimer(in.coreRequest(), sets, now)
	outcome := c.askWitnesses(ctx, claimer, in)
	permit = &requestcontrol.Permit{ExpiresAt: claimer.PermitExpiry(), Tally: tallyOf(in.Key, claimer)}
	if claimer.State() == claim.Won {
		c.Board.Claims.Begin(in.Attempt)
		return permit, false, nil
	}
	claimer.GiveUp()
	c.notifyWitnesses(ctx, claimer.Witnesses(), peer.KindGiveUp, in.Key, attemptMessage{Key: in.Key, Attempt: in.Attempt})
	if attempt, holder, taken := claimer.CurrentHolder(); taken {
		duplicate, again := c.holderOutcome(ctx, in.Key, attempt, holder, outcome)
		if again {
			return permit, true, noQuorumError(claimer.Tally())
		}
		return permit, false, duplicate
	}
	return permit, false, claimError(claimer, sets)
}

// askWitnesses asks all witnesses at once and counts answers until the claim is
// decided. It returns the outcome of an earlier call, if a witness knows it.
func (c *Cluster) askWitnesses(ctx context.Context, claimer *claim.Claimer, in claimRequest) *blackboard.Outcome {
	witnesses := claimer.Witnesses()
	answers := make(chan witnessAnswer, len(witnesses))
	for _, name := range witnesses {
		go func() {
			a := witnessAnswer{from: name}
			if name == c.Board.Self.Name {
				a.reply = c.answerClaim(in)
			} else {
				a.err = c.call(ctx, name, peer.KindClaim, in, &a.reply, witnessTimeout)
			}
			answers <- a
		}()
	}
	var outcome *blackboard.Outcome
	for range witnesses {
		a := <-answers
		if a.err != nil {
			claimer.RecordNoAnswer(a.from)
		} else {
			claimer.Receive(a.from, claim.Reply{Answer: a.reply.Answer, Attempt: a.reply.Attempt, Holder: a.reply.Holder})
			if a.reply.Outcome != nil {
				outcome = a.reply.Outcome
			}
		}
		if claimer.State() == claim.Won {
			break
		}
	}
	return outcome
}

func tallyOf(key string, claimer *claim.Claimer) decision.ClaimTally {
	t := claimer.Tally()
	return decision.ClaimTally{Key: key, Witnesses: claimer.Witnesses(), Needed: t.Needed, Granted: t.Granted, Denied: t.Denied, Unanswered: t.Unanswered}
}

// earlier finds out what became of the call that has the key. It tells whether
// that call gave up, so that the key is free again.
func (c *Cluster) holderOutcome(ctx context.Context, key, attempt, holder string, known *blackboard.Outcome) (duplicate error, again bool) {
	if known != nil {
		return &requestcontrol.DuplicateError{Outcome: *known}, false
	}
	var answer outcomeAnswer
	question := attemptMessage{Key: key, Attempt: attempt}
	if holder == c.Board.Self.Name {
		answer, _ = c.serveOutcome(ctx, holder, question)
	} else if c.Hub.Call(ctx, c.address(holder), peer.KindOutcome, question, &answer) != nil {
		return &requestcontrol.DuplicateError{Outcome: blackboard.Outcome{Execution: fault.Unknown}}, false
	}
	if answer.GaveUp {
		return nil, true
	}
	return &requestcontrol.DuplicateError{Outcome: answer.Outcome}, false
}

// outcomeAnswer is what the daemon of a call says of it.
type outcomeAnswer struct {
	Outcome blackboard.Outcome `cbor:"1,keyasint"`
	// GaveUp says that the attempt never sent and never will.
	GaveUp bool `cbor:"2,keyasint,omitempty"`
}

// serveOutcome waits for the end of a call of this daemon and tells it. An
// attempt that is neither running nor ended here lost its claim and gave up, if
// this daemon has run since; otherwise nothing is known.
func (c *Cluster) serveOutcome(ctx context.Context, _ string, in attemptMessage) (outcomeAnswer, error) {
	outcome, running := c.Board.Claims.Await(in.Key, in.Attempt)
	if running != nil {
		select {
		case <-running:
		case <-ctx.Done():
			return outcomeAnswer{Outcome: blackboard.Outcome{Execution: fault.Unknown}}, nil
		}
		outcome, _ = c.Board.Claims.Await(in.Key, in.Attempt)
	}
	if outcome != nil {
		return outcomeAnswer{Outcome: *outcome, GaveUp: outcome.Execution == fault.NotRun}, nil
	}
	return outcomeAnswer{Outcome: blackboard.Outcome{Execution: fault.Unknown}, GaveUp: c.createdByThisProcess(in.Attempt)}, nil
}

// madeHere tells whether an attempt was made by this process, by its time. One
// that is a little younger than the process is not trusted, for clocks that were
// set back in between.
func (c *Cluster) createdByThisProcess(attempt string) bool {
	birth := claim.CreationTimeOf(attempt)
	return birth.Known && birth.At.After(c.started.Add(claim.MaxClockSkew))
}

// attemptMessage names an attempt and, when it has ended, says how.
type attemptMessage struct {
	Key     string             `cbor:"1,keyasint"`
	Attempt string             `cbor:"2,keyasint"`
	Outcome blackboard.Outcome `cbor:"3,keyasint,omitempty"`
}

func (c *Cluster) serveGiveUp(_ context.Context, _ string, in attemptMessage) (empty, error) {
	c.Board.Claims.GiveUp(in.Key, in.Attempt)
	return empty{}, nil
}

func (c *Cluster) serveConclude(_ context.Context, _ string, in attemptMessage) (empty, error) {
	c.Board.Claims.Conclude(in.Key, in.Attempt, in.Outcome, time.Now())
	return empty{}, nil
}

// Conclude implements requestcontrol.Claimer. A call that surely did not run
// frees its key, since its attempt never sends any more.
func (c *Cluster) RecordOutcome(in requestcontrol.Claim, o blackboard.Outcome) {
	message := attemptMessage{Key: in.Key, Attempt: in.Attempt, Outcome: o}
	c.Board.Claims.Conclude(in.Key, in.Attempt, o, time.Now())
	c.Board.Claims.End(in.Attempt)
	kind := peer.KindConclude
	if o.Execution == fault.NotRun {
		kind = peer.KindGiveUp
	}
	sets := c.Board.Members.WitnessSets(claim.Request{Key: in.Key, Created: claim.CreationTimeOf(in.CallerKey)}, time.Now())
	var witnesses []string
	for _, set := range sets {
		witnesses = append(witnesses, set...)
	}
	c.notifyWitnesses(context.Background(), witnesses, kind, in.Key, message)
}

// tellWitnesses sends news of a key to its witnesses, without waiting.
func (c *Cluster) notifyWitnesses(ctx context.Context, witnesses []string, kind peer.Kind, key string, message attemptMessage) {
	for _, name := range witnesses {
		if name != c.Board.Self.Name {
			go func() {
				ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
				defer cancel()
				_ = c.Hub.Notify(ctx, c.address(name), kind, message)
			}()
		} else if kind == peer.KindGiveUp {
			c.Board.Claims.GiveUp(key, message.Attempt)
		}
	}
}

// claimError says why a key could not be claimed. It never says "not run" where an
// earlier call with the same key may have run: without a majority of witnesses,
// that is all that can be said.
func claimError(claimer *claim.Claimer, sets [][]string) *fault.Error {
	t := claimer.Tally()
	switch {
	case len(sets) == 0:
		return fault.New(fault.NoQuorum,
			"the host list has not been confirmed for too long, so it is not known who keeps keys",
			"send again with the same key; the list is read every few seconds").
			WithExecution(fault.Unknown).WithRetry(2 * time.Second)
	case t.KeyFromFuture > 0:
		return fault.New(fault.KeyFromFuture,
			"the time in the idempotency key lies ahead", "set the clock of the caller")
	case t.KeyTooOld > 0:
		return fault.New(fault.KeyTooOld,
			fmt.Sprintf("the idempotency key is older than %v", claim.ClaimWindow),
			"find out at the service whether an earlier call ran; use a new key only if none did").
			WithExecution(fault.Unknown)
	case t.WitnessTooNew > 0 && claimer.Request.Created.Known:
		return fault.New(fault.NoQuorum,
			fmt.Sprintf("%d daemons that keep this key are not older than it, so they may have forgotten it", t.WitnessTooNew),
			"find out at the service whether an earlier call ran; use a new key only if none did").
			WithExecution(fault.Unknown)
	case t.WitnessTooNew > 0:
		return fault.New(fault.NoQuorum,
			fmt.Sprintf("%d daemons that keep this key have restarted and may have forgotten it", t.WitnessTooNew),
			fmt.Sprintf("send again with the same key; keys that are UUIDv7 work at once, others %v after a restart", claim.RetryWindow)).
			WithExecution(fault.Unknown).WithRetry(claim.RetryWindow / 10)
	default:
		return noQuorumError(t)
	}
}

func noQuorumError(t claim.Tally) *fault.Error {
	return fault.New(fault.NoQuorum,
		fmt.Sprintf("%d of the daemons that keep this key granted it, %d are needed", t.Granted, t.Needed),
		"send again with the same key; this call was not sent, an earlier one with the key may have been").
		WithExecution(fault.Unknown).WithRetry(time.Second)
}
