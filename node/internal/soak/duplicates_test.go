package soak

import "testing"

// TestDuplicateIsExecutedOnce guards against a soak that takes a second execution of a duplicate for none, or a rejection for one.
func TestDuplicateIsExecutedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		executions []Execution
		violations int
	}{
		"never":                        {nil, 0},
		"once":                         {[]Execution{{Target: "t1"}}, 0},
		"rejected, then executed":      {[]Execution{{Target: "t1", Rejected: true}, {Target: "t2"}}, 0},
		"twice at one target":          {[]Execution{{Target: "t1"}, {Target: "t1"}}, 1},
		"twice, at two targets":        {[]Execution{{Target: "t1"}, {Target: "t2"}}, 1},
		"two rejections, one executed": {[]Execution{{Rejected: true}, {Rejected: true}, {}}, 0},
	} {
		r := &Record{
			Duplicates: []Duplicate{{ID: "d", Arrivals: []int{0, 1}, Statuses: []int{200, 502}}}, Executions: map[string][]Execution{"d": test.executions},
			// A suspended daemon is no excuse.
			Disturbances: []Disturbance{{Kind: Suspend, Daemon: 1, From: timeAt(0), To: timeAt(9)}},
		}
		if got := checkDuplicates(r); len(got) != test.violations {
			t.Errorf("%s: %v, want %d violations", name, got, test.violations)
		}
	}
}
