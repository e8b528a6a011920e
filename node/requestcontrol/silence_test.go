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

// attemptOf is a call with the goals of a chat, under way at its first target.
func attemptOf(rules forward.Rules, budget float64) *forwarding {
	board := blackboard.New(blackboard.Identity{Name: "d1"}, blackboard.Limits{})
	board.Repeats.SetLimit(admission.RepeatLimit{Slack: budget, Window: 10 * time.Second})
	return &forwarding{
		director: &Director{Board: board, Record: &telemetry.Recorder{Metrics: telemetry.NewMetrics()}},
		request: &Request{
			Path:  &settings.ResolvedPath{Kind: settings.CallStreaming, Goal: 300 * time.Millisecond, GapGoal: 250 * time.Millisecond},
			Route: &settings.ResolvedRoute{Pool: &settings.ResolvedPool{Name: "p"}},
		},
		progress: forward.Progress{Rules: rules},
	}
}

var twice = forward.Rules{Repeatable: true, MaxAttempts: 2}

// untilSilent is the time until an attempt is ended for its target's silence; it is the
// limit where that does not happen.
func untilSilent(f *forwarding, p *blackboard.Placement, limit time.Duration, play func(*silence)) time.Duration {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	watched, s := f.watch(ctx, p)
	go play(s)
	<-watched.Done()
	took := time.Since(began)
	_ = s.stop(watched, io.ErrUnexpectedEOF)
	return took
}

func nothing(*silence) {}

func TestASilentTargetIsLeft(t *testing.T) {
	const never = 10 * time.Second
	first := forward.StreamTimeouts(300*time.Millisecond, 250*time.Millisecond).FirstEvent
	pause := forward.StreamTimeouts(300*time.Millisecond, 250*time.Millisecond).BetweenEvents
	event := 100 * time.Millisecond
	for name, c := range map[string]struct {
		rules   forward.Rules
		budget  float64
		reading float64
		play    func(*silence)
		want    time.Duration
	}{
		"no first event":       {twice, 100, 0.03, nothing, first},
		"a pause":              {twice, 100, 0.03, func(s *silence) { <-time.After(event); s.heard() }, event + pause},
		"no other send":        {forward.Rules{Repeatable: true, MaxAttempts: 1}, 100, 0.03, nothing, never},
		"may not be repeated":  {forward.Rules{MaxAttempts: 2}, 100, 0.03, nothing, never},
		"no budget of repeats": {twice, 0, 0.03, nothing, never},
		"dear to read again":   {twice, 100, 3, nothing, never},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &blackboard.Placement{Decision: routing.Decision{PrefillTime: c.reading}}
				if took := untilSilent(attemptOf(c.rules, c.budget), p, never, c.play); took != c.want {
					t.Errorf("ended after %v, want %v", took, c.want)
				}
			})
		})
	}
}

// TestUnusedMemoryEndsTheAttempt: memory that helpers set aside for a call whose target
// hangs is given back within the users' bound, also where the call may not go elsewhere.
func TestUnusedMemoryEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := attemptOf(forward.Rules{Repeatable: true, MaxAttempts: 1}, 0)
		f.request.Path.Goal = 30 * time.Second
		p := &blackboard.Placement{Decision: routing.Decision{Reservations: []routing.MemoryReservation{{Target: "h", Tokens: 1}}}}
		if took := untilSilent(f, p, 15*time.Second, nothing); took != unusedTickets {
			t.Errorf("ended after %v, want %v", took, unusedTickets)
		}
	})
}

// TestSilenceIsPaidOnce: the budget of repeated sends is asked when the silent target is
// left, and not a second time before the next send.
func TestSilenceIsPaidOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := attemptOf(twice, 2) // One repeat: 0.6 of 2.
		watched, s := f.watch(context.Background(), &blackboard.Placement{})
		<-watched.Done()
		err := s.stop(watched, io.ErrUnexpectedEOF)
		if !errors.Is(err, errSilent) {
			t.Fatal(err)
		}
		f.progress.RecordFailure(fault.Unknown, true)
		if !f.mayTryAgain(context.Background(), err) {
			t.Error("the repeat that was paid for is not made")
		}
		if f.mayTryAgain(context.Background(), err) {
			t.Error("a second repeat is made for one payment")
		}
	})
}

// TestAnEndedWatchStaysSilent: nothing is booked for an attempt that has ended.
func TestAnEndedWatchStaysSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := attemptOf(twice, 100)
		watched, s := f.watch(context.Background(), &blackboard.Placement{})
		if err := s.stop(watched, nil); err != nil {
			t.Fatal(err)
		}
		s.heard()
		<-time.After(time.Minute)
		if f.repeatTaken.Load() || errors.Is(context.Cause(watched), errSilent) {
			t.Error("the watch goes on after its attempt")
		}
	})
}

// TestATargetThatStartedAnewIsLeft: the connection to a process that ended with its host's power
// stays open. A call that may go elsewhere does so at once; one that may not waits on, since the
// clocks of two hosts do not prove that its answer cannot come.
func TestATargetThatStartedAnewIsLeft(t *testing.T) {
	const limit = 10 * time.Second
	for name, c := range map[string]struct {
		rules forward.Rules
		left  bool
	}{
		"repeatable":     {twice, true},
		"not repeatable": {forward.Rules{MaxAttempts: 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gone := make(chan struct{})
				close(gone)
				took := untilSilent(attemptOf(c.rules, 10), &blackboard.Placement{Gone: gone}, limit, nothing)
				if left := took < 100*time.Millisecond; left != c.left {
					t.Errorf("it was left after %v", took)
				}
			})
		})
	}
}

// TestWhoIsProbed: a call that holds memory at other targets must learn of its target's death
// from the connection; others are left in silence, or wait at little cost.
func TestWhoIsProbed(t *testing.T) {
	for name, c := range map[string]struct {
		in   routing.Decision
		want bool
	}{
		"short prompt":     {routing.Decision{PrefillTime: 0.03}, false},
		"long prompt":      {routing.Decision{PrefillTime: 2 * readAgain}, false},
		"memory elsewhere": {routing.Decision{PrefillTime: 0.03, Reservations: []routing.MemoryReservation{{Target: "h", Tokens: 1}}}, true},
	} {
		if got := probed(&blackboard.Placement{Decision: c.in}); got != c.want {
			t.Errorf("%s: probed %v", name, got)
		}
	}
}
