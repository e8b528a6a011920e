package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBucketAdmitsLargeCostAndDelaysTheNext(t *testing.T) {
	b := NewBucket(100_000, epoch)
	if ok, _ := b.Take(1_000_000, epoch); !ok {
		t.Fatal("Take(1000000) at 100,000 per second = false on a full bucket, want true")
	}
	ok, wait := b.Take(1000, epoch)
	if ok || wait < 9*time.Second || wait > 10*time.Second {
		t.Fatalf("Take(1000) in debt = %v, %v; want false, 9 s to 10 s", ok, wait)
	}
	if ok, _ = b.Take(1000, epoch.Add(wait)); !ok {
		t.Fatal("Take(1000) after the wait that Take returned = false, want true")
	}
}

// TestBucketNeverExceedsItsRate checks, for random arrivals, that no more is taken than the
// rate and the burst allow, plus the last cost.
func TestBucketNeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 1000).Draw(t, "rate")
		b := NewBucket(rate, epoch)
		now := epoch
		taken, largest := 0.0, 0.0
		for range rapid.IntRange(1, 100).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			cost := rapid.Float64Range(0, 500).Draw(t, "cost")
			if ok, _ := b.Take(cost, now); ok {
				taken += cost
				largest = max(largest, cost)
			}
		}
		bound := rate*now.Sub(epoch).Seconds() + max(1, rate*burstSeconds) + largest + 1e-6
		if taken > bound {
			t.Fatalf("took %f units, want at most %f", taken, bound)
		}
	})
}

func TestQueueDispatchesByAgedLevelThenFairShare(t *testing.T) {
	q := NewQueue(5 * time.Second)
	push := func(id, account string, level int, tokens int64, at time.Duration) {
		q.Push(&Item{ID: id, Account: account, Level: level, Tokens: tokens, Arrived: epoch.Add(at)})
	}
	push("batch", "b", 2, 100, 0)
	push("hog1", "hog", 0, 1000, 11*time.Second)
	push("hog2", "hog", 0, 1000, 11*time.Second)
	push("small", "small", 0, 10, 11*time.Second)
	order := func(now time.Time) (ids []string) {
		q.Dispatch(now, func(it *Item) bool {
			ids = append(ids, it.ID)
			return true
		})
		return ids
	}
	got := order(epoch.Add(12 * time.Second))
	want := "[batch hog1 small hog2]" // batch has aged to level 0 and arrived first
	if fmt.Sprint(got) != want {
		t.Fatalf("Dispatch order = %v, want %s", got, want)
	}
	if q.Len() != 0 || q.TokensAhead(9) != 0 {
		t.Fatalf("after dispatching all: Len() = %d, TokensAhead(9) = %d; want 0, 0", q.Len(), q.TokensAhead(9))
	}
}

func TestBlockedLongRequestDoesNotBlockShortOnes(t *testing.T) {
	q := NewQueue(0)
	q.Push(&Item{ID: "long", Account: "a", Tokens: 500_000, Long: true, Arrived: epoch})
	q.Push(&Item{ID: "short", Account: "a", Tokens: 1000, Arrived: epoch.Add(1)})
	var placed []string
	q.Dispatch(epoch, func(it *Item) bool {
		if it.Long {
			return false
		}
		placed = append(placed, it.ID)
		return true
	})
	if fmt.Sprint(placed) != "[short]" || q.Len() != 1 {
		t.Fatalf("Dispatch placed %v, Len() = %d; want [short], 1", placed, q.Len())
	}
}

// TestNoAccountStarvesAnother checks that an account gets its share of the dispatched tokens,
// whatever another account has queued at the same level.
func TestNoAccountStarvesAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(0)
		hog := rapid.IntRange(10, 200).Draw(t, "hog")
		for i := range hog {
			q.Push(&Item{ID: fmt.Sprint("h", i), Account: "hog", Tokens: rapid.Int64Range(1, 1000).Draw(t, "tokens"), Arrived: epoch})
		}
		for i := range 10 {
			q.Push(&Item{ID: fmt.Sprint("s", i), Account: "small", Tokens: 1000, Arrived: epoch})
		}
		sums := map[string]int64{}
		for sums["small"] < 10_000 && q.Len() > 0 {
			dispatched := false
			q.Dispatch(epoch, func(it *Item) bool {
				if dispatched {
					return false
				}
				dispatched = true
				sums[it.Account] += it.Tokens
				return true
			})
			if sums["hog"] > sums["small"]+2000 {
				t.Fatalf("dispatched %d tokens of hog and %d of small, want at most 2000 more of hog", sums["hog"], sums["small"])
			}
		}
	})
}

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	var b Breaker
	for range breakerFailures {
		if b.Open(epoch) {
			t.Fatalf("Open() = true before %d failures", breakerFailures)
		}
		b.Failed(epoch)
	}
	if !b.Open(epoch) || b.Open(epoch.Add(breakerPause)) {
		t.Fatal("breaker is not open for exactly one pause after the last failure")
	}
	b.Sent()
	if !b.Open(epoch.Add(breakerPause)) {
		t.Fatal("Open() = false while a probe is in flight, want true")
	}
	b.Failed(epoch.Add(breakerPause))
	if !b.Open(epoch.Add(2 * breakerPause)) {
		t.Fatal("Open() = false one pause after a failed probe, want a longer pause")
	}
	b.Succeeded()
	if b.Open(epoch.Add(2 * breakerPause)) {
		t.Fatal("Open() = true after a success, want false")
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		b.CountRequest(0.1)
		if b.TakeRetry() {
			retries++
		}
	}
	if retries > 100+initialRetries {
		t.Fatalf("%d retries for 1000 requests, want at most %d", retries, 100+initialRetries)
	}
}

// TestBreakerCountsInFlightFailuresOnce checks that the breaker opens once, for one pause,
// when many calls that are in flight at a target fail together.
func TestBreakerCountsInFlightFailuresOnce(t *testing.T) {
	var b Breaker
	now := time.Unix(0, 0)
	for range 20 {
		b.Sent()
	}
	for range 20 {
		b.Failed(now)
	}
	if !b.Open(now) || b.Open(now.Add(breakerPause)) {
		t.Fatal("breaker is not open for exactly one pause after 20 failures")
	}
	now = now.Add(breakerPause)
	b.Sent() // the probe
	if !b.Open(now) {
		t.Fatal("Open() = false while a probe is in flight, want true")
	}
	b.Failed(now)
	if !b.Open(now.Add(breakerPause)) || b.Open(now.Add(2*breakerPause)) {
		t.Fatal("breaker is not open for exactly two pauses after a failed probe")
	}
}
