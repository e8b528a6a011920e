package cluster

import (
	"context"
	"slices"
	"time"

	"doorstack.dev/core/poison"
	"doorstack.dev/core/rendezvous"
	"doorstack.dev/node/peer"
)

// The same request comes to any daemon, so the ends of targets under it are counted in one
// place: at its keepers, the first daemons of its rendezvous order. Few ends lead to anything,
// most are told for sound requests that stood beside; so an end costs a frame to each keeper,
// whatever the size of the fleet, and only verdicts, which are rare, go to all.

const (
	// keepers is how many daemons count the ends under a request. Two of them may be dead or
	// cut off and not be known to be.
	trackerCount = 3
	// crashTimeout bounds a report to a keeper, which may have no link yet.
	crashTimeout = time.Second
	// trialTimeout bounds the question for a trial. Its caller waits, and is refused otherwise.
	trialTimeout = 100 * time.Millisecond
)

// Crashed implements requestcontrol.CrashReporter.
func (c *Cluster) NotifyCrash(crash poison.Crash) {
	living, _ := c.Board.Members.Living()
	for _, name := range rendezvous.Top(crash.Request.String(), living, trackerCount) {
		if name != c.Board.Self.Name { // Its own table has it already.
			go c.reportCrash(name, crash)
		}
	}
}

func (c *Cluster) reportCrash(keeper string, crash poison.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	if err := c.Hub.Notify(ctx, c.address(keeper), peer.KindCrash, crash); err != nil {
		c.Recorder.Log.Info("an end under a call could not be told to a peer", "peer", keeper, "call", crash.Request.String(),
			"target", crash.Target, "error", err.Error())
	}
}

// serveCrash counts an end that another daemon saw.
func (c *Cluster) serveCrash(_ context.Context, from string, in poison.Crash) (empty, error) {
	if found := c.Board.Poison.Crashed(in, time.Now()); found.Quarantined {
		v := found.Verdict
		c.Recorder.Log.Warn("a call is quarantined", "call", in.Request.String(), "target", in.Target, "count", v.Count,
			"reason", "the last of several targets ended under it", "peer", from)
		c.BroadcastVerdict(v)
	}
	return empty{}, nil
}

// MayTry implements requestcontrol.CrashReporter: the first keeper decides, so that one daemon
// of all tries the request.
func (c *Cluster) RequestTrial(ctx context.Context, request poison.Key) bool {
	living, _ := c.Board.Members.Living()
	first := rendezvous.Owner(request.String(), living)
	if first == c.Board.Self.Name {
		return c.Board.Poison.Try(request, time.Now())
	}
	granted := false
	if err := c.call(ctx, first, peer.KindTrial, request, &granted, trialTimeout); err != nil || !granted {
		return false // The request is refused, and the next one asks again.
	}
	c.Board.Poison.Grant(request, time.Now())
	return true
}

// serveTrial decides about a trial that another daemon would make.
func (c *Cluster) serveTrial(_ context.Context, from string, request poison.Key) (bool, error) {
	granted := c.Board.Poison.Try(request, time.Now())
	if granted {
		c.Recorder.Log.Info("a quarantined call is tried once more", "call", request.String(), "peer", from)
	}
	return granted, nil
}

// Spread implements requestcontrol.CrashReporter.
func (c *Cluster) BroadcastVerdict(v poison.Verdict) { c.sendVerdicts([]poison.Verdict{v}, "") }

// tellVerdicts tells verdicts over all links but the one that they came over. What is lost is
// repaired when heartbeats are compared.
func (c *Cluster) sendVerdicts(verdicts []poison.Verdict, from string) {
	linked := c.Hub.LinkedPeers()
	for _, name := range c.Board.Members.Links(time.Now()) {
		if name != from && slices.Contains(linked, name) {
			go c.sendVerdictsTo(name, verdicts)
		}
	}
}

func (c *Cluster) sendVerdictsTo(name string, verdicts []poison.Verdict) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	if err := c.Hub.Notify(ctx, c.address(name), peer.KindVerdicts, verdicts); err != nil {
		c.Recorder.Log.Debug("verdicts could not be told to a peer", "peer", name, "error", err.Error())
	}
}

// serveVerdicts takes in what a peer holds, and passes on what was not known here.
func (c *Cluster) serveVerdicts(_ context.Context, from string, in []poison.Verdict) (empty, error) {
	news := c.Board.Poison.Learn(in, time.Now())
	if len(news) == 0 {
		return empty{}, nil
	}
	for _, v := range news {
		c.Recorder.Log.Warn("a verdict on a call is learned", "call", v.Request.String(), "lifted", v.Lifted, "count", v.Count,
			"age_s", v.Age.Seconds(), "peer", from)
	}
	if slices.ContainsFunc(news, func(v poison.Verdict) bool { return !slices.Contains(in, v) }) {
		from = "" // What this daemon knows better goes back as well.
	}
	c.sendVerdicts(news, from)
	return empty{}, nil
}

// compareVerdicts tells a peer all that is held here, if the peer holds something else. The peer
// does the same, so both end with the union.
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
