package blackboard

import (
	"math/rand/v2"
	"time"

	"doorstack.dev/core/once"
)

// SingleSendTable holds the requests that may run once and were sent, by this daemon or by others to which it gave a placement.
type SingleSendTable struct {
	mu     Mutex
	ledger *once.Ledger
	// arrivals are this daemon's requests in progress.
	arrivals map[once.Key]*arrival
}

// arrival is a request in progress.
type arrival struct {
	claim once.Claim
	ended chan struct{} // closed at the end of the request
}

func newSingleSendTable() *SingleSendTable {
	return &SingleSendTable{mu: NewMutex(RankSingleSends), ledger: once.NewLedger(), arrivals: map[once.Key]*arrival{}}
}

// Arrive claims a request of this daemon's callers. If the same request is claimed already, ok is false, and ended is closed at the
// end of the earlier one; it is nil if that has ended, or is at another daemon.
func (t *SingleSendTable) Arrive(k once.Key, arrived time.Time, callerWaits time.Duration) (c once.Claim, ended <-chan struct{}, ok bool) {
	c = once.NewClaim(k, once.Owner(rand.Uint64()), arrived, callerWaits)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ledger.Begin(c, time.Now()) {
		if earlier := t.arrivals[k]; earlier != nil {
			return c, earlier.ended, false
		}
		return c, nil, false
	}
	t.arrivals[k] = &arrival{c, make(chan struct{})}
	return c, nil, true
}

// End records the end of a request of this daemon's callers. One that has not run may come again.
func (t *SingleSendTable) End(c once.Claim, notRun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if notRun {
		t.ledger.Withdraw(c, time.Now())
	}
	if a := t.arrivals[c.Key]; a != nil && a.claim == c {
		delete(t.arrivals, c.Key)
		close(a.ended)
	}
}

// Begin claims a request for another daemon, which is about to send it, and reports whether that is allowed. If not, other is the owner
// of the earlier claim.
func (t *SingleSendTable) Begin(c once.Claim) (other once.Owner, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ledger.Begin(c, time.Now()) {
		return 0, true
	}
	return t.ledger.Owner(c.Key), false
}

// ClaimedByOther reports whether another arrival than that of a claim has claimed the same request.
func (t *SingleSendTable) ClaimedByOther(c once.Claim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.ClaimedByOther(c, time.Now())
}

// Claimed reports whether a request with an id has been claimed.
func (t *SingleSendTable) Claimed(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Claimed(id, time.Now())
}

// Withdraw ends another daemon's claim to a request that has not run.
func (t *SingleSendTable) Withdraw(c once.Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Withdraw(c, time.Now())
}
