package requestcontrol

import (
	"context"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
)

// Claimer makes sure that a call with an idempotency key runs at most once in
// the whole fleet.
type Claimer interface {
	// Claim returns nil when this daemon, and no other, may send the call until
	// the permit ends. An earlier call's answer comes back as a Duplicate.
	Claim(ctx context.Context, c Claim) (*Permit, error)
	// Conclude tells how a claimed call ended, for duplicates to come.
	RecordOutcome(c Claim, o blackboard.Outcome)
}

// Claim asks for the right to send a call.
type Claim struct {
	// Key is scoped to the account and the route.
	Key string
	// Stamp is the key as the caller wrote it; a UUIDv7 carries its time.
	CallerKey string
	Attempt   string
	Request   string
	// Region is the region of the call's targets.
	Region   string
	Deadline time.Time
}

// Permit is the right to send a call once, before it ends.
type Permit struct {
	// Ends is on the monotonic clock; it is checked last thing before the send. What the host
	// has slept since the claim began counts too: the witnesses did not.
	ExpiresAt time.Time
	// Slept is for how long the host had slept when the claim began.
	SuspendedAtClaim time.Duration
	// Attempt is the claim that won, which may be a later one than asked for.
	Attempt string
	// Tally is how the witnesses answered.
	Tally decision.ClaimTally
}

// ended tells whether the permit's time is over, where the host has slept for so long so far.
func (p *Permit) expired(now time.Time, slept time.Duration) bool {
	return !now.Add(slept - p.SuspendedAtClaim).Before(p.ExpiresAt)
}

// DuplicateError is the error for a key that an earlier call used; it carries that
// call's outcome.
type DuplicateError struct {
	Outcome blackboard.Outcome
}

// Error implements error.
func (d *DuplicateError) Error() string {
	return "an earlier call used this idempotency key: " + string(d.Outcome.Execution)
}

// ShareRequester asks for a larger share of an account's limits.
type ShareRequester interface {
	// Seek tells whether it asked, so that another look makes sense.
	RequestShare(ctx context.Context, account string, rules *settings.Rules, promptTokens int64) bool
}

// Placer asks the daemon that coordinates a pool, which knows of all daemons' calls.
type Placer interface {
	// Place returns the coordinator's placement, or false where this daemon decides.
	Place(ctx context.Context, t *blackboard.Ticket) (blackboard.Placement, bool)
	// Coordinates tells whether this daemon places a pool's calls for all.
	Coordinates(pool string) bool
	// PromptRead and Finished tell the coordinator of a call's progress; Finished also
	// of a target that nothing should be sent to for some time.
	ReportPrefillDone(attempt string)
	ReportFinished(attempt string, result blackboard.CallResult, suspect string, suspectFor time.Duration)
	// LimitSaid tells the coordinator what a target said of its limit in the answer to a call that
	// was sent then.
	ReportLimit(pool, target string, said forward.Limit, sent time.Time)
}
