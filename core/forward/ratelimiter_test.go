package forward

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRateLimiterHoldsLimit: whatever the limit, how it changes and when calls come, a window of 4 s has
// at most what the highest limit in it allows, and what may run ahead of it.
func TestRateLimiterHoldsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 4 * time.Second
		limits := rapid.SliceOfN(rapid.Float64Range(0, 50), 1, 4).Draw(t, "limits")
		var s RateLimiter
		now, highest := noticeTime, 0.0
		var sent []time.Time
		for _, perSecond := range limits {
			s.update(TimedNotice{Notice{Limit: DeclaredLimit(perSecond)}, now, now.Add(time.Microsecond)})
			highest = max(highest, s.Rate())
			for range 200 {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				if s.Wait(now) == 0 {
					s.RecordCall(now)
					sent = append(sent, now)
				}
			}
		}
		allowed := int(highest*(window+burst).Seconds()) + 2
		for from, to := 0, 0; to < len(sent); to++ {
			for sent[to].Sub(sent[from]) > window {
				from++
			}
			if got := to - from + 1; got > allowed {
				t.Fatalf("%d calls in %v, allowed %d", got, window, allowed)
			}
		}
	})
}

// TestZeroLimitAllowsMinRate: only an answer shows that it takes calls again.
func TestZeroLimitAllowsMinRate(t *testing.T) {
	var s RateLimiter
	s.update(TimedNotice{Notice{Limit: DeclaredLimit(0)}, noticeTime, noticeTime})
	if s.Wait(noticeTime) != 0 {
		t.Fatal("it is not asked")
	}
	s.RecordCall(noticeTime)
	if got, want := s.Wait(noticeTime.Add(time.Second)), 4*time.Second-burst-time.Second; got != want {
		t.Errorf("it is asked again after %v, want %v", got, want)
	}
}

// TestOlderNoticeDoesNotReplaceLimit: a word that is passed on may be older than what is known.
func TestOlderNoticeDoesNotReplaceLimit(t *testing.T) {
	var s RateLimiter
	at := func(ms int) time.Time { return noticeTime.Add(time.Duration(ms) * time.Millisecond) }
	s.update(TimedNotice{Notice{Limit: DeclaredLimit(2)}, at(80), at(100)})
	s.update(TimedNotice{Notice{Limit: DeclaredLimit(9)}, time.Time{}, at(50)})
	if s.Limit().PerSecond != 2 {
		t.Errorf("an older word replaces the limit: %v", s.Limit())
	}
	s.update(TimedNotice{Notice{Limit: Limit{Lifted: true}}, at(200), at(220)})
	s.update(TimedNotice{Notice{Limit: DeclaredLimit(2)}, time.Time{}, at(150)})
	if s.Limit().Declared {
		t.Errorf("an older word brings a lifted limit back: %v", s.Limit())
	}
}
