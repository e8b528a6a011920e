package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Call is a caller's request and its outcome.
type Call struct {
	ID     string
	Daemon int
	Path   *Path
	// TemporaryRoute is the number of the temporary route that is called, or 0 for the path's own
	// route.
	TemporaryRoute int
	Sent           time.Time
	Done           time.Time
	// Timeout is the time for the call that the request declares, from Sent.
	Timeout time.Duration
	// Disconnected means that the caller disconnected before the answer was complete, at Done.
	Disconnected bool
	// HalfClosed means that the caller closed its sending side after the request.
	HalfClosed bool
	Status     int
	Body       string
	// Complete means that the answer was not truncated.
	Complete bool
	// URI is the path and query that the caller sent.
	URI string
	// Unsigned means that the answer had no target's signature.
	Unsigned bool
	// HasRetryAfter means that the answer had a Retry-After header.
	HasRetryAfter bool
	// RepeatedAt is when the caller, whose connection had ended without an answer, sent the request again, under its id, to the same
	// daemon or another one; zero for other calls. The answer is that to the repeat.
	RepeatedAt time.Time
	// RequestBody is the body of the request; Body is that of the answer.
	RequestBody string
	// Account is the account that calls; empty for accountName.
	Account string
	// PromptParts are the parts of the prompt that the request declares; BadPart is the one that crashes engines, if any.
	PromptParts, BadPart string
}

// account returns the account that calls.
func (c *Call) account() string {
	if c.Account == "" {
		return accountName
	}
	return c.Account
}

// Execution is a call that reached a target, as the target recorded it.
type Execution struct {
	ID, Target, Service, Account, APIKey string
	Started, Ended                       time.Time
	// Rejected means that the target answered that it did not execute the call.
	Rejected bool
	// URI is the path and query as the target got them.
	URI string
	// LastEvent is the event after which the stream was to be resumed; empty for a whole stream.
	LastEvent string
	// Draining and Backoff are the notices in the target's answer: that it drains, and the time
	// for which the daemon is to back off.
	Draining bool
	Backoff  time.Duration
	// RateLimit is the rate limit in the target's answer, in calls per second; nil for none.
	RateLimit *float64
	// Crashed means that the target's process ended during the call.
	Crashed bool
}

// Disturbance is the time during which an event may have affected daemons.
type Disturbance struct {
	From, To time.Time
	Kind     Kind
	// Daemon is the index of the affected daemon, or allDaemons.
	Daemon int
	// Target is the ID of the target whose link or process was affected, if it was a single one.
	Target string
}

// allDaemons is the Daemon of a disturbance that affects all daemons.
const allDaemons = -1

// PublishedConfig is a configuration that was published at a time.
type PublishedConfig struct {
	At time.Time
	// FirstRoute and LastRoute are the first and last numbers of its temporary routes.
	FirstRoute, LastRoute int
}

// Record is what a run recorded, the input of Judge.
type Record struct {
	Calls []Call
	// Duplicates are the requests of playDuplicates, which are no calls.
	Duplicates []Duplicate
	// Executions are the executions of each call, by its ID.
	Executions   map[string][]Execution
	Disturbances []Disturbance
	Published    []PublishedConfig
	// Evacuated are the times in which evacuatedCentre was evacuated, and TargetCentres the data
	// centres of the targets, by their IDs.
	Evacuated     []EvacuatedTime
	TargetCentres map[string]string
	// Cold are the times in which targets were cold.
	Cold []ColdTime
	// Herds are the times in which most callers opened their connections to one daemon.
	Herds []Herd
	// Restores are the restores of the store of playRestores.
	Restores []Restore
	// Floods and Drains are the floods of calls, and the drains of coordinators with waiting calls.
	Floods []Flood
	Drains []Drain
	// PlanSteps are the steps that the processes which outlived the plan had counted at its end.
	PlanSteps Round
	// Rounds are the rounds of calls after the last fault, and UnreleasedMemory the bytes that each daemon holds
	// for calls after the last one, by the daemon's index.
	Rounds           []Round
	UnreleasedMemory map[int]float64
	// PeakMemoryMB is the largest memory of each daemon's processes in megabytes, by the daemon's index.
	PeakMemoryMB map[int]int
	// ProcessStarts are the start times of each daemon's processes, by the daemon's index.
	ProcessStarts map[int][]time.Time
	// UnreleasedReservations are reservations that were neither released nor expired, with their
	// targets.
	UnreleasedReservations []string
}

