package requestcontrol

import (
	"context"
	"fmt"
	"sync"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/callmemory"
	"github.com/go-faster/errors"
)

// errSilent cancels an attempt whose target sent nothing for too long.
var errSilent = errors.New("the target sent nothing for too long")

// unusedReservationTimeout bounds the wait for the first event of an answer that uses memory
// reserved at helpers. Reserved memory is unavailable to other calls, and users require that it
// is held unused for at most 9 s; reserving and releasing it take up to 1 s each.
const unusedReservationTimeout = 7 * time.Second

// maxRepeatPrefillSeconds is the prefill time up to which a prompt is sent to a second target
// because the first is silent. A longer prefill costs other callers more than it gains this caller:
// the answer would be late anyway.
const maxRepeatPrefillSeconds = 1.0

// probesConnection reports whether an attempt's connection is probed while its target is silent.
// An attempt with memory reserved at helpers renews the reservations for as long as it waits, and
// only a probe can detect that its target's host lost power. Without reservations the wait affects
// the caller alone, and a second prefill would cost other callers.
func probesConnection(p *blackboard.Placement) bool {
	return len(p.Decision.Reservations) > 0
}

// silenceWatch cancels an attempt whose target has been silent for longer than the timeouts that
// follow from the route's goals, if the call may be sent to another target or holds memory at
// helpers. Any other attempt continues, as the answer may still arrive.
type silenceWatch struct {
	forwarding *forwarding
	timeouts   forward.SilenceTimeouts
	cancel     context.CancelCauseFunc
	// mu guards the timer against an onTimeout that runs after the end of the attempt.
	mu    sync.Mutex
	timer *time.Timer // nil if the attempt is not watched, or has ended
	// mustEnd cancels the attempt even if the call may not be sent to another target.
	mustEnd bool
	// mayRepeat reports whether the rules allow another send after this one and the prefill is
	// short enough for it.
	mayRepeat bool
}

// watchSilence starts watching an attempt. The returned context is cancelled when the target
// has been silent for too long.
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

// endWhenGone acts as on a timeout when the target's process has ended or restarted: its connection
// may stay open without delivering anything.
func (s *silenceWatch) endWhenGone(ctx context.Context, gone <-chan struct{}) {
	select {
	case <-gone:
		s.onTimeout()
	case <-ctx.Done():
	}
}

// pause stops the timeout while an event is delivered.
func (s *silenceWatch) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// eventReceived restarts the timeout after an event of the answer.
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

// onTimeout runs when the target has been silent for too long.
func (s *silenceWatch) onTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return // The attempt has ended.
	}
	f := s.forwarding
	if s.mayRepeat && f.mayStillRepeat() && !f.director.tooLateToSend(f.request) && f.reserveRepeat() {
		s.cancelAttempt()
		return
	}
	if s.mustEnd {
		s.cancelAttempt()
		return
	}
	s.timer.Reset(s.timeouts.FirstEvent) // The fleet's repeat budget may allow a send later.
}

// mayStillRepeat reports whether no newer settings forbid another send.
func (f *forwarding) mayStillRepeat() bool {
	path := f.newerPath()
	return path == nil || path.Repeatable()
}

// cancelAttempt cancels the attempt and counts it.
func (s *silenceWatch) cancelAttempt() {
	f := s.forwarding
	f.director.Recorder.Metrics.SilentTargets.WithLabelValues(f.request.Route.Pool.Name).Inc()
	s.cancel(errSilent)
}

// stop ends the watch of an attempt that ended with err. It returns err, wrapped as errSilent or
// errQuarantined if that was the cause. The attempt's context remains valid until release.
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
	case errors.Is(cause, callmemory.ErrGaveWay):
		err = errors.Wrap(callmemory.ErrGaveWay, err.Error())
	case errors.Is(cause, errSilent):
		err = errors.Wrap(errSilent, fmt.Sprintf("%v; timeouts %v to the first event, %v between events", err, s.timeouts.FirstEvent, s.timeouts.BetweenEvents))
	}
	return err
}

// release cancels the attempt's context. It must be called after the answer was closed, since a
// connection whose context has ended is not reused.
func (s *silenceWatch) release() { s.cancel(nil) }
