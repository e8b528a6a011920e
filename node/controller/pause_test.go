package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
)

const settingsYAML = `
engine_kinds: {k: {protocol: engine, memory_tokens: 1000, prefill_tokens_per_second: 10}}
pools: {llm: {kind: k, model: m}}
tree: {routes: {chat: {pool: llm}}}
`

// TestPauseInvalidatesReports: an old report is not a report any more.
func TestPauseInvalidatesReports(t *testing.T) {
	tree, err := settings.Parse([]byte(settingsYAML))
	if err != nil {
		t.Fatal(err)
	}
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	now := time.Now()
	board.Targets.Sync([]hostlist.Host{{ID: "t", Role: hostlist.RoleTarget, Pool: "llm", Address: "a"}}, tree, now)
	board.Targets.Report("t", target.LoadReport{UsedTokens: 900, MemoryTokens: 1000}, now)
	voided := time.Duration(0)
	p := &PauseDetector{
		Board:    board,
		Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
		OnPause:  func(gap time.Duration) { voided = gap },
	}
	p.check(pauseCheckInterval, 0, now)
	if voided != 0 || board.Targets.Views("llm", now)[0].Load.MemoryTokens != 900 {
		t.Fatal("an ordinary tick voids beliefs")
	}
	p.check(time.Minute, 0, now)
	if voided != time.Minute || board.Targets.Views("llm", now)[0].Load.MemoryTokens != 0 {
		t.Fatal("beliefs survive a pause")
	}
}

// TestHostSuspensionCountsAsOnePause: the steady clock goes on as if nothing had been.
func TestHostSuspensionCountsAsOnePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
		var slept atomic.Int64
		voided := make(chan time.Duration, 1)
		p := &PauseDetector{
			Board:         board,
			Recorder:      &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
			SuspendedTime: func() time.Duration { return time.Duration(slept.Load()) },
			OnPause:       func(gap time.Duration) { voided <- gap },
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx)
		Sleep(ctx, 3*pauseCheckInterval)
		slept.Store(int64(4 * time.Second))
		began := time.Now()
		if gap := <-voided; gap < 4*time.Second || time.Since(began) > 2*pauseCheckInterval {
			t.Errorf("a pause of %v was noticed after %v", gap, time.Since(began))
		}
		Sleep(ctx, time.Minute)
		if len(voided) > 0 {
			t.Error("one sleep voids beliefs twice")
		}
	})
}
