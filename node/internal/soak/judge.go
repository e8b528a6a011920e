package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Call is a caller's request and what came of it.
type Call struct {
	ID     string
	Daemon int
	Path   *Path
	// Route is the number of the configuration's passing route that is asked for, or 0.
	Route int
	Sent  time.Time
	Done  time.Time
	// Allowed is how long the caller waits.
	Timeout time.Duration
	// Left tells that the caller went away before the answer, at Done.
	Disconnected bool
	Status       int
	Body         string
	// Whole tells that the answer came to an orderly end.
	Complete bool
	// Again tells that a refusal named the time to come back.
	HasRetryAfter bool
	// Asked is the body of the request.
	RequestBody string
}

// Execution is a call as a target saw it.
type Execution struct {
	ID, Target, Service, Account, APIKey string
	Started, Ended                       time.Time
	// TurnedAway tells that the target said that it does not run the call.
	Rejected bool
	// After is the event after which the stream was to go on.
	LastEvent string
	// Leaves and Rest are what the target said of itself in its answer.
	Draining bool
	Backoff  time.Duration
	// Limit is the limit that the target named in its answer, if it did.
	RateLimit *float64
	// Crashed means that the target's process ended under the call.
	Crashed bool
}

// Disturbance is a time in which something was wrong.
type Disturbance struct {
	From, To time.Time
	Kind     Kind
	// Daemon is the one that was disturbed; everywhere means all of them.
	Daemon int
	// Target is the target whose link or process was disturbed, if it was one alone.
	Target string
}

const allDaemons = -1

// PublishedConfig is a configuration in force from a moment on.
type PublishedConfig struct {
	At time.Time
	// First and Last are the numbers of the passing routes that it has.
	FirstRoute, LastRoute int
}

// Record is what a run has seen.
type Record struct {
	Calls        []Call
	Executions   map[string][]Execution
	Disturbances []Disturbance
	Published    []PublishedConfig
	// Lives are the starts of each daemon's processes.
	ProcessStarts map[int][]time.Time
	// Held are reservations that were never released, by id.
	UnreleasedReservations []string
}

// Violation is a promise that was broken.
type Violation struct{ Rule, Subject, Description string }

// String is a line about the violation.
func (v Violation) String() string { return v.Rule + " " + v.Subject + ": " + v.Description }

// The bounds that are judged by, the users' where they have one.
const (
	undisturbedBefore  = 3 * time.Second        // calm before a rule with a time holds
	configApplyTime    = 2 * time.Second        // a new configuration
	configReorderSlack = 250 * time.Millisecond // handling by an older one after a newer one was seen
	answerSlack        = 500 * time.Millisecond // an answer after the caller's time
	// busy allows for a machine that runs all processes, callers and targets at once.
	loadSlack = 500 * time.Millisecond
)

// Judge lists the promises that a run broke.
func Judge(r *Record) []Violation {
	var list []Violation
	for i := range r.Calls {
		c := &r.Calls[i]
		for _, check := range []func(*Record, *Call) string{checkSingleExecution, checkRefusal, checkAnswer, checkServiceAndAccount, checkAttempts, checkAnswered, checkTimeout, checkRoute, checkDisconnected} {
			if found := check(r, c); found != "" {
				rule, what, _ := strings.Cut(found, ": ")
				list = append(list, Violation{rule, c.ID, what})
			}
		}
	}
	list = slices.Concat(list, checkConfigOrder(r), checkNotices(r), checkCrashingCalls(r), checkRateLimits(r))
	for _, id := range r.UnreleasedReservations {
		list = append(list, Violation{"LEAK", id, "memory set aside was not released"})
	}
	return list
}

// ran lists the runs of a call that targets did not turn away.
func (r *Record) executionsOf(id string) []Execution {
	return slices.DeleteFunc(slices.Clone(r.Executions[id]), func(run Execution) bool { return run.Rejected })
}

// Each check returns what is wrong with a call, the rule's name first, or nothing.

// checkSingleExecution: a call that may not be repeated runs once at most.
func checkSingleExecution(r *Record, c *Call) string {
	if runs := r.executionsOf(c.ID); !c.Path.Repeatable && len(runs) > 1 {
		return fmt.Sprintf("TWICE: %d runs", len(runs))
	}
	return ""
}

// honest: a refusal says truly that nothing ran, and when to come back.
func checkRefusal(r *Record, c *Call) string {
	if c.Status != 429 && c.Status != 503 {
		return ""
	}
	if runs := r.executionsOf(c.ID); len(runs) > 0 && !c.Path.Repeatable {
		return fmt.Sprintf("REFUSED: status %d, and it ran at %s", c.Status, runs[0].Target)
	}
	if !c.HasRetryAfter {
		return fmt.Sprintf("REFUSED: status %d without the time to come back", c.Status)
	}
	return ""
}

// whole: a success is the whole answer to this call.
func checkAnswer(_ *Record, c *Call) string {
	if c.Status != 200 || !c.Complete {
		return ""
	}
	if want := c.Path.Answer(c.ID); c.Body != want {
		return fmt.Sprintf("MIXED: an answer of %d bytes that is not the call's own, of %d", len(c.Body), len(want))
	}
	return ""
}

