package coordbench

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// unfairAccounts returns the numbers of calls of 24 accounts: account 0 has ten times the calls of each
// other one. Account 1 is the one that repeats refused calls at once.
func unfairAccounts() []float64 {
	weights := make([]float64, 24)
	for i := range weights {
		weights[i] = 1
	}
	weights[0] = 10
	return weights
}

// accountShares are the earned shares of the value of the calls of groups of accounts.
type accountShares struct {
	large, repeating, others, lowestOther float64
	classes                               map[string]ClassResult
}

func (s accountShares) String() string {
	text := []string{fmt.Sprintf("large account %.3f, repeating account %.3f, others %.3f, lowest of the others %.3f", s.large, s.repeating, s.others, s.lowestOther)}
	for name, c := range s.classes {
		text = append(text, fmt.Sprintf("%s %.3f", name, c.EarnedValue/c.OfferedValue))
	}
	slices.Sort(text[1:])
	return strings.Join(text, ", ")
}

// simulateUnfair simulates 30 s of a load of 1/0.7 times what the pool is made for.
func simulateUnfair(t *testing.T, seeds int, repeating int) accountShares {
	t.Helper()
	sums, classes := map[int]ClassResult{}, map[string]ClassResult{}
	for seed := range seeds {
		r := simulate(t, Setup{
			Workload: Dense(), Engines: 20, DataCentres: 3, Coordinators: 1, Choice: HomeDataCentre, Load: 1 / 0.7, Duration: 30 * time.Second,
			Seed: uint64(seed + 1), Accounts: unfairAccounts(), RepeatingAccount: repeating,
		})
		for i, c := range r.Accounts {
			sums[i] = sums[i].plus(c)
		}
		for name, c := range r.Classes {
			classes[name] = classes[name].plus(c)
		}
	}
	earned := func(c ClassResult) float64 { return c.EarnedValue / c.OfferedValue }
	shares := accountShares{large: earned(sums[0]), repeating: earned(sums[1]), lowestOther: 1, classes: classes}
	others := ClassResult{}
	for i := 2; i < 24; i++ {
		others = others.plus(sums[i])
		shares.lowestOther = min(shares.lowestOther, earned(sums[i]))
	}
	shares.others = earned(others)
	return shares
}

// TestUnfairAccountsTable prints the table of docs/design/fair-shares.md: what each kind of account and
// call gets.
func TestUnfairAccountsTable(t *testing.T) {
	if *workloadLength == 0 {
		t.Log("table skipped; set -coord.own to print it")
		return
	}
	t.Log("one account repeats at once: " + simulateUnfair(t, 6, 1).String())
	t.Log("no account repeats at once:  " + simulateUnfair(t, 6, -1).String())
}