// Violation is a violated guarantee: the name of the rule, the call, daemon, target or reservation
// concerned, and what was observed. Some rules cover several checks: CONFIG timeouts and the use of
// configurations, BUDGET attempts, backoffs and crashing calls, UNASKED the account and the API key.
type Violation struct{ Rule, Subject, Description string }

// String returns the violation as one line.
func (v Violation) String() string { return v.Rule + " " + v.Subject + ": " + v.Description }

// The time bounds of the rules. Where the users of doorstack require a bound, the constant has the
// value that they require.
const (
	// undisturbedBefore is how long before a call its daemon must have been undisturbed for a rule
	// to apply, and the time in which all daemons learn of a rate limit or of a crash.
	undisturbedBefore = 3 * time.Second
	// configApplyTime is how long daemons may take to apply a new configuration.
	configApplyTime = 2 * time.Second
	// configReorderSlack is how long calls may still be handled by an older configuration after a
	// call was handled by a newer one.
	configReorderSlack = 250 * time.Millisecond
	// answerSlack is how long after a call's timeout its answer may arrive, and after the caller
	// disconnected an execution may start; the delivery of a target's notice may take as long.
	answerSlack = 500 * time.Millisecond
	// loadSlack allows for delays on a machine that runs all processes, callers and targets.
	loadSlack = 500 * time.Millisecond
)

// Judge lists the guarantees that a run violated.
func Judge(r *Record) []Violation {
	var list []Violation
	for i := range r.Calls {
		c := &r.Calls[i]
		for _, check := range []func(*Record, *Call) string{checkSingleExecution, checkRefusal, checkAnswer, checkServiceAndAccount, checkAttempts, checkAnswered, checkTimeout, checkRoute, checkDisconnected, checkHeld, checkDrains} {
			if finding := check(r, c); finding != "" {
				rule, description, _ := strings.Cut(finding, ": ")
				list = append(list, Violation{rule, c.ID, description})
			}
		}
	}
	list = slices.Concat(list, checkConfigOrder(r), checkDuplicates(r), checkRepeats(r), checkNotices(r), checkCrashingCalls(r), checkCrashingParts(r), checkUnprovokedRefusals(r), checkHerds(r), checkRateLimits(r), checkEvacuations(r), checkRestores(r), checkColdTargets(r), checkFloods(r), checkCoordinators(r), checkMemory(r), checkPeakMemory(r))
	for _, id := range r.UnreleasedReservations {
		list = append(list, Violation{"LEAK", id, "reservation was neither released nor expired"})
	}
	return list
}

// executionsOf lists the executions of a call that targets did not reject.
func (r *Record) executionsOf(id string) []Execution {
	return slices.DeleteFunc(slices.Clone(r.Executions[id]), func(execution Execution) bool { return execution.Rejected })
}

// Each of the following checks returns "RULE: description" for a call that violates a rule, or
// nothing.

// checkSingleExecution checks that a call which must not be repeated is executed at most once.
func checkSingleExecution(r *Record, c *Call) string {
	if r.mayBeForgotten(c) {
		return ""
	}
	if executions := r.executionsOf(c.ID); !c.Path.Repeatable && len(executions) > 1 {
		return fmt.Sprintf("TWICE: %d executions of a call that must not be repeated", len(executions))
	}
	return ""
}

// repeated reports whether the caller sent the request a second time.
func (c *Call) repeated() bool { return !c.RepeatedAt.IsZero() }

// sendWitnesses is how many daemons at least know that a call which may run once was sent: three of the four that hold its claim, of
// which the sender may be one.
const sendWitnesses = 3

