package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// TargetLimits is drawn beside the plan as well: half of the targets name how many calls a second they
// take from all daemons together.
const TargetLimits Kind = "target-limits"

const (
	// limitsFor is how long they name it: longer than the judge leaves the daemons to learn it and
	// one of its windows.
	limitsFor = 9 * time.Second
	// mostPerSecond bounds what they name.
	mostPerSecond = 4.0
)

// The bounds that the users' rule sets: in limitWindow at most limitShare of the limit, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitSlack  = 5
)

// withLimits adds one such event to a plan, beside planned work and faults.
func withLimits(plan []Event, seed uint64, length time.Duration) []Event {
	if length <= limitsFor {
		return plan
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	plan = append(plan, Event{At: draw(rng, length-limitsFor), For: limitsFor, Kind: TargetLimits, Which: rng.IntN(1000)})
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}

// limitTargets lets every second target name a limit, each another one; the first takes nothing.
func (w *world) limitTargets(ctx context.Context, e Event) {
	half := w.half(e.Which)
	for i, b := range half {
		perSecond := mostPerSecond * float64(i) / float64(len(half))
		b.say(func() { b.limit = &perSecond })
	}
	pause(ctx, e.For)
	for _, b := range half {
		b.say(func() { b.limit = nil })
	}
}

// speakLimit adds the limit that the target names to an answer; the lock of the target is held.
func (b *backend) speakLimit(w http.ResponseWriter, run *Run) {
	if b.limit == nil {
		return
	}
	perSecond := *b.limit
	w.Header().Set("Server-Limit", strconv.FormatFloat(perSecond, 'f', -1, 64))
	b.seen.note(func() { run.Limit = &perSecond })
}

// limitsKept: from touch after a target first named its limit it gets no more than that in any window,
// by daemons that had passed it on half a second before.
func limitsKept(r *Record) []Violation {
	byTarget := map[string][]daemonRun{}
	for i := range r.Calls {
		c, runs := &r.Calls[i], r.Runs[r.Calls[i].ID]
		for n, run := range runs {
			passedOn := c.Status == http.StatusOK && c.Whole && n == len(runs)-1
			byTarget[run.Target] = append(byTarget[run.Target], daemonRun{run, c.Daemon, passedOn})
		}
	}
	var list []Violation
	for target, runs := range byTarget {
		slices.SortFunc(runs, func(a, b daemonRun) int { return a.At.Compare(b.At) })
		first := slices.IndexFunc(runs, func(run daemonRun) bool { return run.Limit != nil })
		if first < 0 {
			continue
		}
		counted, perSecond := r.underLimit(runs, runs[first].At.Add(touch))
		most, allowed := mostIn(counted), int(limitShare*perSecond*limitWindow.Seconds()+limitSlack)
		if most > allowed {
			list = append(list, Violation{"LIMIT", target, fmt.Sprintf("named %v a second and got %d calls in %v, allowed %d", perSecond, most, limitWindow, allowed)})
		}
	}
	return list
}

// daemonRun is a call that a daemon sent.
type daemonRun struct {
	Run
	daemon int
	// passedOn is true where the caller got the answer.
	passedOn bool
}

// underLimit lists when calls came from a moment on that their daemons had been told the limit of, and the
// limit.
func (r *Record) underLimit(runs []daemonRun, from time.Time) (counted []time.Time, perSecond float64) {
	for _, run := range runs {
		if run.Limit == nil {
			continue
		}
		perSecond = *run.Limit
		if run.At.Before(from) {
			continue
		}
		told := slices.ContainsFunc(runs, func(said daemonRun) bool {
			return said.Limit != nil && said.passedOn && said.daemon == run.daemon &&
				said.Ended.Add(answerSlack).Before(run.At) && r.calm(run.daemon, said.At, run.At, forgets)
		})
		if told {
			counted = append(counted, run.At)
		}
	}
	return counted, perSecond
}

// mostIn is the most moments in a window.
func mostIn(moments []time.Time) int {
	most, from := 0, 0
	for to := range moments {
		for moments[to].Sub(moments[from]) > limitWindow {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
