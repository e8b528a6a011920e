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

// TargetRateLimit is the kind of the event in which half of the targets announce a rate limit: the
// calls per second that they accept from all daemons together. Its time is drawn from a random
// source of its own.
const TargetRateLimit Kind = "target-limits"

const (
	// rateLimitTime is how long the targets announce their limits. It is longer than
	// undisturbedBefore, in which daemons may still learn a limit, and one limitWindow together.
	rateLimitTime = 9 * time.Second
	// maxRateLimit bounds the announced limits, in calls per second.
	maxRateLimit = 4.0
)

// The bounds that the users of doorstack set on calls to a target with a rate limit: within
// limitWindow at most limitFactor times the limit, plus limitSlack calls.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// addRateLimitEvent adds one TargetRateLimit event at a random time to a plan, if the run is longer
// than the event.
func addRateLimitEvent(plan []Event, seed uint64, duration time.Duration) []Event {
	if duration <= rateLimitTime {
		return plan
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	plan = append(plan, Event{Start: randomDuration(rng, duration-rateLimitTime), Duration: rateLimitTime, Kind: TargetRateLimit, Selector: rng.IntN(1000)})
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// setRateLimits lets every second target announce a rate limit for the event's duration. Each of
// them has a different limit; the first one's is 0.
func (tb *testbed) setRateLimits(ctx context.Context, e Event) {
	half := tb.everySecondTarget(e.Selector)
	for i, b := range half {
		perSecond := maxRateLimit * float64(i) / float64(len(half))
		b.updateNotices(func() { b.rateLimit = &perSecond })
	}
	sleep(ctx, e.Duration)
	for _, b := range half {
		b.updateNotices(func() { b.rateLimit = nil })
	}
}

// writeRateLimit adds the target's rate limit to an answer and to the record of the execution; b.mu
// is held.
func (b *backend) writeRateLimit(w http.ResponseWriter, execution *Execution) {
	if b.rateLimit == nil {
		return
	}
	perSecond := *b.rateLimit
	w.Header().Set("Server-Limit", strconv.FormatFloat(perSecond, 'f', -1, 64))
	b.executions.update(func() { execution.RateLimit = &perSecond })
}

// checkRateLimits checks that, from undisturbedBefore after a target first announced a rate limit, no
// window has more calls to it than the bounds allow. A call counts only if the daemon that sent it
// had relayed an answer with the limit at least half a second (answerSlack) earlier.
func checkRateLimits(r *Record) []Violation {
	byTarget := map[string][]sentExecution{}
	for i := range r.Calls {
		c, executions := &r.Calls[i], r.Executions[r.Calls[i].ID]
		for n, execution := range executions {
			relayed := c.Status == http.StatusOK && c.Complete && n == len(executions)-1
			byTarget[execution.Target] = append(byTarget[execution.Target], sentExecution{execution, c.Daemon, relayed})
		}
	}
	var list []Violation
	for target, executions := range byTarget {
		slices.SortFunc(executions, func(a, b sentExecution) int { return a.Started.Compare(b.Started) })
		first := slices.IndexFunc(executions, func(execution sentExecution) bool { return execution.RateLimit != nil })
		if first < 0 {
			continue
		}
		counted, perSecond := r.executionsUnderLimit(executions, executions[first].Started.Add(undisturbedBefore))
		most, allowed := maxWithin(counted, limitWindow), int(limitFactor*perSecond*limitWindow.Seconds()+limitSlack)
		if most > allowed {
			list = append(list, Violation{"LIMIT", target, fmt.Sprintf("announced a limit of %v calls per second and got %d calls in %v, allowed %d", perSecond, most, limitWindow, allowed)})
		}
	}
	return list
}

// sentExecution is an execution with the daemon that sent the call.
type sentExecution struct {
	Execution
	daemon int
	// relayed means that the caller got the execution's answer.
	relayed bool
}

// executionsUnderLimit lists the start times, from a time on, of executions whose daemons knew the rate
// limit, and returns the last announced limit.
func (r *Record) executionsUnderLimit(executions []sentExecution, from time.Time) (counted []time.Time, perSecond float64) {
	for _, execution := range executions {
		if execution.RateLimit == nil {
			continue
		}
		perSecond = *execution.RateLimit
		if execution.Started.Before(from) {
			continue
		}
		limitKnown := slices.ContainsFunc(executions, func(notice sentExecution) bool {
			return notice.RateLimit != nil && notice.relayed && notice.daemon == execution.daemon &&
				notice.Ended.Add(answerSlack).Before(execution.Started) && r.undisturbed(execution.daemon, notice.Started, execution.Started, losesState)
		})
		if limitKnown {
			counted = append(counted, execution.Started)
		}
	}
	return counted, perSecond
}

// maxWithin returns the largest number of times within any window; the times are ascending.
func maxWithin(times []time.Time, window time.Duration) int {
	most, from := 0, 0
	for to := range times {
		for times[to].Sub(times[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