// mayBeForgotten reports whether a call was repeated, and as many daemons as know of its first sending had lost their state meanwhile. One
// that is suspended keeps it.
func (r *Record) mayBeForgotten(c *Call) bool {
	lost := map[int]bool{}
	for _, d := range r.Disturbances {
		if !d.overlaps(c.Sent, c.Done) {
			continue
		}
		if d.Kind == FleetStart {
			return c.repeated()
		}
		if d.Kind == Term || d.Kind == Kill {
			lost[d.Daemon] = true
		}
	}
	return c.repeated() && len(lost) >= sendWitnesses
}

// checkRefusal checks calls that the daemon refused, with status 429 or 503: each refusal has a
// Retry-After header, and a refused call that must not be repeated was not executed.
func checkRefusal(r *Record, c *Call) string {
	if c.Status != 429 && c.Status != 503 {
		return ""
	}
	if executions := r.executionsOf(c.ID); len(executions) > 0 && !c.Path.Repeatable && !r.mayBeForgotten(c) {
		return fmt.Sprintf("REFUSED: status %d, but the call was executed at %s", c.Status, executions[0].Target)
	}
	if !c.HasRetryAfter {
		return fmt.Sprintf("REFUSED: status %d without Retry-After header", c.Status)
	}
	return ""
}

// checkAnswer checks that a success is a target's, and that a successful answer is the complete answer to this call.
func checkAnswer(_ *Record, c *Call) string {
	if c.Status >= 200 && c.Status < 300 && c.Unsigned {
		return fmt.Sprintf("MIXED: status %d without a target's signature", c.Status)
	}
	if c.Status != 200 || !c.Complete {
		return ""
	}
	if want := c.Path.Answer(c.ID); c.Body != want {
		return fmt.Sprintf("MIXED: got an answer of %d bytes that differs from the call's own answer of %d bytes", len(c.Body), len(want))
	}
	return ""
}

// checkServiceAndAccount checks that a call is executed by its route's service, for the account
// of its API key, and that targets do not get the key.
func checkServiceAndAccount(r *Record, c *Call) string {
	for _, execution := range r.Executions[c.ID] {
		switch {
		case execution.Service != c.Path.Service:
			return "ROUTE: executed at a target of service " + execution.Service
		case execution.URI != c.URI:
			return fmt.Sprintf("UNASKED: sent as %s, not as %s", execution.URI, c.URI)
		case execution.Account != c.account() || execution.APIKey != "":
			return fmt.Sprintf("UNASKED: executed for account %q with API key %q", execution.Account, execution.APIKey)
		}
	}
	return ""
}

// checkAttempts checks that a call has no more executions than its route allows attempts.
func checkAttempts(r *Record, c *Call) string {
	if executions := r.executionsOf(c.ID); c.Path.Repeatable && len(executions) > c.Path.MaxAttempts {
		return fmt.Sprintf("BUDGET: %d executions, %d allowed", len(executions), c.Path.MaxAttempts)
	}
	return ""
}

// undisturbed reports whether no disturbance of the kinds that matter affected a daemon between
// two times.
func (r *Record) undisturbed(daemon int, from, to time.Time, matters func(Kind) bool) bool {
	for _, d := range r.Disturbances {
		if matters(d.Kind) && (d.Daemon == allDaemons || d.Daemon == daemon) && d.overlaps(from, to) {
			return false
		}
	}
	return true
}

// overlaps reports whether the disturbance affected any moment between two times.
func (d *Disturbance) overlaps(from, to time.Time) bool { return d.From.Before(to) && d.To.After(from) }

// isFault reports whether a kind is a fault and not a planned operation.
func isFault(k Kind) bool { return !k.Planned() }

// checkAnswered checks that a call which reached a target gets a complete answer, unless a fault
// disturbed its daemon or most of the call's timeout had passed.
func checkAnswered(r *Record, c *Call) string {
	if c.Disconnected || !c.repeated() && c.Status != 0 && c.Complete {
		return ""
	}
	if !slices.ContainsFunc(r.executionsOf(c.ID), func(e Execution) bool { return !c.repeated() || e.Started.Before(c.RepeatedAt) }) {
		return ""
	}
	if !r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, isFault) || c.Done.Sub(c.Sent) > c.Timeout*7/10 {
		return ""
	}
	return fmt.Sprintf("LOST: executed, but the connection closed after %v with status %d", c.Done.Sub(c.Sent).Round(time.Millisecond), c.Status)
}

