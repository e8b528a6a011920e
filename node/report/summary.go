package report

import (
	"cmp"
	"slices"
	"time"
)

// Summary holds the figures of a page. The fields' names are used in pageTemplate.
type Summary struct {
	From, To time.Time
	Classes  []PromptClass
	Filters  []FilterCount
	// Starts are the times of the start stages.
	Starts []StageTimes
	// Skipped counts lines that could not be read.
	Skipped int
}

// PromptClass summarizes the calls whose prompt length is in a range.
type PromptClass struct {
	Name string
	// MinTokens is the length of the shortest prompt in the class, in tokens.
	MinTokens int64
	// Calls is the number of ended calls, which are split into InTime, Late, Refused and Failed.
	Calls, InTime, Late, Refused, Failed int
	// FirstEventToGoal is the ratio of the time to the first event to its goal. Waited is the
	// wait of placed calls, in seconds.
	FirstEventToGoal Quantiles
	Waited           Quantiles
	// Foreseen is the ratio of the actual to the predicted time from the placement to the first
	// event, and ForeseenCalls the number of calls that have a prediction.
	Foreseen      Quantiles
	ForeseenCalls int
	// InTimeShare is the share of calls in time, by intervals of ShareInterval from Summary.From.
	// It is negative for an interval in which no call ended.
	InTimeShare []float64
}

// Quantiles are the 10th, 50th and 90th percentile of some values.
type Quantiles struct{ P10, P50, P90 float64 }

// FilterCount is the number of calls that waited or were refused while a filter rejected targets.
type FilterCount struct {
	Filter string
	Calls  int
}

// ShareInterval is the time resolution of PromptClass.InTimeShare.
const ShareInterval = 2 * time.Second

// promptClasses are the ranges of prompt lengths, in ascending order.
var promptClasses = []PromptClass{
	{Name: "no prompt", MinTokens: 0},
	{Name: "under 16,000 tokens", MinTokens: 1},
	{Name: "16,000 to 64,000", MinTokens: 16_000},
	{Name: "64,000 to 200,000", MinTokens: 64_000},
	{Name: "200,000 and more", MinTokens: 200_000},
}

// samples are the values that a class is summarized from.
type samples struct {
	firstEventToGoal, waited, observedToPredicted []float64
	inTime, ended                                 map[int]int // by index of the interval
}

// Summarize returns the figures of all calls that have ended.
func (l *Log) Summarize() Summary {
	s := Summary{Skipped: l.Skipped, Classes: slices.Clone(promptClasses), Starts: l.summarizeStarts()}
	var ended []*Call
	for _, c := range l.calls {
		if !c.Ended.IsZero() {
			ended = append(ended, c)
		}
	}
	slices.SortFunc(ended, func(a, b *Call) int { return a.Ended.Compare(b.Ended) })
	if len(ended) == 0 {
		return s
	}
	s.From, s.To = ended[0].Ended, ended[len(ended)-1].Ended
	values := make([]samples, len(promptClasses))
	filters := map[string]int{}
	for _, c := range ended {
		i := promptClassOf(c)
		s.Classes[i].countCall(c)
		values[i].add(c, int(c.Ended.Sub(s.From)/ShareInterval))
		for f := range c.Rejections {
			filters[f]++
		}
	}
	steps := int(s.To.Sub(s.From)/ShareInterval) + 1
	for i := range s.Classes {
		s.Classes[i].summarize(&values[i], steps)
	}
	s.Filters = countFilters(filters)
	return s
}

// promptClassOf returns the index of a call's class.
func promptClassOf(c *Call) int {
	i := len(promptClasses) - 1
	for c.PromptTokens < promptClasses[i].MinTokens {
		i--
	}
	return i
}

// countCall counts a call by its result.
func (k *PromptClass) countCall(c *Call) {
	k.Calls++
	switch {
	case c.InTime():
		k.InTime++
	case c.Complete:
		k.Late++
	case c.Refused:
		k.Refused++
	default:
		k.Failed++
	}
}

// add adds a call that ended in the interval with this index.
func (v *samples) add(c *Call, step int) {
	if v.ended == nil {
		v.ended, v.inTime = map[int]int{}, map[int]int{}
	}
	v.ended[step]++
	if c.InTime() {
		v.inTime[step]++
	}
	if c.Complete && c.FirstEventGoal > 0 {
		v.firstEventToGoal = append(v.firstEventToGoal, float64(c.FirstEvent)/float64(c.FirstEventGoal))
	}
	if c.Complete && c.PredictedFirstEvent > c.Waited {
		v.waited = append(v.waited, c.Waited.Seconds())
		v.observedToPredicted = append(v.observedToPredicted, float64(c.FirstEvent-c.Waited)/float64(c.PredictedFirstEvent-c.Waited))
	}
}

// summarize sets the figures of the class from its samples. steps is the number of intervals.
func (k *PromptClass) summarize(v *samples, steps int) {
	k.FirstEventToGoal, k.Waited, k.Foreseen = quantilesOf(v.firstEventToGoal), quantilesOf(v.waited), quantilesOf(v.observedToPredicted)
	k.ForeseenCalls = len(v.observedToPredicted)
	for step := range steps {
		share := -1.0
		if n := v.ended[step]; n > 0 {
			share = float64(v.inTime[step]) / float64(n)
		}
		k.InTimeShare = append(k.InTimeShare, share)
	}
}

// quantilesOf sorts values and returns their quantiles.
func quantilesOf(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	at := func(q float64) float64 { return values[int(q*float64(len(values)-1)+0.5)] }
	return Quantiles{at(0.1), at(0.5), at(0.9)}
}

// countFilters returns the filters with the most calls first.
func countFilters(filters map[string]int) []FilterCount {
	var list []FilterCount
	for f, n := range filters {
		list = append(list, FilterCount{f, n})
	}
	slices.SortFunc(list, func(a, b FilterCount) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Filter, b.Filter))
	})
	return list
}
