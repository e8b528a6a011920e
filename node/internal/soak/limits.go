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

// TargetRateLimit is drawn beside the plan as well: half of the targets name how many calls a second they
// take from all daemons together.
const TargetRateLimit Kind = "target-limits"

const (
	// rateLimitTime is how long they name it: longer than the judge leaves the daemons to learn it and
	// one of its windows.
	rateLimitTime = 9 * time.Second
	// maxRateLimit bounds what they name.
	maxRateLimit = 4.0
)

// The bounds that the users' rule sets: in limitWindow at most limitFactor of the limit, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// addRateLimitEvent adds one such event to a plan, beside planned work and faults.
func addRateLimitEvent(plan []Event, seed uint64, length time.Duration) []Event {
	if length <= rateLimitTime {
		return plan
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	plan = append(plan, Event{Start: randomDuration(rng, length-rateLimitTime), Duration: rateLimitTime, Kind: TargetRateLimit, Selector: rng.IntN(1000)})
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// limitTargets lets every second target name a limit, each another one; the first takes nothing.
func (w *testbed) setRateLimits(ctx context.Context, e Event) {
	half := w.everySecondTarget(e.Selector)
	for i, b := range half {
		perSecond := maxRateLimit * float64(i) / float64(len(half))
		b.updateNotices(func() { b.rateLimit = &perSecond })
	}
	sleep(ctx, e.Duration)
	for _, b := range half {
		b.updateNotices(func() { b.rateLimit = nil })
	}
}

// speakLimit adds the limit that the target names to an answer; the lock of the target is held.
func (b *backend) writeRateLimit(w http.ResponseWriter, run *Execution) {
	if b.rateLimit == nil {
		return
	}
	perSecond := *b.rateLimit
	w.Header().Set("Server-Limit", strconv.FormatFloat(perSecond, 'f', -1, 64))
	b.executions.update(func() { run.RateLimit = &perSecond })
}

// checkRateLimits: from touch after a target first named its limit it gets no more than that in any window,
// by daemons that had passed it on half a second before.
func checkRateLimits(r *Record) []Violation {
	byTarget := map[string][]sentExecution{}
	for i := range r.Calls {
		c, runs := &r.Calls[i], r.Executions[r.Calls[i].ID]
		for n, run := range runs {
			passedOn := c.Status == http.StatusOK && c.Complete && n == len(runs)-1
			byTarget[run.Target] = append(byTarget[run.Target], sentExecution{run, c.Daemon, passedOn})
		}
	}
	var list []Violation
	for target, runs := range byTarget {
		slices.SortFunc(runs, func(a, b sentExecution) int { return a.Started.Compare(b.Started) })
		first := slices.IndexFunc(runs, func(run sentExecution) bool { return run.RateLimit != nil })
		if first < 0 {
			continue
		}
		counted, perSecond := r.executionsUnderLimit(runs, runs[first].Started.Add(undisturbedBefore))
		most, allowed := maxInWindow(counted), int(limitFactor*perSecond*limitWindow.Seconds()+limitSlack)
		if most > allowed {
			list = append(list, Violation{"LIMIT", target, fmt.Sprintf("named %v a second and got %d calls in %v, allowed %d", perSecond, most, limitWindow, allowed)})
		}
	}
	return list
}

// sentExecution is a call that a daemon sent.
type sentExecution struct {
	Execution
	daemon int
	// passedOn is true where the caller got the answer.
	relayed bool
}

// underLimit lists when calls came from a moment on that their daemons had been told the limit of, and the
// limit.
func (r *Record) executionsUnderLimit(runs []sentExecution, from time.Time) (counted []time.Time, perSecond float64) {
	for _, run := range runs {
		if run.RateLimit == nil {
			continue
		}
		perSecond = *run.RateLimit
		if run.Started.Before(from) {
			continue
		}
		told := slices.ContainsFunc(runs, func(said sentExecution) bool {
			return said.RateLimit != nil && said.relayed && said.daemon == run.daemon &&
				said.Ended.Add(answerSlack).Before(run.Started) && r.undisturbed(run.daemon, said.Started, run.Started, losesState)
		})
		if told {
			counted = append(counted, run.Started)
		}
	}
	return counted, perSecond
}

// maxInWindow is the most moments in a window.
func maxInWindow(moments []time.Time) int {
	most, from := 0, 0
	for to := range moments {
		for moments[to].Sub(moments[from]) > limitWindow {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