// checkTimeout checks that a call ends at the latest soon after its timeout, unless a fault
// disturbed its daemon.
func checkTimeout(r *Record, c *Call) string {
	if late := c.Done.Sub(c.Sent) - c.Timeout; late > answerSlack+loadSlack && r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, isFault) {
		return fmt.Sprintf("CONFIG: call ended %v after its timeout", late.Round(time.Millisecond))
	}
	return ""
}

// checkDisconnected checks that no execution starts after the caller has disconnected.
func checkDisconnected(r *Record, c *Call) string {
	if !c.Disconnected || !r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done.Add(answerSlack), isFault) {
		return ""
	}
	for _, execution := range r.Executions[c.ID] {
		if after := execution.Started.Sub(c.Done); after > answerSlack+loadSlack {
			return fmt.Sprintf("GONE: execution started %v after the caller had disconnected", after.Round(time.Millisecond))
		}
	}
	return ""
}

// checkRoute checks calls of temporary routes against the configurations that may be in force
// during the call: a route that all of them have is not denied, which is status 404, and one
// that none has is not served.
func checkRoute(r *Record, c *Call) string {
	if c.TemporaryRoute == 0 || !r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore-configApplyTime), c.Done, func(k Kind) bool { return isFault(k) || k == Term }) {
		return ""
	}
	all, none := true, true
	for i, p := range r.Published {
		superseded := i+1 < len(r.Published) && r.Published[i+1].At.Add(configApplyTime+loadSlack).Before(c.Sent)
		if superseded || p.At.After(c.Done) {
			continue
		}
		has := p.FirstRoute <= c.TemporaryRoute && c.TemporaryRoute <= p.LastRoute
		all, none = all && has, none && !has
	}
	switch {
	case all && c.Status == 404:
		return fmt.Sprintf("DENIED: status 404, but temporary route %d is in force", c.TemporaryRoute)
	case none && c.Status == 200:
		return fmt.Sprintf("CONFIG: status 200, but temporary route %d is not in force", c.TemporaryRoute)
	}
	return ""
}

// checkConfigOrder checks that a daemon process which has served a temporary route does not deny
// that route later, unless a newer configuration removed the route.
func checkConfigOrder(r *Record) []Violation {
	type processKey struct{ daemon, number int }
	served := map[processKey]map[int]time.Time{}
	calls := slices.Clone(r.Calls)
	slices.SortFunc(calls, func(a, b Call) int { return a.Sent.Compare(b.Sent) })
	var list []Violation
	for i := range calls {
		c := &calls[i]
		number, same := r.processOf(c)
		if c.TemporaryRoute == 0 || !same {
			continue
		}
		key := processKey{c.Daemon, number}
		if served[key] == nil {
			served[key] = map[int]time.Time{}
		}
		at, servedBefore := served[key][c.TemporaryRoute]
		switch {
		case c.Status == 200 && (!servedBefore || c.Done.Before(at)):
			served[key][c.TemporaryRoute] = c.Done
		case c.Status == 404 && servedBefore && c.Sent.After(at.Add(configReorderSlack)) && !r.routeRemoved(c.TemporaryRoute, c.Done):
			list = append(list, Violation{"CONFIG", c.ID, fmt.Sprintf("temporary route %d was served by the same process before and is denied", c.TemporaryRoute)})
		}
	}
	return list
}

// processOf returns the number of the daemon process that handled a call, and whether the same
// process ran at the start and the end of the call.
func (r *Record) processOf(c *Call) (number int, same bool) {
	processAt := func(t time.Time) int {
		n := 0
		for _, start := range r.ProcessStarts[c.Daemon] {
			if !start.After(t) {
				n++
			}
		}
		return n
	}
	return processAt(c.Sent), processAt(c.Sent) == processAt(c.Done)
}

// routeRemoved reports whether a configuration published before a time no longer has the route.
func (r *Record) routeRemoved(route int, until time.Time) bool {
	for _, p := range r.Published {
		if p.At.Before(until) && route < p.FirstRoute {
			return true
		}
	}
	return false
}
