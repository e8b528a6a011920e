package blackboard

import (
	"fmt"
	"testing"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
)

// TestRefusedPromptIsRememberedNotCharged checks that a prompt that routing refuses is not counted as
// dispatched, and that its repeat before the advised time goes behind another account's prompt:
// without the report of the refusal, callers that ignore Retry-After gain by repeating.
func TestRefusedPromptIsRememberedNotCharged(t *testing.T) {
	tree := parseChangesTree(t)
	board := newChangesBoard(t, tree)
	now := time.Now().Add(time.Hour)
	board.MergeUpdate(hostlist.Update{AsOf: 1, Hosts: []hostlist.Host{{
		ID: "t0", Role: hostlist.RoleTarget, Address: "10.0.0.1:80", Region: "r", Pool: "llm", DataCentre: "a", State: hostlist.Live, Slots: 1, Revision: 1,
	}}}, now)
	c := board.Targets.Capacity("llm", now)
	if size := c.Size(); size.Engines != 1 || size.Slots < 1 || size.MemoryTokens != 300_000 {
		t.Fatalf("Size() = %+v, want one engine with its slots and 300000 tokens", size)
	}
	ticket := func(id, account string, waited time.Duration) *Ticket {
		return &Ticket{
			Pool: tree.Pool("llm"), Attempt: id, Deadline: now.Add(20 * time.Second), Params: routing.Params{LongPromptTokens: 20_000, LongPerTarget: 1, LongTargets: 1, Timing: tree.Pool("llm").Timing},
			Request: routing.Request{ID: id, PromptTokens: 200_000, OutputTokens: 100, Goal: 1},
			Item:    &admission.Item{ID: id, Account: account, Tokens: 200_000, Long: true, PrefillSeconds: 1.2, Arrived: now.Add(-waited)},
		}
	}
	const repeats = 3 // With more cost than the step within which long prompts go by prefill time.
	var refused []*Ticket
	for i := range repeats {
		refused = append(refused, ticket(fmt.Sprint("refused", i), "a", 3*time.Second))
		board.Queues.Push(refused[i])
	}
	board.Queues.Dispatch("llm", board.Targets, now)
	for _, r := range refused {
		select {
		case p := <-r.Placed():
			if p.Decision.Verdict != routing.Refuse {
				t.Fatalf("verdict %s for a prompt that is late, want refuse", p.Decision.Verdict)
			}
		default:
			t.Fatal("a prompt that is late still waits, want it refused")
		}
	}
	if s := board.Queues.Stats(now)["llm"]; s.Long.Dispatched != 0 || len(board.Queues.LargestShares(now)) != 0 {
		t.Errorf("after a refusal: %+v, shares %v; want nothing dispatched", s, board.Queues.LargestShares(now))
	}
	for i := range repeats {
		again := ticket(fmt.Sprint("again", i), "a", 0)
		again.Item.LatestStart = now.Add(time.Second)
		board.Queues.Push(again)
	}
	other := ticket("other", "b", -time.Millisecond)
	other.Item.LatestStart = now.Add(time.Second)
	board.Queues.Push(other)
	order := board.Queues.pool("llm").queue.InOrder(now)
	if len(order) != repeats+1 || order[0].ID != "other" {
		t.Errorf("an early repeat of account a goes before the first prompt of account b, want all behind")
	}
}
