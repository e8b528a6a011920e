package soak

import (
	"fmt"
	"testing"
	"time"
)

// limitedRuns are calls of two daemons at a target that names a limit, so many a second.
func limitedRuns(perSecond float64, seconds int, each int) *Record {
	r := &Record{Runs: map[string][]Run{}}
	for i := range seconds * each {
		for daemon := range 2 {
			id := fmt.Sprint(daemon, "-", i)
			sent := at(float64(i) / float64(each))
			run := Run{ID: id, Target: "t1", Service: safePath.Service, Account: account, At: sent, Ended: sent.Add(10 * time.Millisecond), Limit: &perSecond}
			c := Call{ID: id, Daemon: daemon, Path: safePath, Sent: sent, Done: run.Ended, Allowed: safePath.Allowed, Status: 200, Whole: true, Body: safePath.Answer(id)}
			r.Calls, r.Runs[id] = append(r.Calls, c), []Run{run}
		}
	}
	return r
}

// TestJudgeSeesATargetThatGetsMoreThanItsLimit: in a window, by daemons that were told.
func TestJudgeSeesATargetThatGetsMoreThanItsLimit(t *testing.T) {
	for name, c := range map[string]struct {
		record  *Record
		change  func(*Record)
		violate bool
	}{
		"within":         {limitedRuns(2, 9, 1), nil, false},
		"over":           {limitedRuns(1, 9, 2), nil, true},
		"still learning": {limitedRuns(1, 3, 10), nil, false},
		"nobody was told": {limitedRuns(1, 9, 2), func(r *Record) {
			for i := range r.Calls {
				r.Calls[i].Status = 500
			}
		}, false},
		"a daemon stopped": {limitedRuns(1, 9, 2), func(r *Record) { r.Disturbances = []Disturbance{{at(3), at(9), Kill, 0, ""}} }, false},
	} {
		if c.change != nil {
			c.change(c.record)
		}
		list := Judge(c.record)
		if violated := len(list) == 1 && list[0].Rule == "LIMIT"; violated != c.violate || !c.violate && len(list) > 0 {
			t.Errorf("%s: %v", name, list)
		}
	}
}
