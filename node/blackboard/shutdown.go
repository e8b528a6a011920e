package blackboard

import (
	"context"
	"sync/atomic"
	"time"
)

// Shutdown tells the calls of a draining daemon when they must have ended, as the platform kills the process soon after.
type Shutdown struct {
	end             atomic.Pointer[time.Time]
	began, ended    context.Context
	begin, endCalls context.CancelFunc
}

func newShutdown() *Shutdown {
	s := &Shutdown{}
	s.began, s.begin = context.WithCancel(context.Background())
	s.ended, s.endCalls = context.WithCancel(context.Background())
	return s
}

// Begin records when the calls must have ended. Only the first call has an effect.
func (s *Shutdown) Begin(end time.Time) {
	if s.end.CompareAndSwap(nil, &end) {
		s.begin()
	}
}

// End returns when the calls must have ended; false if the daemon is not draining, or may take as long as its calls do.
func (s *Shutdown) End() (time.Time, bool) {
	if end := s.end.Load(); end != nil {
		return *end, true
	}
	return time.Time{}, false
}

// EndCalls ends the calls that are still in flight.
func (s *Shutdown) EndCalls() { s.endCalls() }

// CallsEnded reports whether EndCalls has been called.
func (s *Shutdown) CallsEnded() bool { return s.ended.Err() != nil }

// AfterBegin calls f in a goroutine of its own after Begin, unless stop is called before.
func (s *Shutdown) AfterBegin(f func()) (stop func() bool) { return context.AfterFunc(s.began, f) }

// AfterEndCalls calls f in a goroutine of its own after EndCalls, unless stop is called before.
func (s *Shutdown) AfterEndCalls(f func()) (stop func() bool) { return context.AfterFunc(s.ended, f) }
