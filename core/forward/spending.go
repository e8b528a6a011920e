package forward

import "time"

// Spending keeps the calls to one target within the limit that it has named: each call takes the
// time that lies between two calls at that rate.
type Spending struct {
	limit Limit
	// as is how recent the word is on which the limit rests.
	as time.Time
	// next is when the calls so far are paid for, last when the last of them was sent.
	next, last time.Time
}

const (
	// burst is how far calls may run ahead of the limit's rate.
	burst = 500 * time.Millisecond
	// leastRate is the rate, in requests a second, at which a target is called whatever it names:
	// only an answer shows that it takes more again.
	leastRate = 0.25
)

// Limit is the limit in force.
func (s *Spending) Limit() Limit { return s.limit }

// Named is when the limit was last named.
func (s *Spending) Named() time.Time { return s.as }

// take takes in a target's word and tells whether it is news. Words overtake each other: only a call
// sent after the limit was named shows that it is lifted, and a word that another daemon passes on may
// be older than what is known here.
func (s *Spending) take(said Word) bool {
	switch {
	case said.Limit.Named && said.At.After(s.as):
		news := s.limit != said.Limit
		s.limit, s.as = said.Limit, said.At
		if said.Sent.After(s.last) {
			s.last = said.Sent
		}
		return news
	case said.Limit.Lifted && s.limit.Named && said.Sent.After(s.as):
		s.limit, s.as = Limit{}, said.Sent
		return true
	default:
		return false
	}
}

// Rate is the requests a second that the target is called with.
func (s *Spending) Rate() float64 { return max(s.limit.PerSecond, leastRate) }

// Spend counts a call.
func (s *Spending) Spend(at time.Time) {
	s.last = at
	if s.next.Before(at) {
		s.next = at
	}
	s.next = s.next.Add(time.Duration(float64(time.Second) / s.Rate()))
}

// Wait is how long it takes until one more call keeps to the limit.
func (s *Spending) Wait(at time.Time) time.Duration { return max(0, s.next.Sub(at.Add(burst))) }

// Idle is the time since the last call.
func (s *Spending) Idle(at time.Time) time.Duration { return max(0, at.Sub(s.last)) }
