package requestcontrol

import (
	"context"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/once"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
)

// Claimer ensures that a call with an idempotency key is sent at most once by the
// whole fleet.
type Claimer interface {
	// Claim returns a nil error if this daemon, and no other, may send the call until
	// the permit expires. If an earlier call used the key, the error is a *DuplicateError.
	Claim(ctx context.Context, c Claim) (*Permit, error)
	// RecordOutcome stores how a claimed call ended, to answer later duplicates.
	RecordOutcome(c Claim, o blackboard.Outcome)
}

// Claim is a request for permission to send a call.
type Claim struct {
	// Key is the idempotency key, scoped to the account and the route.
	Key string
	// CallerKey is the key as the caller sent it. A UUIDv7 contains its creation time, which
	// determines the witnesses that are asked and whether they may grant the key.
	CallerKey string
	// Attempt is the id of the claim, Request that of the request.
	Attempt string
	Request string
	// Region is the region of the call's targets.
	Region   string
	Deadline time.Time
}

// Permit allows a claimed call to be sent once, before the permit expires. It is granted by a majority
// of the key's witnesses, the daemons that record the claims of that key (see core/claim).
type Permit struct {
	// ExpiresAt is on the monotonic clock and is checked immediately before the send. Time that
	// the host was suspended since the claim began also counts: the witnesses' clocks kept running.
	ExpiresAt time.Time
	// SuspendedAtClaim is the host's total suspended time when the claim began.
	SuspendedAtClaim time.Duration
	// Attempt is the id of the claim that succeeded. It differs from Claim.Attempt if the claim
	// was retried.
	Attempt string
	// Tally counts the witnesses' answers.
	Tally decision.ClaimTally
}

// expired reports whether the permit has expired, given the host's total suspended time now.
func (p *Permit) expired(now time.Time, suspended time.Duration) bool {
	return !now.Add(suspended - p.SuspendedAtClaim).Before(p.ExpiresAt)
}

// DuplicateError is returned for an idempotency key that an earlier call used. Outcome is
// that call's outcome.
type DuplicateError struct {
	Outcome blackboard.Outcome
}

// Error implements error.
func (d *DuplicateError) Error() string {
	return "an earlier call used this idempotency key: " + string(d.Outcome.Execution)
}

// ShareRequester requests a larger share of an account's limits for this daemon.
type ShareRequester interface {
	// RequestShare reports whether a share was requested, so that checking the limits again
	// may give another result.
	RequestShare(ctx context.Context, account string, rules *settings.Rules, promptTokens int64) bool
}

// CallEnd is the end of a call that a coordinator placed.
type CallEnd struct {
	Attempt string
	Result  blackboard.CallResult
	// Suspect is a target that must receive no calls for SuspectFor, if any.
	Suspect    string
	SuspectFor time.Duration
}

// SendClaim is a claim to a call that may run once, and what other daemons know of the call.
type SendClaim struct {
	Claim once.Claim
	decision.SendClaim
}

// Placer requests placements from a pool's coordinator, the daemon that knows the calls of
// all daemons.
type Placer interface {
	// Place returns the coordinator's placement, or false if this daemon must decide itself.
	Place(ctx context.Context, t *blackboard.Ticket) (blackboard.Placement, bool)
	// Coordinates reports whether this daemon coordinates a pool.
	Coordinates(pool string) bool
	// ClaimSend claims a call that may run once at the daemons that are asked if its request comes again, and returns whether it
	// may be sent: once.Repeated if one of them knows another arrival of the request, and once.Undecided if ctx ended before enough
	// of them had answered. The claim must be withdrawn unless the call is sent.
	ClaimSend(ctx context.Context, claim once.Claim) (SendClaim, once.Verdict)
	// WithdrawSend ends the claim to a call that has not run.
	WithdrawSend(held SendClaim)
	// ReportPrefillDone and ReportFinished inform the coordinator of a call's progress.
	ReportPrefillDone(attempt string)
	ReportFinished(end CallEnd)
	// ReportLimit informs the coordinator of the rate limit that a target stated in its answer to
	// a call sent at the given time, or for how long it is cold.
	ReportLimit(pool, target string, notice forward.Notice, sent time.Time)
}
