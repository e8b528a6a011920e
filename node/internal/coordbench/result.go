package coordbench

import "time"

// Result is the outcome of a simulation.
type Result struct {
	// ValueShare is the earned share of the value of all calls.
	ValueShare float64
	// WorstWindow is the lowest value share of any window of windowLength, where a call counts
	// in the window in which it arrived.
	WorstWindow float64
	// Classes are the outcomes by name of the class.
	Classes map[string]ClassResult
	// Accounts are the outcomes by account.
	Accounts map[int]ClassResult
}

// ClassResult is the outcome of the calls of one class.
type ClassResult struct {
	// Calls counts all calls; each is on time, late, refused or abandoned. Refused includes
	// those without a complete answer at the end of the simulation.
	Calls, OnTime, Late, Refused int
	// LateByGap counts the late calls that missed only their gap goal, and Abandoned the calls
	// whose callers disconnected.
	LateByGap, Abandoned int
	// OfferedValue is the value of all calls. EarnedValue is the value of the calls on time
	// plus lateValueShare of the value of the late ones.
	OfferedValue, EarnedValue float64
}

// plus returns the sum of two outcomes.
func (k ClassResult) plus(o ClassResult) ClassResult {
	return ClassResult{
		Calls: k.Calls + o.Calls, OnTime: k.OnTime + o.OnTime, Late: k.Late + o.Late, Refused: k.Refused + o.Refused,
		LateByGap: k.LateByGap + o.LateByGap, Abandoned: k.Abandoned + o.Abandoned, OfferedValue: k.OfferedValue + o.OfferedValue, EarnedValue: k.EarnedValue + o.EarnedValue,
	}
}

// windowLength is the length of the windows for Result.WorstWindow.
const windowLength = 2 * time.Second

// valueSum is the offered and the earned value of a set of calls.
type valueSum struct{ offered, earned float64 }

// summarize returns the outcome of all calls.
func (sim *simulation) summarize() *Result {
	r := &Result{Classes: map[string]ClassResult{}, Accounts: map[int]ClassResult{}, WorstWindow: 1}
	all, windows := valueSum{}, make([]valueSum, int(sim.setup.Duration/windowLength)+1)
	for _, c := range sim.calls {
		outcome := c.outcome()
		r.Classes[c.class.Name] = r.Classes[c.class.Name].plus(outcome)
		r.Accounts[c.account] = r.Accounts[c.account].plus(outcome)
		all.add(&outcome)
		windows[int(c.arrival/windowLength)].add(&outcome)
	}
	r.ValueShare = all.earned / all.offered
	for _, s := range windows {
		if s.offered > 0 {
			r.WorstWindow = min(r.WorstWindow, s.earned/s.offered)
		}
	}
	return r
}

func (s *valueSum) add(k *ClassResult) {
	s.offered += k.OfferedValue
	s.earned += k.EarnedValue
}

// outcome returns the outcome of a single call.
func (c *call) outcome() ClassResult {
	k := ClassResult{Calls: 1, OfferedValue: c.value}
	switch {
	case c.abandoned:
		k.Abandoned = 1
	case c.onTime():
		k.OnTime, k.EarnedValue = 1, c.value
	case c.completed:
		k.Late, k.EarnedValue = 1, lateValueShare*c.value
		if c.firstEvent-c.arrival <= c.class.Goal {
			k.LateByGap = 1
		}
	default:
		k.Refused = 1
	}
	return k
}
