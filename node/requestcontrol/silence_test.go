package requestcontrol

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// newTestForwarding is a call with the goals of a chat, under way at its first target.
func newTestForwarding(rules forward.Rules, budget float64) *forwarding {
	board := blackboard.New(blackboard.Identity{Name: "d1"}, blackboard.Limits{})
	board.Repeats.SetLimit(admission.RepeatLimit{Slack: budget, Window: 10 * time.Second})
	return &forwarding{
		director: &Director{Board: board, Recorder: &telemetry.Recorder{Metrics: telemetry.NewMetrics()}},
		request: &Request{
			Path:  &settings.ResolvedPath{Kind: settings.CallStreaming, Goal: 300 * time.Millisecond, GapGoal: 250 * time.Millisecond},
			Route: &settings.ResolvedRoute{Pool: &settings.ResolvedPool{Name: "p"}},
		},
		progress: forward.Progress{Rules: rules},
	}
}

var twoAttempts = forward.Rules{Repeatable: true, MaxAttempts: 2}

// timeToSilence is the time until an attempt is ended for its target's silence; it is the
// limit where that does not happen.
func timeToSilence(f *forwarding, p *blackboard.Placement, limit time.Duration, play func(*silenceWatch)) time.Duration {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	watched, s := f.watchSilence(ctx, p)
	go play(s)
	<-watched.Done()
	took := time.Since(began)
	_ = s.stop(watched, io.ErrUnexpectedEOF)
	return took
}

func noEvents(*silenceWatch) {}

func TestSilentTargetEndsAttempt(t *testing.T) {
	const never = 10 * time.Second
	first := forward.StreamTimeouts(300*time.Millisecond, 250*time.Millisecond).FirstEvent
	pause := forward.StreamTimeouts(300*time.Millisecond, 250*time.Millisecond).BetweenEvents
	event := 100 * time.Millisecond
	for name, c := range map[string]struct {
		rules   forward.Rules
		budget  float64
		reading float64
		play    func(*silenceWatch)
		want    time.Duration
	}{
		"no first event":       {twoAttempts, 100, 0.03, noEvents, first},
		"a pause":              {twoAttempts, 100, 0.03, func(s *silenceWatch) { <-time.After(event); s.eventReceived() }, event + pause},
		"no other send":        {forward.Rules{Repeatable: true, MaxAttempts: 1}, 100, 0.03, noEvents, never},
		"may not be repeated":  {forward.Rules{MaxAttempts: 2}, 100, 0.03, noEvents, never},
		"no budget of repeats": {twoAttempts, 0, 0.03, noEvents, never},
		"dear to read again":   {twoAttempts, 100, 3, noEvents, never},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &blackboard.Placement{Decision: routing.Decision{PrefillTime: c.reading}}
				if took := timeToSilence(newTestForwarding(c.rules, c.budget), p, never, c.play); took != c.want {
					t.Errorf("ended after %v, want %v", took, c.want)
				}
			})
		})
	}
}

// TestUnusedReservationEndsAttempt: memory that helpers set aside for a call whose target
// hangs is given back within the users' bound, also where the call may not go elsewhere.
func TestUnusedReservationEndsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestForwarding(forward.Rules{Repeatable: true, MaxAttempts: 1}, 0)
		f.request.Path.Goal = 30 * time.Second
		p := &blackboard.Placement{Decision: routing.Decision{Reservations: []routing.MemoryReservation{{Target: "h", Tokens: 1}}}}
		if took := timeToSilence(f, p, 15*time.Second, noEvents); took != unusedReservationTimeout {
			t.Errorf("ended after %v, want %v", took, unusedReservationTimeout)
		}
	})
}

// TestSilenceChargesRepeatBudgetOnce: the budget of repeated sends is asked when the silent target is
// left, and not a second time before the next send.
func TestSilenceChargesRepeatBudgetOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestForwarding(twoAttempts, 2) // One repeat: 0.6 of 2.
		watched, s := f.watchSilence(context.Background(), &blackboard.Placement{})
		<-watched.Done()
		err := s.stop(watched, io.ErrUnexpectedEOF)
		if !errors.Is(err, errSilent) {
			t.Fatal(err)
		}
		f.progress.RecordFailure(fault.Unknown, true)
		if !f.mayRetry(context.Background(), err) {
			t.Error("the repeat that was paid for is not made")
		}
		if f.mayRetry(context.Background(), err) {
			t.Error("a second repeat is made for one payment")
		}
	})
}

// TestStoppedSilenceWatchDoesNothing: nothing is booked for an attempt that has ended.
func TestStoppedSilenceWatchDoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestForwarding(twoAttempts, 100)
		watched, s := f.watchSilence(context.Background(), &blackboard.Placement{})
		if err := s.stop(watched, nil); err != nil {
			t.Fatal(err)
		}
		s.eventReceived()
		<-time.After(time.Minute)
		if f.repeatCharged.Load() || errors.Is(context.Cause(watched), errSilent) {
			t.Error("the watch goes on after its attempt")
		}
	})
}

// TestRestartedTargetEndsRepeatableAttempt: the connection to a process that ended with its host's power
// stays open. A call that may go elsewhere does so at once; one that may not waits on, since the
// clocks of two hosts do not prove that its answer cannot come.
func TestRestartedTargetEndsRepeatableAttempt(t *testing.T) {
	const limit = 10 * time.Second
	for name, c := range map[string]struct {
		rules forward.Rules
		left  bool
	}{
		"repeatable":     {twoAttempts, true},
		"not repeatable": {forward.Rules{MaxAttempts: 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gone := make(chan struct{})
				close(gone)
				took := timeToSilence(newTestForwarding(c.rules, 10), &blackboard.Placement{Gone: gone}, limit, noEvents)
				if left := took < 100*time.Millisecond; left != c.left {
					t.Errorf("it was left after %v", took)
				}
			})
		})
	}
}

// TestProbesConnection: a call that holds memory at other targets must learn of its target's death
// from the connection; others are left in silence, or wait at little cost.
func TestProbesConnection(t *testing.T) {
	for name, c := range map[string]struct {
		in   routing.Decision
		want bool
	}{
		"short prompt":     {routing.Decision{PrefillTime: 0.03}, false},
		"long prompt":      {routing.Decision{PrefillTime: 2 * maxRepeatPrefillSeconds}, false},
		"memory elsewhere": {routing.Decision{PrefillTime: 0.03, Reservations: []routing.MemoryReservation{{Target: "h", Tokens: 1}}}, true},
	} {
		if got := probesConnection(&blackboard.Placement{Decision: c.in}); got != c.want {
			t.Errorf("%s: probed %v", name, got)
		}
	}
}