// owner: a call runs at its route's service, for the key's account, without the key.
func checkServiceAndAccount(r *Record, c *Call) string {
	for _, run := range r.Executions[c.ID] {
		switch {
		case run.Service != c.Path.Service:
			return "ROUTE: it ran at a target of " + run.Service
		case run.Account != accountName || run.APIKey != "":
			return fmt.Sprintf("UNASKED: it ran for account %q with key %q", run.Account, run.APIKey)
		}
	}
	return ""
}

// attempts: no more targets work on a call than its route allows.
func checkAttempts(r *Record, c *Call) string {
	if runs := r.executionsOf(c.ID); c.Path.Repeatable && len(runs) > c.Path.MaxAttempts {
		return fmt.Sprintf("BUDGET: %d runs, %d allowed", len(runs), c.Path.MaxAttempts)
	}
	return ""
}

// calm tells whether nothing of some kinds was wrong at a daemon in a time.
func (r *Record) undisturbed(daemon int, from, to time.Time, matters func(Kind) bool) bool {
	for _, d := range r.Disturbances {
		if matters(d.Kind) && (d.Daemon == allDaemons || d.Daemon == daemon) && d.From.Before(to) && d.To.After(from) {
			return false
		}
	}
	return true
}

func isFault(k Kind) bool { return !k.Planned() }

// answered: around planned work alone, a call that reached a target is answered whole.
func checkAnswered(r *Record, c *Call) string {
	if c.Disconnected || c.Status != 0 && c.Complete || len(r.executionsOf(c.ID)) == 0 {
		return ""
	}
	if !r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, isFault) || c.Done.Sub(c.Sent) > c.Timeout*7/10 {
		return ""
	}
	return fmt.Sprintf("LOST: passed on, and the connection ended after %v with status %d", c.Done.Sub(c.Sent).Round(time.Millisecond), c.Status)
}

// checkTimeout: a caller has a final answer soon after its time at the latest.
func checkTimeout(r *Record, c *Call) string {
	if late := c.Done.Sub(c.Sent) - c.Timeout; late > answerSlack+loadSlack && r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, isFault) {
		return fmt.Sprintf("CONFIG: no answer %v after the call's time", late.Round(time.Millisecond))
	}
	return ""
}

// stopped: nothing is begun for a caller that has left.
func checkDisconnected(r *Record, c *Call) string {
	if !c.Disconnected || !r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done.Add(answerSlack), isFault) {
		return ""
	}
	for _, run := range r.Executions[c.ID] {
		if after := run.Started.Sub(c.Done); after > answerSlack+loadSlack {
			return fmt.Sprintf("GONE: it began %v after its caller had left", after.Round(time.Millisecond))
		}
	}
	return ""
}

// routed: what every configuration that may be in force allows is not denied, and what
// none allows does not run.
func checkRoute(r *Record, c *Call) string {
	if c.Route == 0 || !r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore-configApplyTime), c.Done, func(k Kind) bool { return isFault(k) || k == Term }) {
		return ""
	}
	all, none := true, true
	for i, p := range r.Published {
		superseded := i+1 < len(r.Published) && r.Published[i+1].At.Add(configApplyTime+loadSlack).Before(c.Sent)
		if superseded || p.At.After(c.Done) {
			continue
		}
		has := p.FirstRoute <= c.Route && c.Route <= p.LastRoute
		all, none = all && has, none && !has
	}
	switch {
	case all && c.Status == 404:
		return fmt.Sprintf("DENIED: route %d is in force", c.Route)
	case none && c.Status == 200:
		return fmt.Sprintf("CONFIG: route %d is not in force", c.Route)
	}
	return ""
}

// checkConfigOrder: a daemon that has served a route of a configuration does not deny it later
// in the same life, unless a newer one has taken it away.
func checkConfigOrder(r *Record) []Violation {
	type life struct{ daemon, number int }
	served := map[life]map[int]time.Time{}
	calls := slices.Clone(r.Calls)
	slices.SortFunc(calls, func(a, b Call) int { return a.Sent.Compare(b.Sent) })
	var list []Violation
	for i := range calls {
		c := &calls[i]
		number, same := r.processOf(c)
		if c.Route == 0 || !same {
			continue
		}
		l := life{c.Daemon, number}
		if served[l] == nil {
			served[l] = map[int]time.Time{}
		}
		at, before := served[l][c.Route]
		switch {
		case c.Status == 200 && (!before || c.Done.Before(at)):
			served[l][c.Route] = c.Done
		case c.Status == 404 && before && c.Sent.After(at.Add(configReorderSlack)) && !r.routeRemoved(c.Route, c.Done):
			list = append(list, Violation{"CONFIG", c.ID, fmt.Sprintf("route %d was served by the same process and is denied", c.Route)})
		}
	}
	return list
}

// lifeOf is the number of the process that a call met, if it was one and the same.
func (r *Record) processOf(c *Call) (number int, same bool) {
	at := func(t time.Time) int {
		n := 0
		for _, start := range r.ProcessStarts[c.Daemon] {
			if !start.After(t) {
				n++
			}
		}
		return n
	}
	return at(c.Sent), at(c.Sent) == at(c.Done)
}

// takenAway tells whether any configuration until a moment lacks the route, after one
// that had it.
func (r *Record) routeRemoved(route int, until time.Time) bool {
	for _, p := range r.Published {
		if p.At.Before(until) && route < p.FirstRoute {
			return true
		}
	}
	return false
}
