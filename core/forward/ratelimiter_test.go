package forward

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRateLimiterHoldsLimit checks that for any limits, changes of limits and arrival times, a window
// of 4 s has at most the calls that the highest limit and the burst allow.
func TestRateLimiterHoldsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 4 * time.Second
		limits := rapid.SliceOfN(rapid.Float64Range(0, 50), 1, 4).Draw(t, "limits")
		var l RateLimiter
		now, highest := noticeTime, 0.0
		var sent []time.Time
		for _, perSecond := range limits {
			l.update(TimedNotice{Notice{Limit: DeclaredLimit(perSecond)}, now, now.Add(time.Microsecond)})
			highest = max(highest, l.Rate())
			for range 200 {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				if l.Wait(now) == 0 {
					l.RecordCall(now)
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
				t.Fatalf("%d calls in %v, want at most %d", got, window, allowed)
			}
		}
	})
}

// TestZeroLimitAllowsMinRate checks that a target with a limit of zero is still called at minRate,
// since only an answer shows that the target accepts calls again.
func TestZeroLimitAllowsMinRate(t *testing.T) {
	var l RateLimiter
	l.update(TimedNotice{Notice{Limit: DeclaredLimit(0)}, noticeTime, noticeTime})
	if l.Wait(noticeTime) != 0 {
		t.Fatalf("Wait before the first call = %v, want 0", l.Wait(noticeTime))
	}
	l.RecordCall(noticeTime)
	if got, want := l.Wait(noticeTime.Add(time.Second)), 4*time.Second-burst-time.Second; got != want {
		t.Errorf("Wait 1s after the first call = %v, want %v", got, want)
	}
}

// TestOlderNoticeDoesNotReplaceLimit covers notices that another daemon passes on, which may be older
// than the limit in force.
func TestOlderNoticeDoesNotReplaceLimit(t *testing.T) {
	var l RateLimiter
	at := func(ms int) time.Time { return noticeTime.Add(time.Duration(ms) * time.Millisecond) }
	l.update(TimedNotice{Notice{Limit: DeclaredLimit(2)}, at(80), at(100)})
	l.update(TimedNotice{Notice{Limit: DeclaredLimit(9)}, time.Time{}, at(50)})
	if l.Limit().PerSecond != 2 {
		t.Errorf("Limit() after an older notice = %v, want 2/s", l.Limit())
	}
	l.update(TimedNotice{Notice{Limit: Limit{Lifted: true}}, at(200), at(220)})
	l.update(TimedNotice{Notice{Limit: DeclaredLimit(2)}, time.Time{}, at(150)})
	if l.Limit().Declared {
		t.Errorf("Limit() after a notice older than the lifting = %v, want none", l.Limit())
	}
}
