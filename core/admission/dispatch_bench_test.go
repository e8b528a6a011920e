package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDispatch measures one look at a queue of 200 waiting requests, none of which finds room,
// and one that places a request of which nothing else waits, as on each event of a pool.
func BenchmarkDispatch(b *testing.B) {
	for _, accounts := range []int{24, 1100} {
		newItem := func(i int) *Item {
			it := &Item{
				ID: fmt.Sprint("r", i), Account: fmt.Sprint("account", i%accounts), Level: i % 3, Tokens: int64(1000 + i%50),
				Long: i%10 == 0, Arrived: epoch.Add(time.Duration(i) * time.Millisecond), LatestStart: epoch.Add(time.Hour),
			}
			if it.Long {
				it.PrefillSeconds = 0.2
			}
			return it
		}
		b.Run(fmt.Sprintf("waiting=200/accounts=%d", accounts), func(b *testing.B) {
			q := NewQueue(time.Minute)
			for i := range 2 * accounts { // Accounts that have been served lately.
				q.Push(newItem(i))
				q.Dispatch(epoch, func(*Item) bool { return true })
			}
			for i := range 200 {
				q.Push(newItem(i))
			}
			b.ResetTimer()
			for i := range b.N {
				q.Dispatch(epoch.Add(time.Duration(i)*time.Microsecond), func(*Item) bool { return false })
			}
		})
		b.Run(fmt.Sprintf("waiting=1/accounts=%d", accounts), func(b *testing.B) {
			q := NewQueue(time.Minute)
			items := make([]*Item, 2*accounts)
			for i := range items {
				items[i] = newItem(i)
			}
			b.ResetTimer()
			for i := range b.N {
				q.Push(items[i%len(items)])
				q.Dispatch(epoch.Add(time.Duration(i)*time.Microsecond), func(*Item) bool { return true })
			}
		})
	}
	b.Run("turnover/waiting=200/accounts=1100", func(b *testing.B) {
		q := NewQueue(time.Minute)
		item := func(i int) *Item {
			return &Item{ID: fmt.Sprint("r", i), Account: fmt.Sprint("account", i%1100), Tokens: int64(1000 + i%50), Arrived: epoch.Add(time.Duration(i) * time.Millisecond)}
		}
		for i := range 200 {
			q.Push(item(i))
		}
		b.ResetTimer()
		for i := range b.N {
			q.Push(item(200 + i))
			one := true
			q.Dispatch(epoch, func(*Item) bool { was := one; one = false; return was })
		}
	})
}

// BenchmarkRefuse measures a refusal while as many refused calls as fit are remembered, as under
// retries of many callers.
func BenchmarkRefuse(b *testing.B) {
	q := NewQueue(time.Minute)
	until := epoch.Add(3 * time.Second)
	for i := range maxReturns {
		q.Refuse(&Item{Account: "a", Tokens: int64(1000 + i), Arrived: epoch}, until)
	}
	b.ResetTimer()
	for i := range b.N {
		q.Refuse(&Item{Account: "b", Tokens: int64(1000 + i), Arrived: epoch.Add(time.Duration(i) * time.Microsecond)}, until)
	}
}
