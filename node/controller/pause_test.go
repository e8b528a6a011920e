package controller

import (
	"log/slog"
	"testing"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
)

const document = `
engine_kinds: {k: {protocol: engine, memory_tokens: 1000, prefill_tokens_per_second: 10}}
pools: {llm: {kind: k, model: m}}
tree: {routes: {chat: {pool: llm}}}
`

// TestAPauseVoidsBeliefs: an old report is not a report any more.
func TestAPauseVoidsBeliefs(t *testing.T) {
	tree, err := settings.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	now := time.Now()
	board.Targets.Sync([]hostlist.Host{{ID: "t", Role: hostlist.RoleTarget, Pool: "llm", Address: "a"}}, tree, now)
	board.Targets.Report("t", target.LoadReport{UsedTokens: 900, MemoryTokens: 1000}, now)
	voided := time.Duration(0)
	p := &Pause{
		Board:  board,
		Record: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
		Void:   func(gap time.Duration) { voided = gap },
	}
	p.tick(now, now.Add(pauseTick))
	if voided != 0 || board.Targets.Views("llm", now)[0].Load.MemoryTokens != 900 {
		t.Fatal("an ordinary tick voids beliefs")
	}
	p.tick(now, now.Add(time.Minute))
	if voided != time.Minute || board.Targets.Views("llm", now)[0].Load.MemoryTokens != 0 {
		t.Fatal("beliefs survive a pause")
	}
}
