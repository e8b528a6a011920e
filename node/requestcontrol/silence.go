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

// unusedReservationTimeout is how long a call may wait for the first event of an answer that uses
// memory set aside at helpers. Such memory keeps others out, and the users' bound for
// memory that nobody uses is 9 s; setting it aside and releasing it take up to 1 s each.
const unusedReservationTimeout = 7 * time.Second

// maxRepeatPrefillSeconds is the reading time, in seconds, up to which a prompt is read a second time
// because a target is silent. A longer one takes from others more than its caller gains,
// whose answer would be late.
const maxRepeatPrefillSeconds = 1.0

// probesConnection tells whether an attempt's connection is probed while its target is silent: one that
// has memory set aside at helpers renews it for as long as it waits, and nothing else tells it
// that its target has lost power. Without such memory no one suffers from the wait but the
// caller, and a second reading of the prompt would take from others.
func probesConnection(p *blackboard.Placement) bool {
	return len(p.Decision.Reservations) > 0
}

// silenceWatch watches one attempt and cancels it when its target has been silent for longer
// than the route's goals explain, if the call may then go to another target. Where it may
// not, the target's silence ends nothing: the answer may still come.
type silenceWatch struct {
	forwarding *forwarding
	timeouts   forward.SilenceTimeouts
	cancel     context.CancelCauseFunc
	// mu guards the timer against a run of tooLong that ends after the attempt.
	mu    sync.Mutex
	timer *time.Timer // nil where nothing is watched, or no longer
	// mustEnd ends the attempt also where the call may not go elsewhere.
	mustEnd bool
	// another tells whether the rules allow one more send after this one.
	mayRepeat bool
}

// watch begins to watch an attempt. The context that it returns ends when the target has
// been silent for too long.
func (f *forwarding) watchSilence(ctx context.Context, p *blackboard.Placement) (context.Context, *silenceWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silenceWatch{
		forwarding: f, cancel: cancel,
		timeouts:  f.request.silenceTimeouts(),
		mayRepeat: f.progress.MayRetryAfterUnknown() && p.Decision.PrefillTime <= maxRepeatPrefillSeconds,
		mustEnd:   len(p.Decision.Reservations) > 0,
	}
	if s.mustEnd {
		s.timeouts = s.timeouts.AtMost(unusedReservationTimeout)
	}
	if s.timeouts.FirstEvent > 0 && (s.mayRepeat || s.mustEnd) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = time.AfterFunc(s.timeouts.FirstEvent, s.onTimeout)
		if p.Gone != nil {
			go s.endWhenGone(ctx, p.Gone)
		}
	}
	return ctx, s
}

// cancelWhenGone ends the patience with a target whose process has ended and started anew: its
// connection may stay open, and nothing comes over it.
func (s *silenceWatch) endWhenGone(ctx context.Context, gone <-chan struct{}) {
	select {
	case <-gone:
		s.onTimeout()
	case <-ctx.Done():
	}
}

// heard notes an event of the answer.
func (s *silenceWatch) eventReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return
	}
	if s.timeouts.BetweenEvents <= 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(s.timeouts.BetweenEvents)
}

// tooLong runs when the patience with the target is at its end.
func (s *silenceWatch) onTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return // The attempt has ended meanwhile.
	}
	f := s.forwarding
	d := f.director
	if s.mayRepeat && d.Board.Repeats.Take(f.request.Route.Pool.Name, d.Board.Members.Sharers(), time.Now()) {
		f.repeatCharged.Store(true)
		s.cancelAttempt()
		return
	}
	if s.mustEnd {
		s.cancelAttempt()
		return
	}
	s.timer.Reset(s.timeouts.FirstEvent) // The fleet's budget may have room later.
}

// end cancels the attempt.
func (s *silenceWatch) cancelAttempt() {
	f := s.forwarding
	f.director.Recorder.Metrics.Silent.WithLabelValues(f.request.Route.Pool.Name).Inc()
	s.cancel(errSilent)
}

// stop ends the watch; err is how the attempt ended. It returns errSilent or errQuarantined in
// its place where that was the cause. The attempt's context goes on until release.
func (s *silenceWatch) stop(ctx context.Context, err error) error {
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
		err = errors.Wrap(errSilent, fmt.Sprintf("%v; bounds %v to the first event, %v between two", err, s.timeouts.FirstEvent, s.timeouts.BetweenEvents))
	}
	return err
}

// release ends the attempt's context. It comes after the answer was closed: a connection
// whose context has ended is not kept.
func (s *silenceWatch) release() { s.cancel(nil) }
