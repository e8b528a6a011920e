package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// HostSource publishes the host list. It is read only.
type HostSource interface {
	// Hosts returns the whole host list, or what differs from a revision of it.
	Hosts(ctx context.Context, since int64) (hostlist.List, error)
}

// HostList keeps the host list and, with it, the list of targets.
type HostList struct {
	Board    *blackboard.Blackboard
	Source   HostSource
	Recorder *telemetry.Recorder
	// Every is the pause between reads.
	Interval time.Duration
}

// HostListInterval is the usual pause between reads of the host list, and hostListIntervalPerHost
// what each listed daemon adds to it, so that the reads of all daemons together
// stay at some 125 a second however many there are. A target that leaves gets
// nothing new from then on at the latest, and often earlier by its own report.
const (
	HostListInterval        = 2 * time.Second
	hostListIntervalPerHost = 8 * time.Millisecond
)

// Run reads the list until ctx ends. A list that cannot be read is kept.
func (c *HostList) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Refresh(ctx)
		_, listed := c.Board.Members.Living()
		pause := max(c.Interval, time.Duration(listed)*hostListIntervalPerHost)
		// A random pause spreads the daemons' reads over time.
		Sleep(ctx, pause/2+rand.N(pause))
	}
}

// Refresh reads once what differs in the list.
func (c *HostList) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	before, _ := c.Board.Members.Hosts()
	next, err := c.readChanges(ctx, before)
	if err != nil {
		c.Recorder.Metrics.PlatformRead.WithLabelValues("hosts", "failed").Inc()
		c.Recorder.Log.Warn("the host list could not be read", "error", err.Error())
		return
	}
	c.Recorder.Metrics.PlatformRead.WithLabelValues("hosts", "read").Inc()
	c.Board.Members.SetHosts(next, time.Now())
	if next.Revision != before.Revision || before.Revision == 0 {
		c.Board.SyncTargets()
	}
}

func (c *HostList) readChanges(ctx context.Context, before hostlist.List) (hostlist.List, error) {
	change, err := c.Source.Hosts(ctx, before.Revision)
	if err != nil {
		return before, err
	}
	next, err := before.Apply(change)
	if err == nil {
		return next, nil
	}
	return c.Source.Hosts(ctx, 0)
}
