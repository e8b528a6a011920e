package api

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/requestcontrol"
)

// This file holds forwarded calls that arrive while the daemon starts.

// heldCallBytes is what a held call takes of the budget beside its head and body: the buffers of its
// connection, two goroutines and the decoded head. Without it, any number of calls without a body
// could be held.
const heldCallBytes = 16 << 10

// The reasons of refusals at a start, as labels of the metric.
const (
	refusedHoldEnded   = "hold_ended"
	refusedOthersServe = "others_serve"
	refusedMemory      = "memory"
	refusedDraining    = "draining"
)

// The outcomes of holds, as labels of the metric.
const (
	holdServed       = "served"
	holdRefused      = "refused"
	holdDisconnected = "disconnected"
)

// errHoldEnded is the cause of the end of the context of a hold that has taken as long as it may.
var errHoldEnded = errors.New("the daemon has not started within the longest hold of the call")

// hold reads a call whole, waits until the daemon has left the starting phase, for at most
// admission.Starting.MaxHold after the call's arrival, and counts the call as in flight. Callers
// drop a connection on which nothing is read for a second, or for a third of their time if that is
// shorter.
func (s *pathServer) hold(c *pathCall) error {
	if state := s.startingState(c); s.board.Phase() == blackboard.Starting && state.RefuseAtOnce() {
		return s.refuseStarting(c, refusedOthersServe, nil)
	}
	overhead := heldCallBytes + headSize(c.r)
	if !s.limits.Memory.TryReserve(overhead, admission.HeldMemoryShare()) {
		closeAfterAnswer(c.w)
		return s.refuseStarting(c, refusedMemory, memoryExhaustedError())
	}
	defer s.limits.Memory.Release(overhead)
	err := s.readHeld(c)
	if err == nil {
		err = s.awaitStart(c.r.Context(), c)
	}
	return s.endHold(c, err)
}

// endHold admits the call if err is nil, records the end of its hold and returns the error for the
// caller.
func (s *pathServer) endHold(c *pathCall, err error) error {
	outcome := holdServed
	defer func() { s.metrics.StartHolds.WithLabelValues(outcome).Observe(time.Since(c.arrivedAt).Seconds()) }()
	var typed *fault.Error
	switch {
	case err == nil && s.board.BeginForward():
		s.record(c, decision.OutcomeAdmitted, fmt.Sprintf("waited %v for the daemon to start", s.waited(c)))
		return nil
	case err == nil:
		outcome = holdRefused
		return s.refuseStarting(c, refusedDraining, requestcontrol.ShutdownError())
	case errors.Is(err, errHoldEnded):
		outcome = holdRefused
		return s.refuseStarting(c, refusedHoldEnded, nil)
	case errors.As(err, &typed) && typed.Kind == fault.BodyMemoryExhausted:
		outcome = holdRefused
		return s.refuseStarting(c, refusedMemory, typed)
	case c.disconnected():
		outcome = holdDisconnected
		s.record(c, decision.OutcomeCancelled, fmt.Sprintf("the caller disconnected after %v, before the daemon had started", s.waited(c)))
		return fault.New(fault.Abandoned, "the caller disconnected while the daemon started", "nothing to do")
	default:
		outcome = holdRefused
		return err
	}
}

// refuseStarting refuses a call because the daemon starts; nil stands for the failure that it has no
// settings yet.
func (s *pathServer) refuseStarting(c *pathCall, reason string, failure *fault.Error) error {
	s.metrics.StartRefusals.WithLabelValues(reason).Inc()
	state := s.startingState(c)
	if failure == nil {
		failure = fault.New(fault.NotReady,
			fmt.Sprintf("this host has no settings yet, %v after its start; the call waited %v", state.Age.Round(time.Millisecond), s.waited(c)),
			"retry the request")
	}
	return s.refuse(c, failure.WithRetry(state.RetryAfter(rand.Float64())))
}

// waited returns the time since a call's arrival, for messages.
func (s *pathServer) waited(c *pathCall) time.Duration {
	return time.Since(c.arrivedAt).Round(time.Millisecond)
}

// readHeld reads the body of a held call. It returns errHoldEnded if the hold ends first; once the
// daemon has started, only the progress of the caller limits the read.
func (s *pathServer) readHeld(c *pathCall) error {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if err := s.awaitStart(ctx, c); errors.Is(err, errHoldEnded) {
			// The cause is set first: a read deadline that readBodyChunks extends after it is given up.
			cancel(err)
			_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
		}
	}()
	body, err := s.readBodyWithLimit(ctx, c.w, c.r, s.maxHeldBody(), admission.HeldMemoryShare())
	cancel(nil)
	<-watched // It must not set a deadline for the next request of the connection.
	if errors.Is(context.Cause(ctx), errHoldEnded) {
		if err == nil {
			body.release()
		}
		closeAfterAnswer(c.w)
		return errHoldEnded
	}
	var typed *fault.Error
	if s.board.Settings.Current() == nil && errors.As(err, &typed) && typed.Kind == fault.TooLarge {
		err = memoryExhaustedError() // The settings may allow the body, but it is too large to be held.
	}
	c.body = body
	return err
}

// maxHeldBody returns the largest body of a held call, in bytes.
func (s *pathServer) maxHeldBody() int64 {
	if view := s.board.Settings.Current(); view != nil {
		return s.maxBody(view)
	}
	return s.limits.MaxBody
}

// awaitStart waits until the daemon has left the starting phase, ctx ends or the call's hold has
// ended. The longest hold is determined again when it has passed, since it depends on the route and
// so on the settings, which may arrive before the daemon serves.
func (s *pathServer) awaitStart(ctx context.Context, c *pathCall) error {
	for s.board.Phase() == blackboard.Starting {
		state := s.startingState(c)
		left := state.MaxHold() - state.Waited
		if left <= 0 {
			return errHoldEnded
		}
		timer := time.NewTimer(left)
		select {
		case <-s.board.Started():
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
	return nil
}

// startingState returns what admission needs to know about a call that arrives while the daemon
// is starting.
func (s *pathServer) startingState(c *pathCall) admission.Starting {
	state := admission.Starting{
		Age: s.board.Age(), CallerTimeout: c.Timeout, Waited: time.Since(c.arrivedAt), FirstEventTimeout: forward.CallerStreamTimeout(0, 0),
	}
	if view := s.board.Settings.Current(); view != nil {
		if path := view.Tree.MatchPath(c.r.Host, c.uri.path()); path != nil {
			state.FirstEventTimeout = 0
			if path.Kind == settings.CallStreaming {
				state.FirstEventTimeout = forward.CallerStreamTimeout(path.Goal, path.GapGoal)
			}
			if path.Timeout > 0 && (state.CallerTimeout == 0 || path.Timeout < state.CallerTimeout) {
				state.CallerTimeout = path.Timeout
			}
		}
	}
	s.board.Members.WithLock(func(t *membership.Table) { state.OtherDaemons, state.OthersServe = t.CountOthers() })
	return state
}

// headSize returns about the memory that the head of a request takes, in bytes.
func headSize(r *http.Request) int64 {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return int64(size)
}
