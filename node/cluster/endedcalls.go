package cluster

import (
	"slices"
	"time"

	"doorstack.dev/node/blackboard"
	"github.com/go-faster/errors"
)

// A placement request is handled in a goroutine of its own and may wait there for a ping, while messages on calls are
// handled in the order of their arrival. So the end of a call may be handled before a request for it, which would then
// be placed without a caller and count until the call's deadline. A daemon numbers its requests, and its message that a call
// has ended says which requests were sent before.

const (
	// endedTTL is how long an ended attempt is remembered. A request waits for hearTimeout at most before it is
	// registered; a host short of processor time delays it by tens of milliseconds more.
	endedTTL = 5 * time.Second
	// maxEnded bounds the ended attempts that are remembered: 800 ends a second for endedTTL, ten times the calls of
	// the deployments measured.
	maxEnded = 4096
)

var errCallEnded = errors.New("the call has ended")

// endedAttempts are the attempts of other daemons whose end was reported lately.
type endedAttempts struct {
	byAttempt map[string]endedAttempt
	// order lists the reports in the order of their arrival.
	order []endedReport
}

// endedAttempt is the end of an attempt as far as it was requested: a call that a daemon could not send to
// its target may be requested again under the same attempt.
type endedAttempt struct {
	at      time.Time
	through uint64 // the last request that the end covers
}

type endedReport struct {
	attempt string
	at      time.Time
}

// add records the end of an attempt. Daemons of the previous version do not number their requests: their ends are not
// recorded.
func (e *endedAttempts) add(attempt string, through uint64, now time.Time) {
	if through == 0 {
		return
	}
	if e.byAttempt == nil {
		e.byAttempt = map[string]endedAttempt{}
	}
	e.byAttempt[attempt] = endedAttempt{now, through}
	e.order = append(e.order, endedReport{attempt, now})
	for len(e.order) > maxEnded || now.Sub(e.order[0].at) > endedTTL {
		oldest := e.order[0]
		e.order = e.order[1:]
		if e.byAttempt[oldest.attempt].at.Equal(oldest.at) {
			delete(e.byAttempt, oldest.attempt)
		}
	}
}

// covers reports whether an attempt had ended after a request of the given number was sent.
func (e *endedAttempts) covers(attempt string, request uint64) bool {
	return request > 0 && request <= e.byAttempt[attempt].through
}

// withoutEnded returns the calls that a request names, without those whose end was handled before the request.
func (p *Placer) withoutEnded(in *placeRequest) []blackboard.CallState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(in.Calls, func(c blackboard.CallState) bool { return p.ended.covers(c.Attempt, in.Number) })
}
