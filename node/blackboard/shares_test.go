package blackboard

import (
	"fmt"
	"testing"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/share"
)

// TestOwnerGrantsOnceLeasesAreKnown checks that an owner grants no lease while a daemon has not reported those that it
// holds, grants one as soon as it has, and that accounts which are used later do not wait for it again.
func TestOwnerGrantsOnceLeasesAreKnown(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		report  time.Duration // when the daemon reports its leases; 0 if it never does
		renewal time.Duration // the first renewal of the account
		want    bool
	}{
		"not reported":                   {0, time.Second, false},
		"reported at once":               {time.Second, time.Second, true},
		"reported later":                 {3 * time.Second, 2 * time.Second, false},
		"reported before the renewal":    {3 * time.Second, 4 * time.Second, true},
		"never reported, leases expired": {0, share.LeaseTTL, true},
	} {
		table := newShareTable()
		table.LeasesUnreported("b", start)
		table.SetCollected(start)
		early := start.Add(time.Second / 2)
		table.Renew("early", share.Renewal{Holder: "a", Demand: 1}, 2, 2, early)
		at := start.Add(c.renewal)
		if c.report > 0 && c.report <= c.renewal {
			table.Adopt("b", nil, start.Add(c.report))
		}
		for _, account := range []string{"early", "new"} {
			if g := table.Renew(account, share.Renewal{Holder: "a", Demand: 1}, 2, 2, at); g.Fraction > 0 != c.want {
				t.Errorf("%s: account %s is granted %v, want a lease: %v", name, account, g.Fraction, c.want)
			}
		}
		table.RemoveExpired(start.Add(share.LeaseTTL + time.Second))
		if left := table.Unreported(); len(left) > 0 {
			t.Errorf("%s: %v are still asked for leases that have expired", name, left)
		}
	}
}

// TestReportedLeasesAreNotGrantedAgain checks that what a daemon reports after the owner has begun to grant leases is
// not granted to another.
func TestReportedLeasesAreNotGrantedAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	table := newShareTable()
	table.LeasesUnreported("b", start)
	table.SetCollected(start)
	table.Renew("acme", share.Renewal{Holder: "a", Demand: 1}, 2, 2, start)
	table.Adopt("b", []Holding{{Account: "acme", Fraction: 0.7}}, start.Add(time.Second))
	g := table.Renew("acme", share.Renewal{Holder: "a", Demand: 1}, 2, 2, start.Add(time.Second))
	if most := 1 - share.ReserveFraction - 0.7; g.Fraction <= 0 || g.Fraction > most+1e-9 {
		t.Errorf("granted %v, want more than 0 and at most %v", g.Fraction, most)
	}
}

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
