package membership

import "time"

// Pauses between the introductions of a daemon that knows no other one to the same seed.
const (
	// dialIntervalInitial is the time after which a seed that has not accepted the connection is
	// dialed again, and dialIntervalMax the longest such time. After a power loss of all hosts
	// the first dial of most daemons went to a seed without power, where nothing refuses it,
	// and they learned of their first peer 0.4 to 0.6 s after their start although the seeds were
	// up after 0.1 to 0.2 s.
	dialIntervalInitial = 40 * time.Millisecond
	dialIntervalMax     = 80 * time.Millisecond
	// fastDials is the number of successive dials without a connection that are made at these
	// intervals, about 5 s of them; the intervals then double up to retryIntervalMax.
	fastDials = 64
	// retryIntervalInitial and retryIntervalMax bound the pause after a seed accepted a connection
	// and did not answer in time. Such a seed is overloaded: it sends all members to every daemon.
	retryIntervalInitial = 50 * time.Millisecond
	retryIntervalMax     = 400 * time.Millisecond
)

// SeedDialing decides when a daemon dials a seed again. A dial that is still without a connection
// does not delay the next one. While a connection waits for the seed's answer there is no other dial,
// so that a seed that works gets one introduction at a time.
type SeedDialing struct {
	lastDial time.Time
	dials    int // successive dials without a connection
	waiting  int // connections that wait for the answer
	failures int // successive connections without an answer
	pausedTo time.Time
}

// Next returns the time of the next dial, and false if there is none before the answer to an
// introduction has arrived or has failed to.
func (s *SeedDialing) Next() (time.Time, bool) {
	if s.waiting > 0 {
		return time.Time{}, false
	}
	if s.dials == 0 {
		return s.pausedTo, true
	}
	next := s.lastDial.Add(dialInterval(s.dials))
	if next.Before(s.pausedTo) {
		next = s.pausedTo
	}
	return next, true
}

// dialInterval returns the pause after so many successive dials without a connection.
func dialInterval(dials int) time.Duration {
	interval := dialIntervalInitial
	for n := 1; n < dials && interval < dialIntervalMax; n++ {
		interval += interval / 4
	}
	interval = min(interval, dialIntervalMax)
	for n := fastDials; n < dials && interval < retryIntervalMax; n++ {
		interval *= 2
	}
	return min(interval, retryIntervalMax)
}

// Waiting reports whether a connection waits for the seed's answer.
func (s *SeedDialing) Waiting() bool { return s.waiting > 0 }

// Dialed records the start of a dial.
func (s *SeedDialing) Dialed(now time.Time) {
	s.lastDial = now
	s.dials++
}

// Connected records that the seed has accepted a connection.
func (s *SeedDialing) Connected() {
	s.waiting++
	s.dials = 0
}

// Answered records the answer of the seed over a connection. A daemon that knows no other one even so
// introduces itself there again after a pause.
func (s *SeedDialing) Answered(now time.Time) {
	s.waiting--
	s.failures = 0
	s.pausedTo = now.Add(retryIntervalMax)
}

// Unanswered records that a connection failed, or that no answer arrived over it in time.
func (s *SeedDialing) Unanswered(now time.Time) {
	s.waiting--
	s.pausedTo = now.Add(min(retryIntervalInitial<<min(s.failures, 10), retryIntervalMax))
	s.failures++
}
