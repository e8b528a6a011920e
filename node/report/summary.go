package report

import (
	"cmp"
	"slices"
	"time"
)

// Summary are the figures of a page.
type Summary struct {
	From, To time.Time
	Classes  []Class
	Filters  []FilterCount
	// Starts are the stages of the daemons' starts.
	Starts []Stage
	// Skipped counts lines that could not be read.
	Skipped int
}

// Class are the calls of one range of prompt lengths.
type Class struct {
	Name string
	// Least is the shortest prompt of the class, in tokens.
	Least int64
	// Calls is how many ended, InTime, Late, Refused and Failed what became of them.
	Calls, InTime, Late, Refused, Failed int
	// First are the times to the first event against the goal, and Waited the waits of
	// those placed.
	First  Spread
	Waited Spread
	// Foreseen is the time seen from the placement to the first event, against the one
	// foreseen, and ForeseenCalls of how many calls.
	Foreseen      Spread
	ForeseenCalls int
	// Share is the share in time in each step of Step from Summary.From on; negative
	// where no call ended.
	Share []float64
}

// Spread are quantiles of a number of values.
type Spread struct{ P10, P50, P90 float64 }

// FilterCount is how often a filter was what a call waited for or was refused by.
type FilterCount struct {
	Filter string
	Calls  int
}

// Step is the resolution of shares over time.
const Step = 2 * time.Second

// classes are the ranges of prompt lengths, by their least length in tokens.
var classes = []Class{
	{Name: "no prompt", Least: 0},
	{Name: "under 16,000 tokens", Least: 1},
	{Name: "16,000 to 64,000", Least: 16_000},
	{Name: "64,000 to 200,000", Least: 64_000},
	{Name: "200,000 and more", Least: 200_000},
}

// samples are the values of a class before they are summed up.
type samples struct {
	first, waited, foreseen []float64
	inTime, ended           map[int]int // by step
}

// Summarize sums the calls up that have ended.
func (l *Log) Summarize() Summary {
	s := Summary{Skipped: l.Skipped, Classes: slices.Clone(classes), Starts: l.sumStarts()}
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
	values := make([]samples, len(classes))
	filters := map[string]int{}
	for _, c := range ended {
		i := classOf(c)
		s.Classes[i].count(c)
		values[i].add(c, int(c.Ended.Sub(s.From)/Step))
		for f := range c.Filters {
			filters[f]++
		}
	}
	steps := int(s.To.Sub(s.From)/Step) + 1
	for i := range s.Classes {
		s.Classes[i].sum(&values[i], steps)
	}
	s.Filters = countFilters(filters)
	return s
}

func classOf(c *Call) int {
	i := len(classes) - 1
	for c.PromptTokens < classes[i].Least {
		i--
	}
	return i
}

func (k *Class) count(c *Call) {
	k.Calls++
	switch {
	case c.InTime():
		k.InTime++
	case c.Whole:
		k.Late++
	case c.Refused:
		k.Refused++
	default:
		k.Failed++
	}
}

func (v *samples) add(c *Call, step int) {
	if v.ended == nil {
		v.ended, v.inTime = map[int]int{}, map[int]int{}
	}
	v.ended[step]++
	if c.InTime() {
		v.inTime[step]++
	}
	if c.Whole && c.Goal > 0 {
		v.first = append(v.first, float64(c.First)/float64(c.Goal))
	}
	if c.Whole && c.Foreseen > c.Waited {
		v.waited = append(v.waited, c.Waited.Seconds())
		v.foreseen = append(v.foreseen, float64(c.First-c.Waited)/float64(c.Foreseen-c.Waited))
	}
}

func (k *Class) sum(v *samples, steps int) {
	k.First, k.Waited, k.Foreseen = spread(v.first), spread(v.waited), spread(v.foreseen)
	k.ForeseenCalls = len(v.foreseen)
	for step := range steps {
		share := -1.0
		if n := v.ended[step]; n > 0 {
			share = float64(v.inTime[step]) / float64(n)
		}
		k.Share = append(k.Share, share)
	}
}

// spread sorts the values.
func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	at := func(q float64) float64 { return values[int(q*float64(len(values)-1)+0.5)] }
	return Spread{at(0.1), at(0.5), at(0.9)}
}

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
