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

// claimRequest asks a witness for an idempotency key, in wire form.
type claimRequest struct {
	Key           string    `cbor:"1,keyasint"`
	Attempt       string    `cbor:"2,keyasint"`
	Holder        string    `cbor:"3,keyasint"`
	CreationKnown bool      `cbor:"4,keyasint,omitempty"`
	Created       time.Time `cbor:"5,keyasint,omitempty"`
}

// claimReply is a witness's answer to a claim, in wire form.
type claimReply struct {
	Answer  claim.Answer        `cbor:"1,keyasint"`
	Attempt string              `cbor:"2,keyasint,omitempty"`
	Holder  string              `cbor:"3,keyasint,omitempty"`
	Outcome *blackboard.Outcome `cbor:"4,keyasint,omitempty"`
}

// Timeouts and delays of claims.
const (
	witnessTimeout = 500 * time.Millisecond
	// maxClaimRetryDelay bounds the random delay before a claim that met a competing one is
	// retried.
	maxClaimRetryDelay = 100 * time.Millisecond
	notifyTimeout      = 2 * time.Second
)

// coreRequest returns the request in the form of package claim.
func (r claimRequest) coreRequest() claim.Request {
	return claim.Request{Key: r.Key, Attempt: r.Attempt, Holder: r.Holder, Created: claim.CreationTime{Known: r.CreationKnown, At: r.Created}}
}

func (c *Cluster) serveClaim(_ context.Context, _ string, in claimRequest) (claimReply, error) {
	return c.answerClaim(in), nil
}

// answerClaim answers a claim as a witness, from this daemon's memory.
func (c *Cluster) answerClaim(in claimRequest) claimReply {
	reply, outcome := c.Board.Claims.AnswerClaim(in.coreRequest(), time.Now())
	return claimReply{Answer: reply.Answer, Attempt: reply.Attempt, Holder: reply.Holder, Outcome: outcome}
}

// witnessAnswer is the answer of one witness, or the error of the call to it.
type witnessAnswer struct {
	from  string
	reply claimReply
	err   error
}

// Claim implements requestcontrol.Claimer. It retries under a new attempt id where the
// claim and a competing one both gave up.
func (c *Cluster) Claim(ctx context.Context, in requestcontrol.Claim) (*requestcontrol.Permit, error) {
	request := claimRequest{Key: in.Key, Holder: c.Board.Self.Name}
	if created := claim.CreationTimeOf(in.CallerKey); created.Known {
		request.CreationKnown, request.Created = true, created.At
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

// claimOnce makes one round of a claim. It reports whether another round makes sense, which
// is the case when two claims competed and both gave up.
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
		duplicate, gaveUp := c.holderOutcome(ctx, in.Key, attempt, holder, outcome)
		if gaveUp {
			return permit, true, noQuorumError(claimer.Tally())
		}
		return permit, false, duplicate
	}
	return permit, false, claimError(claimer, sets)
}

// askWitnesses asks all witnesses at the same time and counts their answers until the claim
// is won or all have answered. It returns the outcome of an earlier call if a witness knows
// it.
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

// holderOutcome finds the outcome of the call that holds the key, and returns it as the
// error for the new call, a duplicate. It reports whether the holding call gave up instead,
// so that the key is free again.
func (c *Cluster) holderOutcome(ctx context.Context, key, attempt, holder string, known *blackboard.Outcome) (duplicate error, gaveUp bool) {
	if known != nil {
		return &requestcontrol.DuplicateError{Outcome: *known}, false
	}
	var answer outcomeAnswer
	request := attemptMessage{Key: key, Attempt: attempt}
	if holder == c.Board.Self.Name {
		answer, _ = c.serveOutcome(ctx, holder, request)
	} else if c.Hub.Call(ctx, c.address(holder), peer.KindOutcome, request, &answer) != nil {
		return &requestcontrol.DuplicateError{Outcome: blackboard.Outcome{Execution: fault.Unknown}}, false
	}
	if answer.GaveUp {
		return nil, true
	}
	return &requestcontrol.DuplicateError{Outcome: answer.Outcome}, false
}

