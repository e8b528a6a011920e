package once

import (
	"testing"

	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		words []Word
		want  Verdict
	}{
		"no other daemon":                      {nil, Send},
		"all agree":                            {[]Word{Agrees, Agrees, Agrees}, Send},
		"an answer is due":                     {[]Word{Agrees, Agrees, Silent}, Undecided},
		"one is late":                          {[]Word{Agrees, Agrees, Late}, Send},
		"one of two is late":                   {[]Word{Agrees, Late}, Undecided},
		"two of three are late":                {[]Word{Agrees, Late, Late}, Undecided},
		"two of four are late":                 {[]Word{Agrees, Agrees, Late, Late}, Undecided},
		"all are late":                         {[]Word{Late, Late, Late}, Undecided},
		"one objects, an answer is due":        {[]Word{Objects, Silent, Agrees}, Repeated},
		"one objects, the others agree":        {[]Word{Agrees, Objects, Agrees}, Repeated},
		"one contends":                         {[]Word{Contends, Agrees, Agrees, Agrees}, Undecided},
		"one contends, an answer is due":       {[]Word{Contends, Silent, Contends}, Undecided},
		"one contends, one objects":            {[]Word{Contends, Agrees, Objects}, Repeated},
		"all contend":                          {[]Word{Contends, Contends, Late, Ended}, Repeated},
		"all have ended":                       {[]Word{Ended, Ended, Ended}, Send},
		"the only one that runs agrees":        {[]Word{Ended, Agrees, Ended}, Send},
		"the only one that runs is late":       {[]Word{Ended, Late, Ended}, Undecided},
		"one has ended, one of two is late":    {[]Word{Ended, Agrees, Late}, Undecided},
		"one has ended, one of three is late":  {[]Word{Ended, Agrees, Agrees, Late}, Send},
		"one has ended, and an answer is due":  {[]Word{Ended, Silent, Agrees}, Undecided},
		"one has ended and the others are due": {[]Word{Ended, Silent, Silent}, Undecided},
	} {
		if got := Decide(c.words); got != c.want {
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
		words := map[Owner][]Word{1: make([]Word, len(holders)), 2: make([]Word, len(holders))}
		sent := 0
		for _, at := range rapid.Permutation(indices(2*len(holders))).Draw(t, "order") {
			owner, holder := Owner(1+at%2), at/2
			word := Late
			if reached := rapid.Bool().Draw(t, "reached"); reached {
				word = Objects
				if holders[holder].Begin(claim("id", owner, start), start) {
					word = Agrees
				}
				if rapid.Bool().Draw(t, "answer lost") {
					word = Late
				}
			}
			words[owner][holder] = word
		}
		for _, w := range words {
			if Decide(w) == Send {
				sent++
			}
		}
		if sent > 1 {
			t.Fatalf("both arrivals are sent: %v", words)
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
