package forward

import (
	"testing"
	"time"
)

var noticeTime = time.Unix(1_000_000, 0)

func recordNotice(t *testing.T, n *Notices, started int64, said Notice, at time.Time, news bool) {
	t.Helper()
	if got := n.Record("t", "a:1", started, TimedNotice{said, at, at}); got != news {
		t.Errorf("%+v at %v: news %v", said, at.Sub(noticeTime), got)
	}
}

func TestDrainNoticeIsRetained(t *testing.T) {
	n := NewNotices()
	recordNotice(t, n, 0, Notice{}, noticeTime, false)
	recordNotice(t, n, 0, Notice{Draining: true}, noticeTime, true)
	recordNotice(t, n, 0, Notice{Draining: true}, noticeTime.Add(time.Minute), false)
	n.RemoveExpired(noticeTime.Add(2 * time.Minute))
	n.UpdateTarget("t", "a:1", 0)
	if !n.Draining("t", noticeTime.Add(2*time.Minute)) || n.Draining("u", noticeTime) {
		t.Error("it is forgotten, or held against another target")
	}
	n.RemoveExpired(noticeTime.Add(time.Hour))
	if n.Draining("t", noticeTime.Add(time.Hour)) || len(n.byTarget) != 0 {
		t.Error("it is held for ever")
	}
}

// TestDrainNoticeEndsWithProcess: that one before it does. A time of rest goes on to its end.
func TestDrainNoticeEndsWithProcess(t *testing.T) {
	for name, c := range map[string]struct {
		before, after int64
		address       string
		holds         bool
	}{
		"the same process":            {5, 5, "a:1", true},
		"a later one":                 {5, 6, "a:1", false},
		"an older entry":              {5, 4, "a:1", true},
		"the start is told later":     {0, noticeTime.Add(-time.Hour).UnixMilli(), "a:1", true},
		"it started after it spoke":   {0, noticeTime.Add(time.Second).UnixMilli(), "a:1", false},
		"another address":             {5, 5, "a:2", false},
		"the start is not told again": {5, 0, "a:1", true},
	} {
		n := NewNotices()
		recordNotice(t, n, c.before, Notice{Draining: true, Backoff: time.Minute}, noticeTime, true)
		n.UpdateTarget("t", c.address, c.after)
		at := noticeTime.Add(2 * time.Second)
		if n.Draining("t", at) != c.holds || n.BackoffLeft("t", at) != time.Minute-2*time.Second {
			t.Errorf("%s: leaves %v, rests %v", name, n.Draining("t", at), n.BackoffLeft("t", at))
		}
	}
}

func TestBackoffExpires(t *testing.T) {
	n := NewNotices()
	recordNotice(t, n, 0, Notice{Backoff: 3 * time.Second}, noticeTime, true)
	recordNotice(t, n, 0, Notice{Backoff: 3 * time.Second}, noticeTime.Add(time.Second), false)
	if got := n.BackoffLeft("t", noticeTime.Add(2*time.Second)); got != 2*time.Second {
		t.Errorf("it rests for %v more", got)
	}
	if got := n.BackoffLeft("t", noticeTime.Add(4*time.Second)); got != 0 {
		t.Errorf("it rests for %v more", got)
	}
	recordNotice(t, n, 0, Notice{Backoff: 1e6 * time.Second}, noticeTime.Add(5*time.Second), true)
	if got := n.BackoffLeft("t", noticeTime.Add(5*time.Second)); got != maxBackoff {
		t.Errorf("it rests for %v more", got)
	}
}

// TestLimitIsLiftedOnlyByLaterCall: answers overtake each other.
func TestLimitIsLiftedOnlyByLaterCall(t *testing.T) {
	named := Notice{Limit: Limit{Declared: true, PerSecond: 1.5}}
	none := Notice{Limit: Limit{Lifted: true}}
	for name, c := range map[string]struct {
		word  TimedNotice
		news  bool
		holds bool
	}{
		"the same again":                     {TimedNotice{named, noticeTime.Add(time.Second), noticeTime.Add(2 * time.Second)}, false, true},
		"another one":                        {TimedNotice{Notice{Limit: Limit{Declared: true, PerSecond: 2}}, noticeTime, noticeTime.Add(time.Second)}, true, true},
		"no word":                            {TimedNotice{Notice{}, noticeTime.Add(time.Second), noticeTime.Add(2 * time.Second)}, false, true},
		"none, to a call sent before":        {TimedNotice{none, noticeTime.Add(-time.Second), noticeTime.Add(time.Second)}, false, true},
		"none, to a call sent after":         {TimedNotice{none, noticeTime.Add(time.Second), noticeTime.Add(2 * time.Second)}, true, false},
		"that it leaves, to one sent before": {TimedNotice{Notice{Draining: true, Limit: none.Limit}, noticeTime.Add(-time.Second), noticeTime.Add(time.Second)}, true, true},
	} {
		n := NewNotices()
		n.Record("t", "a:1", 0, TimedNotice{none, noticeTime, noticeTime})
		if !n.Empty() {
			t.Fatal("a target that says nothing is remembered")
		}
		n.Record("t", "a:1", 0, TimedNotice{named, noticeTime.Add(-time.Second), noticeTime})
		if news := n.Record("t", "a:1", 0, c.word); news != c.news || (n.RateLimiter("t") != nil) != c.holds {
			t.Errorf("%s: news %v, limit %+v", name, news, n.RateLimiter("t"))
		}
	}
}

func TestLimitExpires(t *testing.T) {
	n := NewNotices()
	n.Record("t", "a:1", 0, TimedNotice{Notice{Limit: DeclaredLimit(1)}, noticeTime, noticeTime})
	n.RemoveExpired(noticeTime.Add(limitRetention - time.Second))
	if n.RateLimiter("t") == nil {
		t.Error("it is forgotten")
	}
	n.RemoveExpired(noticeTime.Add(limitRetention))
	if !n.Empty() {
		t.Error("it is held for ever")
	}
}
