package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// HostSource reads the host list that the platform publishes.
type HostSource interface {
	// Hosts returns the changes of the host list after revision since; zero reads the whole list.
	Hosts(ctx context.Context, since int64) (hostlist.List, error)
}

// HostList keeps the host list, and with it the list of targets, up to date on platforms that
// publish both as one list.
type HostList struct {
	Board    *blackboard.Blackboard
	Source   HostSource
	Recorder *telemetry.Recorder
	// Interval is the shortest mean time between reads; larger fleets read less often.
	Interval time.Duration
}

// HostListInterval is the usual time between reads of the host list. The interval is at least
// hostListIntervalPerHost for each listed daemon, so that all daemons together make some 125 reads
// a second at most. A target that leaves receives no new requests after the next read at the
// latest, and often earlier because of its own load report.
const (
	HostListInterval        = 2 * time.Second
	hostListIntervalPerHost = 8 * time.Millisecond
)

// Run reads the list until ctx ends. After a failed read the last list stays in force.
func (c *HostList) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Refresh(ctx)
		_, listed := c.Board.Members.AliveNames()
		pause := max(c.Interval, time.Duration(listed)*hostListIntervalPerHost)
		// A random delay spreads the daemons' reads over time.
		Sleep(ctx, pause/2+rand.N(pause))
	}
}

// Refresh reads the changes of the list once and puts them in force. A failure is logged and
// counted.
func (c *HostList) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	before, _ := c.Board.Members.Hosts()
	next, err := c.readChanges(ctx, before)
	if err != nil {
		c.Recorder.Metrics.PlatformReads.WithLabelValues("hosts", "failed").Inc()
		c.Recorder.Log.Warn("failed to read the host list", "error", err.Error())
		return
	}
	c.Recorder.Metrics.PlatformReads.WithLabelValues("hosts", "read").Inc()
	c.Board.Members.SetHosts(next, time.Now())
	if next.Revision != before.Revision || before.Revision == 0 {
		c.Board.SyncTargets()
	}
}

// readChanges reads the changes after the given list, and returns the list with them applied. If
// they do not start from the given list, it reads the whole list.
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
