package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/platform"
	"doorstack.dev/node/telemetry"
)

// Hosts keeps the host list and, with it, the list of targets.
type Hosts struct {
	Board    *blackboard.Blackboard
	Platform *platform.Client
	Record   *telemetry.Recorder
	// Every is the pause between reads.
	Every time.Duration
}

// HostsEvery is the usual pause between reads of the host list. A target that
// leaves gets nothing new from then on at the latest, and often earlier by its
// own report.
const HostsEvery = 2 * time.Second

// Run reads the list until ctx ends. A list that cannot be read is kept.
func (c *Hosts) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Refresh(ctx)
		// A random pause spreads the daemons' reads over time.
		sleep(ctx, c.Every/2+rand.N(c.Every))
	}
}

// Refresh reads the list once.
func (c *Hosts) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := c.Platform.Hosts(ctx)
	if err != nil {
		c.Record.Metrics.PlatformRead.WithLabelValues("hosts", "failed").Inc()
		c.Record.Log.Warn("the host list could not be read", "error", err.Error())
		return
	}
	c.Record.Metrics.PlatformRead.WithLabelValues("hosts", "read").Inc()
	c.Board.Members.SetHosts(list, time.Now())
	SyncTargets(c.Board)
}

// SyncTargets puts the hosts and the settings in force together.
func SyncTargets(board *blackboard.Blackboard) {
	view := board.Settings.Current()
	if view == nil {
		return
	}
	list, _ := board.Members.Hosts()
	board.Targets.Sync(list.Hosts, view.Tree, time.Now())
	board.Queues.WakeAll()
}
