package forward

import (
	"testing"
	"time"
)

var noticed = time.Unix(1_000_000, 0)

func take(t *testing.T, n *Notices, started int64, said Notice, at time.Time, news bool) {
	t.Helper()
	if got := n.Take("t", "a:1", started, Word{said, at, at}); got != news {
		t.Errorf("%+v at %v: news %v", said, at.Sub(noticed), got)
	}
}

func TestANoticeOfLeavingHolds(t *testing.T) {
	n := NewNotices()
	take(t, n, 0, Notice{}, noticed, false)
	take(t, n, 0, Notice{Leaving: true}, noticed, true)
	take(t, n, 0, Notice{Leaving: true}, noticed.Add(time.Minute), false)
	n.Trim(noticed.Add(2 * time.Minute))
	n.Seen("t", "a:1", 0)
	if !n.Leaves("t", noticed.Add(2*time.Minute)) || n.Leaves("u", noticed) {
		t.Error("it is forgotten, or held against another target")
	}
	n.Trim(noticed.Add(time.Hour))
	if n.Leaves("t", noticed.Add(time.Hour)) || len(n.byTarget) != 0 {
		t.Error("it is held for ever")
	}
}

// TestALaterProcessDoesNotLeave: that one before it does. A time of rest goes on to its end.
func TestALaterProcessDoesNotLeave(t *testing.T) {
	for name, c := range map[string]struct {
		before, after int64
		address       string
		holds         bool
	}{
		"the same process":            {5, 5, "a:1", true},
		"a later one":                 {5, 6, "a:1", false},
		"an older entry":              {5, 4, "a:1", true},
		"the start is told later":     {0, noticed.Add(-time.Hour).UnixMilli(), "a:1", true},
		"it started after it spoke":   {0, noticed.Add(time.Second).UnixMilli(), "a:1", false},
		"another address":             {5, 5, "a:2", false},
		"the start is not told again": {5, 0, "a:1", true},
	} {
		n := NewNotices()
		take(t, n, c.before, Notice{Leaving: true, Rest: time.Minute}, noticed, true)
		n.Seen("t", c.address, c.after)
		at := noticed.Add(2 * time.Second)
		if n.Leaves("t", at) != c.holds || n.Rests("t", at) != time.Minute-2*time.Second {
			t.Errorf("%s: leaves %v, rests %v", name, n.Leaves("t", at), n.Rests("t", at))
		}
	}
}

func TestATimeOfRestEnds(t *testing.T) {
	n := NewNotices()
	take(t, n, 0, Notice{Rest: 3 * time.Second}, noticed, true)
	take(t, n, 0, Notice{Rest: 3 * time.Second}, noticed.Add(time.Second), false)
	if got := n.Rests("t", noticed.Add(2*time.Second)); got != 2*time.Second {
		t.Errorf("it rests for %v more", got)
	}
	if got := n.Rests("t", noticed.Add(4*time.Second)); got != 0 {
		t.Errorf("it rests for %v more", got)
	}
	take(t, n, 0, Notice{Rest: 1e6 * time.Second}, noticed.Add(5*time.Second), true)
	if got := n.Rests("t", noticed.Add(5*time.Second)); got != mostRest {
		t.Errorf("it rests for %v more", got)
	}
}

// TestALimitHoldsUntilALaterCallShowsThatItIsLifted: answers overtake each other.
func TestALimitHoldsUntilALaterCallShowsThatItIsLifted(t *testing.T) {
	named := Notice{Limit: Limit{Named: true, PerSecond: 1.5}}
	none := Notice{Limit: Limit{Lifted: true}}
	for name, c := range map[string]struct {
		word  Word
		news  bool
		holds bool
	}{
		"the same again":                     {Word{named, noticed.Add(time.Second), noticed.Add(2 * time.Second)}, false, true},
		"another one":                        {Word{Notice{Limit: Limit{Named: true, PerSecond: 2}}, noticed, noticed.Add(time.Second)}, true, true},
		"no word":                            {Word{Notice{}, noticed.Add(time.Second), noticed.Add(2 * time.Second)}, false, true},
		"none, to a call sent before":        {Word{none, noticed.Add(-time.Second), noticed.Add(time.Second)}, false, true},
		"none, to a call sent after":         {Word{none, noticed.Add(time.Second), noticed.Add(2 * time.Second)}, true, false},
		"that it leaves, to one sent before": {Word{Notice{Leaving: true, Limit: none.Limit}, noticed.Add(-time.Second), noticed.Add(time.Second)}, true, true},
	} {
		n := NewNotices()
		n.Take("t", "a:1", 0, Word{none, noticed, noticed})
		if !n.Empty() {
			t.Fatal("a target that says nothing is remembered")
		}
		n.Take("t", "a:1", 0, Word{named, noticed.Add(-time.Second), noticed})
		if news := n.Take("t", "a:1", 0, c.word); news != c.news || (n.RateLimiter("t") != nil) != c.holds {
			t.Errorf("%s: news %v, limit %+v", name, news, n.RateLimiter("t"))
		}
	}
}

func TestALimitIsForgottenLongAfterItWasNamed(t *testing.T) {
	n := NewNotices()
	n.Take("t", "a:1", 0, Word{Notice{Limit: NamedLimit(1)}, noticed, noticed})
	n.Trim(noticed.Add(keepLimit - time.Second))
	if n.RateLimiter("t") == nil {
		t.Error("it is forgotten")
	}
	n.Trim(noticed.Add(keepLimit))
	if !n.Empty() {
		t.Error("it is held for ever")
	}
}
