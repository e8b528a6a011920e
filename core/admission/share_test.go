package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// The load of the tests of shares: 24 accounts, of which the first has ten times the calls of each
// other one and the second may repeat refused calls at once, for 30 s of virtual time.
const (
	testAccounts     = 24
	largeAccount     = 0
	repeatingAccount = 1
	testDuration     = 30 * time.Second
	testTick         = 5 * time.Millisecond
)

// sharedCall is a call of a simulated caller.
type sharedCall struct {
	account   int
	long      bool
	tokens    int64
	first     time.Duration // first arrival
	at        time.Duration // arrival of the current attempt
	attempt   int
	item      *Item
	completed bool
}

// patience is the time within which a call has to be dispatched to be in time, and timeout the time
// after which its caller gives up.
func (c *sharedCall) patience() time.Duration {
	if c.long {
		return 1500 * time.Millisecond
	}
	return 300 * time.Millisecond
}

const callTimeout = 10 * time.Second

type callHeap []*sharedCall

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)        { *h = append(*h, x.(*sharedCall)) }
func (h *callHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// sharedPool is a pool that serves capacity tokens per second.
type sharedPool struct {
	capacity  float64
	repeating bool // whether repeatingAccount repeats at once
	seed      uint64
	accounts  int // number of accounts; zero means testAccounts
}

// served is what a group of calls was offered and got, in tokens and calls.
type served struct{ offered, got, calls, dispatched float64 }

func (s served) share() float64 { return s.got / s.offered }

// run serves a load of capacity/0.7 tokens per second and returns what each account and kind got. A
// call that is not dispatched within its patience is refused; its caller honours the advised wait
// and repeats it once.
func (p *sharedPool) run() (accounts [testAccounts]served, kinds [2]served) {
	rng := rand.New(rand.NewPCG(p.seed, 7))
	calls := p.generate(rng)
	arrivals := callHeap(append([]*sharedCall(nil), calls...))
	heap.Init(&arrivals)
	q := NewQueue(5 * time.Second)
	var waiting []*sharedCall
	credit := 0.0
	for now := time.Duration(0); now < testDuration+callTimeout; now += testTick {
		for len(arrivals) > 0 && arrivals[0].at <= now {
			c := heap.Pop(&arrivals).(*sharedCall)
			c.item = c.newItem()
			q.Push(c.item)
			waiting = append(waiting, c)
		}
		credit = min(credit+p.capacity*testTick.Seconds(), p.capacity*testTick.Seconds())
		if credit > 0 { // Otherwise Dispatch would offer each request in vain.
			q.Dispatch(epoch.Add(now), func(it *Item) bool {
				c := it.Value.(*sharedCall)
				if credit <= 0 {
					return false
				}
				credit -= float64(it.Tokens)
				c.completed = true
				return true
			})
		}
		still := waiting[:0]
		for _, c := range waiting {
			if c.completed {
				continue
			}
			if now-c.at <= c.patience() {
				still = append(still, c)
				continue
			}
			q.Remove(c.item)
			retryAfter := time.Second
			q.Refuse(c.item, epoch.Add(now+retryAfter))
			limit := 1
			c.at = now + retryAfter
			if p.repeating && c.account == repeatingAccount {
				limit, c.at = 1000, now+testTick
			}
			if c.attempt++; c.attempt <= limit && c.at < c.first+callTimeout {
				heap.Push(&arrivals, c)
			}
		}
		waiting = still
	}
	for _, c := range calls {
		got := served{offered: float64(c.tokens), calls: 1}
		if c.completed {
			got.got, got.dispatched = float64(c.tokens), 1
		}
		accounts[c.account].add(got)
		kinds[map[bool]int{false: 0, true: 1}[c.long]].add(got)
	}
	return accounts, kinds
}

func (s *served) add(o served) {
	s.offered += o.offered
	s.got += o.got
	s.calls += o.calls
	s.dispatched += o.dispatched
}

// generate draws the calls. Nine of ten prompts are short and half of the tokens are in long ones.
func (p *sharedPool) generate(rng *rand.Rand) []*sharedCall {
	const meanShort, meanLong, longPart = 5_000, 45_000, 0.1
	mean := (1-longPart)*meanShort + longPart*meanLong
	rate := p.capacity / 0.7 / mean
	var calls []*sharedCall
	for at := 0.0; at < testDuration.Seconds(); at += rng.ExpFloat64() / rate {
		c := &sharedCall{account: max(0, rng.IntN(testAccounts+9)-9), long: rng.Float64() < longPart}
		if p.accounts > 0 {
			c.account %= p.accounts
		}
		c.first = time.Duration(at * float64(time.Second))
		c.at = c.first
		c.tokens = int64(meanShort * (0.5 + rng.Float64()))
		if c.long {
			c.tokens = int64(meanLong * (0.5 + rng.Float64()))
		}
		calls = append(calls, c)
	}
	return calls
}

func (c *sharedCall) newItem() *Item {
	it := &Item{
		ID: fmt.Sprint(c.first, "-", c.attempt), Account: fmt.Sprint(c.account), Tokens: c.tokens, Long: c.long,
		Arrived: epoch.Add(c.at), LatestStart: epoch.Add(c.at + c.patience()), Value: c,
	}
	if c.long {
		it.PrefillSeconds = float64(c.tokens) / 177_000
	}
	return it
}

// unfairResult is what the accounts and kinds get, as shares of what they asked for.
type unfairResult struct {
	large, repeating, others, lowest, short, long float64
}

func (r unfairResult) String() string {
	return fmt.Sprintf("large %.3f, repeating %.3f, others %.3f, lowest of the others %.3f, short %.3f, long %.3f", r.large, r.repeating, r.others, r.lowest, r.short, r.long)
}

// runUnfair returns the sums over five seeds.
func runUnfair(repeating bool) unfairResult {
	if repeating {
		return unfairRepeating()
	}
	return unfairPatient()
}

var (
	unfairPatient   = sync.OnceValue(func() unfairResult { return simulateUnfair(false) })
	unfairRepeating = sync.OnceValue(func() unfairResult { return simulateUnfair(true) })
)

func simulateUnfair(repeating bool) unfairResult {
	var accounts [testAccounts]served
	var kinds [2]served
	for seed := range uint64(5) {
		p := sharedPool{capacity: 600_000, repeating: repeating, seed: seed + 1}
		a, k := p.run()
		for i := range a {
			accounts[i].add(a[i])
		}
		for i := range k {
			kinds[i].add(k[i])
		}
	}
	r := unfairResult{large: accounts[largeAccount].share(), repeating: accounts[repeatingAccount].share(), lowest: 1}
	var others served
	for i := 2; i < testAccounts; i++ {
		others.add(accounts[i])
		r.lowest = min(r.lowest, accounts[i].share())
	}
	r.others, r.short, r.long = others.share(), kinds[0].dispatched/kinds[0].calls, kinds[1].dispatched/kinds[1].calls
	return r
}

// TestAccountsShareShortCapacity checks what 24 accounts get from 0.7 of the capacity that they ask
// for, whatever the account with ten times their calls and the one that repeats at once ask for: the
// fair share of an ordinary one is 0.96 of what it asks. When prompt tokens were charged per kind of
// prompt and long prompts had no account, the ordinary accounts got 0.79 and the lowest 0.68.
func TestAccountsShareShortCapacity(t *testing.T) {
	for _, repeating := range []bool{false, true} {
		r := runUnfair(repeating)
		t.Logf("repeating at once %v: %v", repeating, r)
		if r.others < 0.9 || r.lowest < 0.85 {
			t.Errorf("repeating at once %v: the ordinary accounts got %.3f, the lowest %.3f; want at least 0.9 and 0.85", repeating, r.others, r.lowest)
		}
	}
}

// TestRepeatingAtOnceEarnsNothing guards against callers that ignore Retry-After and repeat a
// refused call until it is served. Without a charge, all calls of their account were served.
func TestRepeatingAtOnceEarnsNothing(t *testing.T) {
	patient, repeating := runUnfair(false), runUnfair(true)
	t.Logf("the account got %.3f with the advised waits, %.3f when it repeats at once", patient.repeating, repeating.repeating)
	if repeating.repeating > patient.repeating {
		t.Errorf("the account got %.3f when it repeats at once and %.3f otherwise; want no more", repeating.repeating, patient.repeating)
	}
}

// TestOnlyEarlyRepeatsAreCharged checks that a caller that honours its Retry-After, a call with another
// prompt, a daemon's own retry and a call to a plain service pay nothing, and that an early repeat
// goes behind the others once.
func TestOnlyEarlyRepeatsAreCharged(t *testing.T) {
	for _, c := range []struct {
		name            string
		after           time.Duration
		refused, tokens int64
		retry           bool
		want            string
	}{
		{"early", 500 * time.Millisecond, 5000, 5000, false, "[other returning]"},
		{"honoured", time.Second, 5000, 5000, false, "[returning other]"},
		{"another prompt", 500 * time.Millisecond, 5000, 5001, false, "[returning other]"},
		{"retry by the daemon", 500 * time.Millisecond, 5000, 5000, true, "[returning other]"},
		{"plain service", 500 * time.Millisecond, 1, 1, false, "[returning other]"},
	} {
		q := NewQueue(0)
		q.Push(&Item{ID: "refused", Account: "a", Tokens: c.refused, Arrived: epoch})
		q.Dispatch(epoch, func(it *Item) bool {
			q.Refuse(it, epoch.Add(time.Second))
			return true
		})
		q.Push(&Item{ID: "returning", Account: "a", Tokens: c.tokens, Retry: c.retry, Arrived: epoch.Add(c.after)})
		q.Push(&Item{ID: "other", Account: "b", Tokens: 5000, Arrived: epoch.Add(c.after + time.Millisecond)})
		var order []string
		q.Dispatch(epoch.Add(2*time.Second), func(it *Item) bool {
			order = append(order, it.ID)
			return true
		})
		if fmt.Sprint(order) != c.want {
			t.Errorf("%s: order %v, want %s", c.name, order, c.want)
		}
	}
}

// TestAccountsShareLongPrompts checks that an account does not take the capacity for long prompts by
// sending shorter ones than the others, which the order by prefill time alone prefers, and that
// of its own the shortest go first.
func TestAccountsShareLongPrompts(t *testing.T) {
	q := NewQueue(0)
	for i := range 40 {
		q.Push(&Item{ID: fmt.Sprintf("h%02d", i), Account: "large", Tokens: int64(20_000 + 100*(40-i)), Long: true, PrefillSeconds: 0.1 + 0.001*float64(40-i), Arrived: epoch})
	}
	for i := range 4 {
		q.Push(&Item{ID: fmt.Sprint("s", i), Account: fmt.Sprint("small", i), Tokens: 40_000, Long: true, PrefillSeconds: 0.2, Arrived: epoch})
	}
	var order []string
	for len(order) < 16 {
		one := false
		q.Dispatch(epoch, func(it *Item) bool {
			if one {
				return false
			}
			one = true
			order = append(order, it.ID)
			return true
		})
	}
	text := strings.Join(order, " ")
	for i := range 4 {
		if !strings.Contains(text, fmt.Sprint("s", i)) {
			t.Errorf("the first 16 dispatched are %s; want those of the small accounts among them", text)
		}
	}
	if order[0] != "h39" || order[1] != "h38" {
		t.Errorf("the first dispatched are %s, %s; want the shortest prompts, h39 and h38", order[0], order[1])
	}
}

// TestKindsOfPromptAreServedAlike guards against a kind of prompt that is starved by the other one:
// long prompts may wait longer, so that without a bound one of them is nearly always the oldest
// that waits, and short ones are refused. With a single account, the shares of accounts do not
// help.
func TestKindsOfPromptAreServedAlike(t *testing.T) {
	var kinds [2]served
	for seed := range uint64(5) {
		p := sharedPool{capacity: 600_000, seed: seed + 1, accounts: 1}
		_, k := p.run()
		kinds[0].add(k[0])
		kinds[1].add(k[1])
	}
	short, long := kinds[0].dispatched/kinds[0].calls, kinds[1].dispatched/kinds[1].calls
	t.Logf("served of the short prompts %.3f, of the long ones %.3f", short, long)
	if short < 0.49*long || long < 0.49*short {
		t.Errorf("%.3f of the short prompts and %.3f of the long ones are served; want none below half of the other", short, long)
	}
}

// TestKindBehindGoesFirst checks both directions of the bound, and that it does not hold back a kind
// while the other one does not wait or has been served at half the rate.
func TestKindBehindGoesFirst(t *testing.T) {
	for _, c := range []struct {
		name                    string
		older                   string // goes first unless the other one's kind is behind
		shortPlaced, longPlaced int    // of ten of each kind
		want                    string
	}{
		{"both alike", "long", 5, 5, "long"},
		{"short behind", "long", 1, 9, "short"},
		{"short at two thirds", "long", 6, 9, "long"},
		{"long behind", "short", 9, 1, "long"},
		{"long at two thirds", "short", 9, 6, "short"},
	} {
		q := NewQueue(0)
		push := func(id string, long bool, at time.Duration) {
			q.Push(&Item{ID: id, Account: id, Tokens: 1000, Long: long, PrefillSeconds: 0.1, Arrived: epoch.Add(at)})
		}
		push("long", true, map[string]time.Duration{"long": -time.Second}[c.older])
		push("short", false, map[string]time.Duration{"short": -time.Second}[c.older])
		for i := range 9 {
			push(fmt.Sprint("s", i), false, time.Second)
			push(fmt.Sprint("l", i), true, time.Second)
		}
		placed := [2]int{}
		q.Dispatch(epoch, func(it *Item) bool {
			k := kindIndex(it.Long)
			if len(it.ID) != 2 || placed[k] >= [2]int{c.shortPlaced, c.longPlaced}[k] {
				return false
			}
			placed[k]++
			return true
		})
		first := ""
		q.Dispatch(epoch, func(it *Item) bool {
			if first == "" {
				first = it.ID
			}
			return false
		})
		if first != c.want {
			t.Errorf("%s: %q is offered first, want %q", c.name, first, c.want)
		}
	}
}
