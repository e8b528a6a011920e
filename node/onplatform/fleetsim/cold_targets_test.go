package fleetsim

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/hostlist"
)

// The platform's rule for cold targets: within any coldWindow, a cold target may get at most coldFactor times
// the calls that it bears, plus coldSlack, from all daemons together.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
)

// maxArrivals returns the largest number of calls that reached the target in a window within a span of time.
func (l *limitedTarget) maxArrivals(window time.Duration, from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counted []arrival
	for _, a := range l.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			counted = append(counted, a)
		}
	}
	most := 0
	for first, last := 0, 0; last < len(counted); last++ {
		for counted[last].at.Sub(counted[first].at) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// turnCold delivers entries by which all targets are cold for a time to all daemons, to the last ones spread
// later than to the first.
func (f *limitFleet) turnCold(coldFor, spread time.Duration) {
	f.entryRevision++
	update := hostlist.Update{AsOf: f.entryRevision}
	for i := range len(f.targets) {
		h := f.targetEntry(i, f.entryRevision)
		h.ColdFor = coldFor
		update.Hosts = append(update.Hosts, h)
	}
	for i, d := range f.daemons {
		f.calls.Go(func() {
			passTime(spread * time.Duration(i) / time.Duration(len(f.daemons)))
			d.board.MergeUpdate(update, time.Now())
		})
	}
}

// TestColdTargetsBearTheWholeFleet checks that cold targets get no more calls than they bear from fleets of
// several sizes under far more load, while the daemons learn of it one after the other and lose one
// coordinator after the other, and that the targets are used meanwhile.
func TestColdTargetsBearTheWholeFleet(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		strong, weak, targets int
		perSecond             float64
		pause                 time.Duration // between two calls at a daemon
	}{
		{6, 0, 3, 17, 20 * time.Millisecond},
		{4, 20, 3, 2, 80 * time.Millisecond},
		{4, 20, 3, 17, 80 * time.Millisecond},
		{15, 105, 4, 17, 500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d hosts, %v a second", c.strong+c.weak, c.perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &limitFleet{simFleet: startSimFleet(t, c.strong, c.weak, 0), targets: map[string]*limitedTarget{}, shutdowns: map[string]func(){}}
				defer f.close()
				f.config = []byte(strings.Replace(string(configText(1, 10)), `"name":"svc",`, fmt.Sprintf(`"name":"svc","cold_start_s":4,"cold_per_s":%v,`, c.perSecond), 1))
				for i := range c.targets {
					f.targets[fmt.Sprint("t", i)] = &limitedTarget{perSecond: -1, firstRelayed: map[string]time.Time{}}
				}
				ctx, cancel := context.WithCancel(t.Context())
				end := f.startLoad(ctx, c.targets, c.pause)
				passTime(8 * time.Second)
				const spread, cold = 500 * time.Millisecond, 8 * time.Second
				f.turnCold(cold, spread)
				passTime(spread + coldWindow/2)
				from := time.Now()
				passTime(2 * time.Second)
				f.stopCoordinator()
				passTime(2 * time.Second)
				f.stopCoordinator()
				passTime(time.Second)
				to := time.Now()
				cancel()
				end()
				allowed := int(coldFactor*c.perSecond + coldSlack)
				for id, target := range f.targets {
					most, all := target.maxArrivals(coldWindow, from, to), target.maxArrivals(to.Sub(from), from, to)
					if most > allowed {
						t.Errorf("%s got %d calls in %v while cold, want %d at most", id, most, coldWindow, allowed)
					}
					if least := int(c.perSecond * to.Sub(from).Seconds() / 4); all < least {
						t.Errorf("%s got %d calls in %v while cold, want %d at least", id, all, to.Sub(from), least)
					}
					t.Logf("%s got %d calls in %v while cold, %d in a window, allowed %d", id, all, to.Sub(from), most, allowed)
				}
			})
		})
	}
}
