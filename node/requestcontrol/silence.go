package requestcontrol

import (
	"context"
	"fmt"
	"sync"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/node/blackboard"
	"github.com/go-faster/errors"
)

// errSilent ends an attempt whose target has said nothing for too long.
var errSilent = errors.New("the target fell silent")

// unusedTickets is how long a call may wait for the first event of an answer that uses
// memory set aside at helpers. Such memory keeps others out, and the users' bound for
// memory that nobody uses is 9 s; setting it aside and releasing it take up to 1 s each.
const unusedTickets = 7 * time.Second

// readAgain is the reading time, in seconds, up to which a prompt is read a second time
// because a target is silent. A longer one takes from others more than its caller gains,
// whose answer would be late.
const readAgain = 1.0

// probed tells whether an attempt's connection is probed while its target is silent: one that
// has memory set aside at helpers renews it for as long as it waits, and nothing else tells it
// that its target has lost power. Without such memory no one suffers from the wait but the
// caller, and a second reading of the prompt would take from others.
func probed(p *blackboard.Placement) bool {
	return len(p.Decision.Reservations) > 0
}

// silence watches one attempt and cancels it when its target has been silent for longer
// than the route's goals explain, if the call may then go to another target. Where it may
// not, the target's silence ends nothing: the answer may still come.
type silence struct {
	forwarding *forwarding
	patience   forward.SilenceTimeouts
	cancel     context.CancelCauseFunc
	// mu guards the timer against a run of tooLong that ends after the attempt.
	mu    sync.Mutex
	timer *time.Timer // nil where nothing is watched, or no longer
	// mustEnd ends the attempt also where the call may not go elsewhere.
	mustEnd bool
	// another tells whether the rules allow one more send after this one.
	another bool
}

// watch begins to watch an attempt. The context that it returns ends when the target has
// been silent for too long.
func (f *forwarding) watch(ctx context.Context, p *blackboard.Placement) (context.Context, *silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silence{
		forwarding: f, cancel: cancel,
		patience: f.request.patience(),
		another:  f.progress.MayRetryAfterUnknown() && p.Decision.PrefillTime <= readAgain,
		mustEnd:  len(p.Decision.Reservations) > 0,
	}
	if s.mustEnd {
		s.patience = s.patience.AtMost(unusedTickets)
	}
	if s.patience.FirstEvent > 0 && (s.another || s.mustEnd) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = time.AfterFunc(s.patience.FirstEvent, s.tooLong)
		if p.Gone != nil {
			go s.untilGone(ctx, p.Gone)
		}
	}
	return ctx, s
}

// untilGone ends the patience with a target whose process has ended and started anew: its
// connection may stay open, and nothing comes over it.
func (s *silence) untilGone(ctx context.Context, gone <-chan struct{}) {
	select {
	case <-gone:
		s.tooLong()
	case <-ctx.Done():
	}
}

// heard notes an event of the answer.
func (s *silence) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return
	}
	if s.patience.BetweenEvents <= 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(s.patience.BetweenEvents)
}

// tooLong runs when the patience with the target is at its end.
func (s *silence) tooLong() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return // The attempt has ended meanwhile.
	}
	f := s.forwarding
	d := f.director
	if s.another && d.Board.Repeats.Take(f.request.Route.Pool.Name, d.Board.Members.Sharers(), time.Now()) {
		f.repeatTaken.Store(true)
		s.end()
		return
	}
	if s.mustEnd {
		s.end()
		return
	}
	s.timer.Reset(s.patience.FirstEvent) // The fleet's budget may have room later.
}

// end cancels the attempt.
func (s *silence) end() {
	f := s.forwarding
	f.director.Record.Metrics.Silent.WithLabelValues(f.request.Route.Pool.Name).Inc()
	s.cancel(errSilent)
}

// stop ends the watch; err is how the attempt ended. It returns errSilent or errQuarantined in
// its place where that was the cause. The attempt's context goes on until release.
func (s *silence) stop(ctx context.Context, err error) error {
	s.mu.Lock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.mu.Unlock()
	switch cause := context.Cause(ctx); {
	case err == nil:
	case errors.Is(cause, errQuarantined):
		err = errors.Wrap(errQuarantined, err.Error())
	case errors.Is(cause, errSilent):
		err = errors.Wrap(errSilent, fmt.Sprintf("%v; bounds %v to the first event, %v between two", err, s.patience.FirstEvent, s.patience.BetweenEvents))
	}
	return err
}

// release ends the attempt's context. It comes after the answer was closed: a connection
// whose context has ended is not kept.
func (s *silence) release() { s.cancel(nil) }
