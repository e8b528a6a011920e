package cluster

import (
	"context"
	"slices"
	"time"

	"doorstack.dev/core/poison"
	"doorstack.dev/core/rendezvous"
	"doorstack.dev/node/peer"
)

// The same request can come to any daemon, so the crashes of targets under it are counted
// in one place: at its trackers, the first daemons of its rendezvous order. Most crashes
// lead to no verdict, since a crash is also reported for the harmless requests that ran
// beside the one that caused it. So a crash costs one frame to each tracker, whatever the
// size of the fleet, and only verdicts, which are rare, go to all daemons.

const (
	// trackerCount is how many daemons count the crashes under a request. Two of them may
	// be dead or unreachable before that is known.
	trackerCount = 3
	// crashTimeout bounds a report to a tracker, to which there may be no link yet.
	crashTimeout = time.Second
	// trialTimeout bounds the question whether a quarantined request may be sent as a trial.
	// The caller waits for the answer, and is refused if none comes.
	trialTimeout = 100 * time.Millisecond
)

// NotifyCrash implements requestcontrol.CrashReporter. It reports a crash to the request's
// trackers.
func (c *Cluster) NotifyCrash(crash poison.Crash) {
	living, _ := c.Board.Members.AliveNames()
	for _, name := range rendezvous.Top(crash.Request.String(), living, trackerCount) {
		if name != c.Board.Self.Name { // This daemon's own table has counted the crash.
			go c.reportCrash(name, peer.KindCrash, crash, crash.Request, crash.Target)
		}
	}
}

func (c *Cluster) reportCrash(tracker string, kind peer.Kind, crash any, request poison.Key, target string) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	if err := c.Hub.Notify(ctx, c.address(tracker), kind, crash); err != nil {
		c.Recorder.Log.Info("crash of a target could not be reported to a peer", "peer", tracker, "call", request.String(),
			"target", target, "error", err.Error())
	}
}

// serveCrash counts a crash that another daemon reports.
func (c *Cluster) serveCrash(_ context.Context, from string, in poison.Crash) (empty, error) {
	if found := c.Board.Poison.RecordCrash(in, time.Now()); found.Quarantined {
		v := found.Verdict
		c.Recorder.CountVerdict(&v)
		c.Recorder.Log.Warn("a call is quarantined", "call", in.Request.String(), "target", in.Target, "count", v.Count,
			"reason", "several targets crashed under the call", "peer", from)
		c.BroadcastVerdict(v)
	}
	return empty{}, nil
}

// RequestTrial implements requestcontrol.CrashReporter. The request's first tracker decides, so
// that only one daemon of the fleet tries the request.
func (c *Cluster) RequestTrial(ctx context.Context, request poison.Key) bool {
	living, _ := c.Board.Members.AliveNames()
	first := rendezvous.Owner(request.String(), living)
	if first == c.Board.Self.Name {
		return c.Board.Poison.StartTrial(request, time.Now())
	}
	granted := false
	if err := c.call(ctx, first, peer.KindTrial, request, &granted, trialTimeout); err != nil || !granted {
		return false // The request is refused; the next one asks again.
	}
	c.Board.Poison.RecordTrial(request, time.Now())
	return true
}

// serveTrial decides whether another daemon may try a quarantined request.
func (c *Cluster) serveTrial(_ context.Context, from string, request poison.Key) (bool, error) {
	granted := c.Board.Poison.StartTrial(request, time.Now())
	if granted {
		c.Recorder.Log.Info("a quarantined call is tried once more", "call", request.String(), "peer", from)
	}
	return granted, nil
}

// BroadcastVerdict implements requestcontrol.CrashReporter. It sends a verdict to all neighbours.
func (c *Cluster) BroadcastVerdict(v poison.Verdict) { c.sendVerdicts([]poison.Verdict{v}, "") }

// sendVerdicts sends verdicts over all open links but the one that they came over. Lost
// verdicts are repaired when heartbeats are compared.
func (c *Cluster) sendVerdicts(verdicts []poison.Verdict, from string) {
	linked := c.Hub.LinkedPeers()
	for _, name := range c.Board.Members.GossipPeers(time.Now()) {
		if name != from && slices.Contains(linked, name) {
			go c.sendVerdictsTo(name, verdicts)
		}
	}
}

func (c *Cluster) sendVerdictsTo(name string, verdicts []poison.Verdict) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	if err := c.Hub.Notify(ctx, c.address(name), peer.KindVerdicts, verdicts); err != nil {
		c.Recorder.Log.Debug("verdicts could not be sent to a peer", "peer", name, "error", err.Error())
	}
}

// serveVerdicts merges a peer's verdicts and passes on those that were not known here.
func (c *Cluster) serveVerdicts(_ context.Context, from string, in []poison.Verdict) (empty, error) {
	fresh := c.Board.Poison.Merge(in, time.Now())
	if len(fresh) == 0 {
		return empty{}, nil
	}
	if slices.ContainsFunc(fresh, func(v poison.Verdict) bool { return v.Part != nil && v.Lifted }) {
		c.judgePartsSoon()
	}
	for i := range fresh {
		v := &fresh[i]
		c.Recorder.CountVerdict(v)
		c.Recorder.Log.Warn("verdict on a call received", "call", v.Request.String(), "part", v.PartID(), "lifted", v.Lifted, "count", v.Count,
			"age_s", v.Age.Seconds(), "peer", from)
	}
	if slices.ContainsFunc(fresh, func(v poison.Verdict) bool { return !containsVerdict(in, v) }) {
		from = "" // The peer also gets verdicts that supersede its own.
	}
	c.sendVerdicts(fresh, from)
	return empty{}, nil
}

// containsVerdict reports whether a list has a verdict, of whatever age.
func containsVerdict(list []poison.Verdict, v poison.Verdict) bool {
	return slices.ContainsFunc(list, func(other poison.Verdict) bool {
		return other.Request == v.Request && other.Count == v.Count && other.Lifted == v.Lifted
	})
}

// syncVerdicts sends all verdicts to a peer that holds different ones. The peer does the
// same, and both end with the union.
func (c *Cluster) syncVerdicts(from string, theirs uint64) {
	now := time.Now()
	if c.Board.Poison.Digest(now) == theirs {
		return
	}
	verdicts := c.Board.Poison.Verdicts(now)
	if len(verdicts) == 0 || !c.maySendAll(c.verdictsSentAt, from, now) {
		return
	}
	go c.sendVerdictsTo(from, verdicts)
}
