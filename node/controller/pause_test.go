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

// TestPauseInvalidatesReports checks that a load report from before a pause counts as unknown after
// it.
func TestPauseInvalidatesReports(t *testing.T) {
	tree, err := settings.Parse([]byte(settingsYAML))
	if err != nil {
		t.Fatal(err)
	}
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	now := time.Now()
	board.Targets.Sync([]hostlist.Host{{ID: "t", Role: hostlist.RoleTarget, Pool: "llm", Address: "a"}}, tree, now)
	board.Targets.RecordReport("t", target.LoadReport{UsedTokens: 900, MemoryTokens: 1000}, now)
	pause := time.Duration(0)
	p := &PauseDetector{
		Board:    board,
		Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
		OnPause:  func(gap time.Duration) { pause = gap },
	}
	p.check(pauseCheckInterval, 0, now)
	if pause != 0 || board.Targets.Views("llm", now)[0].Load.MemoryTokens != 900 {
		t.Fatal("check after the usual interval discarded the load report or called OnPause")
	}
	p.check(time.Minute, 0, now)
	if pause != time.Minute || board.Targets.Views("llm", now)[0].Load.MemoryTokens != 0 {
		t.Fatal("check after a minute kept the load report or did not call OnPause with the gap")
	}
}

// TestHostSuspensionCountsAsOnePause checks that a suspension of the host, which the monotonic
// clock does not show, counts as exactly one pause.
func TestHostSuspensionCountsAsOnePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
		var suspended atomic.Int64
		pauses := make(chan time.Duration, 1)
		p := &PauseDetector{
			Board:         board,
			Recorder:      &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
			SuspendedTime: func() time.Duration { return time.Duration(suspended.Load()) },
			OnPause:       func(gap time.Duration) { pauses <- gap },
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx)
		Sleep(ctx, 3*pauseCheckInterval)
		suspended.Store(int64(4 * time.Second))
		began := time.Now()
		if gap := <-pauses; gap < 4*time.Second || time.Since(began) > 2*pauseCheckInterval {
			t.Errorf("OnPause(%v) came after %v, want at least 4s within %v", gap, time.Since(began), 2*pauseCheckInterval)
		}
		Sleep(ctx, time.Minute)
		if len(pauses) > 0 {
			t.Error("one suspension called OnPause twice")
		}
	})
}