// outcomeAnswer is what the daemon that made an attempt knows of its call.
type outcomeAnswer struct {
	Outcome blackboard.Outcome `cbor:"1,keyasint"`
	// GaveUp reports that the attempt has not sent its call and never will.
	GaveUp bool `cbor:"2,keyasint,omitempty"`
}

// serveOutcome waits for the end of a call of this daemon and returns its outcome. An
// attempt that is neither running nor ended here lost its claim and gave up, if this
// process made it; otherwise its outcome is unknown.
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

// createdByThisProcess reports whether this process made an attempt, judging by the
// creation time in the attempt's id. The time must be later than the start of the process
// by the greatest clock skew, since the clock may have been set back in between.
func (c *Cluster) createdByThisProcess(attempt string) bool {
	created := claim.CreationTimeOf(attempt)
	return created.Known && created.At.After(c.started.Add(claim.MaxClockSkew))
}

// attemptMessage names an attempt for a key and, when its call has ended, the outcome.
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
	c.Board.Claims.RecordOutcome(in.Key, in.Attempt, in.Outcome, time.Now())
	return empty{}, nil
}

// RecordOutcome implements requestcontrol.Claimer. A call that certainly did not run frees its
// key, since its attempt will not be sent any more.
func (c *Cluster) RecordOutcome(in requestcontrol.Claim, o blackboard.Outcome) {
	message := attemptMessage{Key: in.Key, Attempt: in.Attempt, Outcome: o}
	c.Board.Claims.RecordOutcome(in.Key, in.Attempt, o, time.Now())
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

// notifyWitnesses sends a message about a key to its witnesses and does not wait for
// delivery.
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

// claimError returns the error for a key that could not be claimed. It leaves the execution
// unknown wherever an earlier call with the same key may have run, which cannot be excluded
// without a majority of the witnesses.
func claimError(claimer *claim.Claimer, sets [][]string) *fault.Error {
	t := claimer.Tally()
	switch {
	case len(sets) == 0:
		return fault.New(fault.NoQuorum,
			"the host list has not been confirmed for too long, so the witnesses of the key are not known",
			"retry with the same key; the host list is read every few seconds").
			WithExecution(fault.Unknown).WithRetry(2 * time.Second)
	case t.KeyFromFuture > 0:
		return fault.New(fault.KeyFromFuture,
			"the time in the idempotency key is in the future", "correct the clock of the caller")
	case t.KeyTooOld > 0:
		return fault.New(fault.KeyTooOld,
			fmt.Sprintf("the idempotency key is older than %v", claim.ClaimWindow),
			"check at the service whether an earlier call ran; use a new key only if none did").
			WithExecution(fault.Unknown)
	case t.WitnessTooNew > 0 && claimer.Request.Created.Known:
		return fault.New(fault.NoQuorum,
			fmt.Sprintf("%d witnesses of this key started after it was created, so they may have lost an earlier claim", t.WitnessTooNew),
			"check at the service whether an earlier call ran; use a new key only if none did").
			WithExecution(fault.Unknown)
	case t.WitnessTooNew > 0:
		return fault.New(fault.NoQuorum,
			fmt.Sprintf("%d witnesses of this key have restarted and may have lost an earlier claim", t.WitnessTooNew),
			fmt.Sprintf("retry with the same key; UUIDv7 keys are accepted at once, other keys %v after a restart", claim.RetryWindow)).
			WithExecution(fault.Unknown).WithRetry(claim.RetryWindow / 10)
	default:
		return noQuorumError(t)
	}
}

// noQuorumError returns the error for a claim that too few witnesses granted.
func noQuorumError(t claim.Tally) *fault.Error {
	return fault.New(fault.NoQuorum,
		fmt.Sprintf("%d witnesses of this key granted it, %d are needed", t.Granted, t.Needed),
		"retry with the same key; this call was not sent, but an earlier one with the key may have been").
		WithExecution(fault.Unknown).WithRetry(time.Second)
}
