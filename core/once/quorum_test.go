package once

import (
	"testing"

	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		votes []Vote
		want  Verdict
	}{
		"no other daemon":                      {nil, Send},
		"all agree":                            {[]Vote{Granted, Granted, Granted}, Send},
		"an answer is due":                     {[]Vote{Granted, Granted, Pending}, Undecided},
		"one is late":                          {[]Vote{Granted, Granted, Late}, Send},
		"one of two is late":                   {[]Vote{Granted, Late}, Undecided},
		"two of three are late":                {[]Vote{Granted, Late, Late}, Undecided},
		"two of four are late":                 {[]Vote{Granted, Granted, Late, Late}, Undecided},
		"all are late":                         {[]Vote{Late, Late, Late}, Undecided},
		"one objects, an answer is due":        {[]Vote{Denied, Pending, Granted}, Repeated},
		"one objects, the others agree":        {[]Vote{Granted, Denied, Granted}, Repeated},
		"one contends":                         {[]Vote{Contested, Granted, Granted, Granted}, Undecided},
		"one contends, an answer is due":       {[]Vote{Contested, Pending, Contested}, Undecided},
		"one contends, one objects":            {[]Vote{Contested, Granted, Denied}, Repeated},
		"all contend":                          {[]Vote{Contested, Contested, Late, Absent}, Repeated},
		"all have ended":                       {[]Vote{Absent, Absent, Absent}, Send},
		"the only one that runs agrees":        {[]Vote{Absent, Granted, Absent}, Send},
		"the only one that runs is late":       {[]Vote{Absent, Late, Absent}, Undecided},
		"one has ended, one of two is late":    {[]Vote{Absent, Granted, Late}, Undecided},
		"one has ended, one of three is late":  {[]Vote{Absent, Granted, Granted, Late}, Send},
		"one has ended, and an answer is due":  {[]Vote{Absent, Pending, Granted}, Undecided},
		"one has ended and the others are due": {[]Vote{Absent, Pending, Pending}, Undecided},
	} {
		if got := Decide(c.votes); got != c.want {
			t.Errorf("%s: Decide = %v, want %v", name, got, c.want)
		}
	}
}

// TestTwoArrivalsAreNotBothSent guards against a request that two daemons send, whichever holders are late for each of them, as long as
// the holders keep their state.
func TestTwoArrivalsAreNotBothSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := make([]*Ledger, rapid.IntRange(1, 5).Draw(t, "holders"))
		for i := range holders {
			holders[i] = NewLedger()
		}
		votes := map[Owner][]Vote{1: make([]Vote, len(holders)), 2: make([]Vote, len(holders))}
		sent := 0
		for _, at := range rapid.Permutation(indices(2*len(holders))).Draw(t, "order") {
			owner, holder := Owner(1+at%2), at/2
			vote := Late
			if reached := rapid.Bool().Draw(t, "reached"); reached {
				vote = Denied
				if holders[holder].Begin(claim("id", owner, start), start) {
					vote = Granted
				}
				if rapid.Bool().Draw(t, "answer lost") {
					vote = Late
				}
			}
			votes[owner][holder] = vote
		}
		for _, w := range votes {
			if Decide(w) == Send {
				sent++
			}
		}
		if sent > 1 {
			t.Fatalf("both arrivals are sent: %v", votes)
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
