package cluster

import (
	"context"
	"slices"
	"time"

	"doorstack.dev/core/poison"
	"doorstack.dev/core/rendezvous"
	"doorstack.dev/node/peer"
)

// All crashes of a pool's targets are reported to the same trackers, with the shared parts of each prompt that a target
// was running: to determine which part crashed it, a daemon needs all of these prompts. A crash costs one frame for each
// prompt and tracker, regardless of the number of parts.

// NotifyPartCrash implements requestcontrol.CrashReporter. It reports a crash to the pool's trackers.
func (c *Cluster) NotifyPartCrash(crash *poison.PartCrash) {
	living, _ := c.Board.Members.AliveNames()
	for _, name := range rendezvous.Top("prompt parts of pool "+crash.Pool, living, trackerCount) {
		if name == c.Board.Self.Name {
			c.recordPartCrash(crash)
			continue
		}
		go c.reportCrash(name, peer.KindPartCrash, crash, crash.Request, crash.Target)
	}
}

// servePartCrash records a crash that another daemon reports.
func (c *Cluster) servePartCrash(_ context.Context, _ string, in poison.PartCrash) (empty, error) {
	c.recordPartCrash(&in)
	return empty{}, nil
}

func (c *Cluster) recordPartCrash(crash *poison.PartCrash) {
	c.Board.Poison.RecordPartCrash(crash, time.Now())
	c.judgePartsSoon()
}

// judgePartsSoon judges the recorded crashes once all reports of the latest one have arrived.
func (c *Cluster) judgePartsSoon() {
	if c.judging.Swap(true) {
		return
	}
	time.AfterFunc(poison.SettleTime, func() {
		c.judging.Store(false)
		verdicts := c.Board.Poison.JudgeParts(time.Now())
		for i := range verdicts {
			v := &verdicts[i]
			c.Recorder.CountVerdict(v)
			msg := "a prompt part is quarantined"
			if v.Lifted {
				msg = "the quarantine of a prompt part is lifted"
			}
			c.Recorder.Log.Warn(msg, "part", v.Part.ID, "account", v.Part.Account, "call", v.Request.String(), "count", v.Count,
				"since_s", v.Part.Since.Seconds(), "explained", v.Part.Explained)
		}
		if len(verdicts) > 0 {
			c.sendVerdicts(verdicts, "")
		}
		if slices.ContainsFunc(verdicts, func(v poison.Verdict) bool { return v.Lifted }) {
			c.judgePartsSoon() // The crashes may have another cause.
		}
	})
}

// NotifyPartLifted implements requestcontrol.CrashReporter.
func (c *Cluster) NotifyPartLifted(v poison.Verdict) {
	c.BroadcastVerdict(v)
	c.judgePartsSoon()
}
