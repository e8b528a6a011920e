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
	Allowed time.Duration
	// Left tells that the caller went away before the answer, at Done.
	Left   bool
	Status int
	Body   string
	// Whole tells that the answer came to an orderly end.
	Whole bool
	// Again tells that a refusal named the time to come back.
	Again bool
	// Asked is the body of the request.
	Asked string
}

// Run is a call as a target saw it.
type Run struct {
	ID, Target, Service, Account, Key string
	At, Ended                         time.Time
	// TurnedAway tells that the target said that it does not run the call.
	TurnedAway bool
	// After is the event after which the stream was to go on.
	After string
	// Leaves and Rest are what the target said of itself in its answer.
	Leaves bool
	Rest   time.Duration
	// Limit is the limit that the target named in its answer, if it did.
	Limit *float64
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

const everywhere = -1

// Published is a configuration in force from a moment on.
type Published struct {
	At time.Time
	// First and Last are the numbers of the passing routes that it has.
	First, Last int
}

// Record is what a run has seen.
type Record struct {
	Calls        []Call
	Runs         map[string][]Run
	Disturbances []Disturbance
	Published    []Published
	// Lives are the starts of each daemon's processes.
	Lives map[int][]time.Time
	// Held are reservations that were never released, by id.
	Held []string
}

// Violation is a promise that was broken.
type Violation struct{ Rule, ID, What string }

// String is a line about the violation.
func (v Violation) String() string { return v.Rule + " " + v.ID + ": " + v.What }

// The bounds that are judged by, the users' where they have one.
const (
	touch       = 3 * time.Second        // calm before a rule with a time holds
	applyWithin = 2 * time.Second        // a new configuration
	backSlack   = 250 * time.Millisecond // handling by an older one after a newer one was seen
	answerSlack = 500 * time.Millisecond // an answer after the caller's time
	// busy allows for a machine that runs all processes, callers and targets at once.
	busy = 500 * time.Millisecond
)

// Judge lists the promises that a run broke.
func Judge(r *Record) []Violation {
	var list []Violation
	for i := range r.Calls {
		c := &r.Calls[i]
		for _, check := range []func(*Record, *Call) string{onceOnly, honest, whole, owner, attempts, answered, inTime, routed, stopped} {
			if found := check(r, c); found != "" {
				rule, what, _ := strings.Cut(found, ": ")
				list = append(list, Violation{rule, c.ID, what})
			}
		}
	}
	list = slices.Concat(list, neverBack(r), wordsKept(r), crashesStop(r), limitsKept(r))
	for _, id := range r.Held {
		list = append(list, Violation{"LEAK", id, "memory set aside was not released"})
	}
	return list
}

// ran lists the runs of a call that targets did not turn away.
func (r *Record) ran(id string) []Run {
	return slices.DeleteFunc(slices.Clone(r.Runs[id]), func(run Run) bool { return run.TurnedAway })
}

// Each check returns what is wrong with a call, the rule's name first, or nothing.

// onceOnly: a call that may not be repeated runs once at most.
func onceOnly(r *Record, c *Call) string {
	if runs := r.ran(c.ID); !c.Path.Repeatable && len(runs) > 1 {
		return fmt.Sprintf("TWICE: %d runs", len(runs))
	}
	return ""
}

// honest: a refusal says truly that nothing ran, and when to come back.
func honest(r *Record, c *Call) string {
	if c.Status != 429 && c.Status != 503 {
		return ""
	}
	if runs := r.ran(c.ID); len(runs) > 0 && !c.Path.Repeatable {
		return fmt.Sprintf("REFUSED: status %d, and it ran at %s", c.Status, runs[0].Target)
	}
	if !c.Again {
		return fmt.Sprintf("REFUSED: status %d without the time to come back", c.Status)
	}
	return ""
}

// whole: a success is the whole answer to this call.
func whole(_ *Record, c *Call) string {
	if c.Status != 200 || !c.Whole {
		return ""
	}
	if want := c.Path.Answer(c.ID); c.Body != want {
		return fmt.Sprintf("MIXED: an answer of %d bytes that is not the call's own, of %d", len(c.Body), len(want))
	}
	return ""
}

// owner: a call runs at its route's service, for the key's account, without the key.
func owner(r *Record, c *Call) string {
	for _, run := range r.Runs[c.ID] {
		switch {
		case run.Service != c.Path.Service:
			return "ROUTE: it ran at a target of " + run.Service
		case run.Account != account || run.Key != "":
			return fmt.Sprintf("UNASKED: it ran for account %q with key %q", run.Account, run.Key)
		}
	}
	return ""
}

// attempts: no more targets work on a call than its route allows.
func attempts(r *Record, c *Call) string {
	if runs := r.ran(c.ID); c.Path.Repeatable && len(runs) > c.Path.Attempts {
		return fmt.Sprintf("BUDGET: %d runs, %d allowed", len(runs), c.Path.Attempts)
	}
	return ""
}

// calm tells whether nothing of some kinds was wrong at a daemon in a time.
func (r *Record) calm(daemon int, from, to time.Time, matters func(Kind) bool) bool {
	for _, d := range r.Disturbances {
		if matters(d.Kind) && (d.Daemon == everywhere || d.Daemon == daemon) && d.From.Before(to) && d.To.After(from) {
			return false
		}
	}
	return true
}

func fault(k Kind) bool { return !k.Planned() }

// answered: around planned work alone, a call that reached a target is answered whole.
func answered(r *Record, c *Call) string {
	if c.Left || c.Status != 0 && c.Whole || len(r.ran(c.ID)) == 0 {
		return ""
	}
	if !r.calm(c.Daemon, c.Sent.Add(-touch), c.Done, fault) || c.Done.Sub(c.Sent) > c.Allowed*7/10 {
		return ""
	}
	return fmt.Sprintf("LOST: passed on, and the connection ended after %v with status %d", c.Done.Sub(c.Sent).Round(time.Millisecond), c.Status)
}

// inTime: a caller has a final answer soon after its time at the latest.
func inTime(r *Record, c *Call) string {
	if late := c.Done.Sub(c.Sent) - c.Allowed; late > answerSlack+busy && r.calm(c.Daemon, c.Sent.Add(-touch), c.Done, fault) {
		return fmt.Sprintf("CONFIG: no answer %v after the call's time", late.Round(time.Millisecond))
	}
	return ""
}

// stopped: nothing is begun for a caller that has left.
func stopped(r *Record, c *Call) string {
	if !c.Left || !r.calm(c.Daemon, c.Sent.Add(-touch), c.Done.Add(answerSlack), fault) {
		return ""
	}
	for _, run := range r.Runs[c.ID] {
		if after := run.At.Sub(c.Done); after > answerSlack+busy {
			return fmt.Sprintf("GONE: it began %v after its caller had left", after.Round(time.Millisecond))
		}
	}
	return ""
}

// routed: what every configuration that may be in force allows is not denied, and what
// none allows does not run.
func routed(r *Record, c *Call) string {
	if c.Route == 0 || !r.calm(c.Daemon, c.Sent.Add(-touch-applyWithin), c.Done, func(k Kind) bool { return fault(k) || k == Term }) {
		return ""
	}
	all, none := true, true
	for i, p := range r.Published {
		superseded := i+1 < len(r.Published) && r.Published[i+1].At.Add(applyWithin+busy).Before(c.Sent)
		if superseded || p.At.After(c.Done) {
			continue
		}
		has := p.First <= c.Route && c.Route <= p.Last
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

// neverBack: a daemon that has served a route of a configuration does not deny it later
// in the same life, unless a newer one has taken it away.
func neverBack(r *Record) []Violation {
	type life struct{ daemon, number int }
	served := map[life]map[int]time.Time{}
	calls := slices.Clone(r.Calls)
	slices.SortFunc(calls, func(a, b Call) int { return a.Sent.Compare(b.Sent) })
	var list []Violation
	for i := range calls {
		c := &calls[i]
		number, same := r.lifeOf(c)
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
		case c.Status == 404 && before && c.Sent.After(at.Add(backSlack)) && !r.takenAway(c.Route, c.Done):
			list = append(list, Violation{"CONFIG", c.ID, fmt.Sprintf("route %d was served by the same process and is denied", c.Route)})
		}
	}
	return list
}

// lifeOf is the number of the process that a call met, if it was one and the same.
func (r *Record) lifeOf(c *Call) (number int, same bool) {
	at := func(t time.Time) int {
		n := 0
		for _, start := range r.Lives[c.Daemon] {
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
func (r *Record) takenAway(route int, until time.Time) bool {
	for _, p := range r.Published {
		if p.At.Before(until) && route < p.First {
			return true
		}
	}
	return false
}
