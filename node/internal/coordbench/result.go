package coordbench

import "time"

// Result is what a play gave, by class and in all.
type Result struct {
	// Worth is the part of what was owed that was earned.
	ValueShare float64
	// Worst is the same of the worst span of windowLength.
	WorstWindow float64
	Classes     map[string]ClassResult
}

// ClassResult is the outcome of the calls of one class.
type ClassResult struct {
	Calls, OnTime, Late, Refused int
	// Paused are those of the late ones that are late by a pause alone, and Deserted those
	// whose callers left.
	LateByGap, Abandoned      int
	OfferedValue, EarnedValue float64
}

// plus adds the outcome of another play.
func (k ClassResult) plus(o ClassResult) ClassResult {
	return ClassResult{
		Calls: k.Calls + o.Calls, OnTime: k.OnTime + o.OnTime, Late: k.Late + o.Late, Refused: k.Refused + o.Refused,
		LateByGap: k.LateByGap + o.LateByGap, Abandoned: k.Abandoned + o.Abandoned, OfferedValue: k.OfferedValue + o.OfferedValue, EarnedValue: k.EarnedValue + o.EarnedValue,
	}
}

// windowLength is that of the spans of which the worst one is told.
const windowLength = 2 * time.Second

// valueSum is a part of a play, for the worst one.
type valueSum struct{ offered, earned float64 }

// result sums the calls up.
func (f *simulation) summarize() *Result {
	r := &Result{Classes: map[string]ClassResult{}, WorstWindow: 1}
	all, spans := valueSum{}, make([]valueSum, int(f.setup.Duration/windowLength)+1)
	for _, c := range f.calls {
		outcome := c.outcome()
		r.Classes[c.class.Name] = r.Classes[c.class.Name].plus(outcome)
		all.add(&outcome)
		spans[int(c.arrival/windowLength)].add(&outcome)
	}
	r.ValueShare = all.earned / all.offered
	for _, s := range spans {
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

// outcome is what became of a call.
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
