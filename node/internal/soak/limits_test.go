package soak

import (
	"fmt"
	"testing"
	"time"
)

// rateLimitedRecord returns a record of calls to a target that announces a rate limit of perSecond
// in each answer: each of two daemons sends callsPerSecond calls a second.
func rateLimitedRecord(perSecond float64, seconds int, callsPerSecond int) *Record {
	r := &Record{Executions: map[string][]Execution{}}
	for i := range seconds * callsPerSecond {
		for daemon := range 2 {
			id := fmt.Sprint(daemon, "-", i)
			sent := timeAt(float64(i) / float64(callsPerSecond))
			execution := Execution{ID: id, Target: "t1", Service: safePath.Service, Account: accountName, Started: sent, Ended: sent.Add(10 * time.Millisecond), RateLimit: &perSecond}
			c := Call{ID: id, Daemon: daemon, Path: safePath, Sent: sent, Done: execution.Ended, Timeout: safePath.Timeout, Status: 200, Complete: true, Body: safePath.Answer(id)}
			r.Calls, r.Executions[id] = append(r.Calls, c), []Execution{execution}
		}
	}
	return r
}

// TestJudgeChecksRateLimits checks that only calls above the bounds, and only by daemons that must
// know the limit, are a violation.
func TestJudgeChecksRateLimits(t *testing.T) {
	for name, c := range map[string]struct {
		record  *Record
		change  func(*Record)
		violate bool
	}{
		"within the limit":                   {rateLimitedRecord(2, 9, 1), nil, false},
		"above the limit":                    {rateLimitedRecord(1, 9, 2), nil, true},
		"before daemons must know the limit": {rateLimitedRecord(1, 3, 10), nil, false},
		"no daemon got an answer with the limit": {rateLimitedRecord(1, 9, 2), func(r *Record) {
			for i := range r.Calls {
				r.Calls[i].Status = 500
			}
		}, false},
		"a daemon was killed": {rateLimitedRecord(1, 9, 2), func(r *Record) { r.Disturbances = []Disturbance{{timeAt(3), timeAt(9), Kill, 0, ""}} }, false},
	} {
		if c.change != nil {
			c.change(c.record)
		}
		list := Judge(c.record)
		if violated := len(list) == 1 && list[0].Rule == "LIMIT"; violated != c.violate || !c.violate && len(list) > 0 {
			t.Errorf("%s: Judge() = %v, want a violation of rule LIMIT: %v", name, list, c.violate)
		}
	}
}
