package coordbench

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var workloadLength = flag.Duration("coord.own", 0, "virtual time of each simulation of the workload table; zero skips the table")

var useAccounts = flag.Bool("coord.accounts", false, "give the calls of the workload table 24 accounts, three of them large")

// fewLargeAccounts returns the numbers of calls of 24 accounts, three of which have ten, six and
// four times the calls of the others.
func fewLargeAccounts() []float64 {
	weights := make([]float64, 24)
	for i := range weights {
		weights[i] = 1
	}
	weights[0], weights[1], weights[2] = 10, 6, 4
	return weights
}

// workloadCase is a workload with the size of its pool and the offered load.
type workloadCase struct {
	name     string
	workload *Workload
	engines  int
	load     float64
}

var workloadCases = []workloadCase{
	{"dense", Dense(), 60, 1},
	{"half", Dense(), 60, 0.5},
	{"overload", Dense(), 60, 1.4},
	{"pauses", ShortGapGoals(), 60, 1},
	{"many", ManySlots(), 60, 1},
	{"few", FewSlots(), 60, 1},
	{"small", SmallPool(), 18, 1},
	{"spacious", Spacious(), 150, 1},
}

// simulateSeeds simulates a workload with count seeds. It returns the mean value share, the mean of
// the worst windows' shares and the sums of the classes' outcomes.
func simulateSeeds(t *testing.T, o *workloadCase, length time.Duration, count int) (share, worst float64, classes map[string]ClassResult) {
	t.Helper()
	classes = map[string]ClassResult{}
	for seed := range count {
		setup := Setup{
			Workload: o.workload, Engines: o.engines, DataCentres: 3, Coordinators: 1, Choice: HomeDataCentre,
			Load: o.load, Duration: length, Seed: uint64(seed + 1), RepeatingAccount: -1,
		}
		if *useAccounts {
			setup.Accounts = fewLargeAccounts()
		}
		r := simulate(t, setup)
		share += r.ValueShare / float64(count)
		worst += r.WorstWindow / float64(count)
		for name, c := range r.Classes {
			classes[name] = classes[name].plus(c)
		}
	}
	return share, worst, classes
}

// TestWorkloadTable prints the table of docs/design/shifted-load.md.
func TestWorkloadTable(t *testing.T) {
	if *workloadLength == 0 {
		t.Log("table skipped; set -coord.own to print it")
		return
	}
	for _, o := range workloadCases {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			share, worst, classes := simulateSeeds(t, &o, *workloadLength, *seedCount)
			text := []string{fmt.Sprintf("value share %.3f, worst two seconds %.3f", share, worst)}
			for _, k := range o.workload.Classes {
				c := classes[k.Name]
				percent := func(n int) float64 { return 100 * float64(n) / float64(c.Calls) }
				text = append(text, fmt.Sprintf("%s %.3f: late %.1f%% (%.1f%% by a gap only), refused %.1f%%, abandoned %.1f%%",
					k.Name, c.EarnedValue/c.OfferedValue, percent(c.Late), percent(c.LateByGap), percent(c.Refused), percent(c.Abandoned)))
			}
			t.Log(strings.Join(text, "; "))
		})
	}
}
