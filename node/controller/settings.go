// Package controller holds the loops that keep the blackboard up to date: each
// reads something outside, or one table, and writes one table. Every controller
// has a Run that ends with its context.
package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// SettingsSource publishes settings. It is read only.
type SettingsSource interface {
	// Config returns what changed in the settings after a revision; zero reads the
	// whole. With wait above zero it waits that long for a change.
	Config(ctx context.Context, since int64, wait time.Duration) (settings.Changes, error)
}

// Settings adopts revisions: from the configuration service, if this daemon is
// one of those that watch it, and from peers.
type Settings struct {
	Board    *blackboard.Blackboard
	Source   SettingsSource
	Recorder *telemetry.Recorder
	// Parse checks the parts of a revision whole and resolves them.
	Parse func(parts map[string][]byte) (*settings.Tree, error)
	// Watch is how long a watch is held; zero means defaultHold.
	MaxHold time.Duration
	// Watches tells whether this daemon is one of the few that watch the service.
	ShouldWatch func() bool
	// Adopted is called after each adoption.
	OnAdopt func(*blackboard.SettingsView)
}

// The pace of reads. A watch is held for defaultHold; after a failure the daemon
// waits a random part of a doubling time, so that the end of an outage does not
// bring all daemons at once. It stays short: a change has to be in force within two
// seconds, and only a few daemons of each data centre read. A daemon that does not watch reads once in a while
// all the same, in case that all its peers are wrong.
const (
	defaultHold          = 30 * time.Second
	readTimeout          = 5 * time.Second
	backoffInitial       = 250 * time.Millisecond
	backoffMax           = time.Second
	idleCheckInterval    = time.Second
	fallbackReadInterval = 5 * time.Minute
)

// Run reads and watches until ctx ends.
func (c *Settings) Run(ctx context.Context) {
	backoff := backoffInitial
	lastRead := time.Time{}
	for ctx.Err() == nil {
		if !c.ShouldWatch() && time.Since(lastRead) < fallbackReadInterval && c.Board.Settings.Current() != nil {
			Sleep(ctx, idleCheckInterval)
			continue
		}
		err := c.read(ctx)
		lastRead = time.Now()
		if err == nil {
			backoff = backoffInitial
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, settings.ErrNotNewer) {
			c.Recorder.Log.Info("no settings are published yet", "retry_in", backoff.String())
			Sleep(ctx, rand.N(backoff))
			backoff = min(2*backoff, backoffMax)
			continue
		}
		if backoff == backoffInitial {
			c.Recorder.Log.Warn("the settings could not be read", "error", err.Error(), "retry_in", backoff.String())
		}
		Sleep(ctx, rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
	}
}

// read reads the whole at first, and then watches for what changes.
func (c *Settings) read(ctx context.Context) error {
	since, wait := int64(0), time.Duration(0)
	if view := c.Board.Settings.Current(); view != nil {
		since = view.Revision
		if c.ShouldWatch() {
			wait = defaultHold
			if c.MaxHold > 0 {
				wait = randomHold(c.MaxHold)
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	changes, err := c.Source.Config(ctx, since, wait)
	if err != nil {
		c.Recorder.Metrics.PlatformRead.WithLabelValues("configuration", "failed").Inc()
		return err
	}
	c.Recorder.Metrics.PlatformRead.WithLabelValues("configuration", "read").Inc()
	err = c.Apply(changes, "configuration service")
	if errors.Is(err, settings.ErrRevisionGap) {
		return c.readFull(ctx)
	}
	if err != nil && wait == 0 {
		// Nothing to watch for yet: a first read that is not good is retried.
		return err
	}
	if err == nil || errors.Is(err, settings.ErrNotNewer) && wait > 0 {
		return c.delayAfterStaleAnswer(ctx, changes, since)
	}
	return err
}

// paceAfter keeps a service that answers watches at once with nothing new, as a
// stale one does, from being asked without a pause.
func (c *Settings) delayAfterStaleAnswer(ctx context.Context, changes settings.Changes, since int64) error {
	if changes.Revision <= since {
		Sleep(ctx, idleCheckInterval)
	}
	return nil
}

func (c *Settings) readFull(ctx context.Context) error {
	changes, err := c.Source.Config(ctx, 0, 0)
	if err != nil {
		return err
	}
	return c.Apply(changes, "configuration service")
}

// Offer puts changes in force if they lead to a newer revision and the whole of
// it passes the check. What is in force stays otherwise.
func (c *Settings) Apply(changes settings.Changes, from string) error {
	base := settings.Snapshot{}
	if view := c.Board.Settings.Current(); view != nil {
		base = view.Snapshot
	}
	next, err := base.Apply(changes)
	if err != nil {
		return err
	}
	start := time.Now()
	tree, err := c.Parse(partData(next))
	c.Recorder.Metrics.SettingsLag.Observe(time.Since(start).Seconds())
	if err != nil {
		c.reject(next.Revision, from, err)
		return err
	}
	view := &blackboard.SettingsView{Tree: tree, Revision: next.Revision, Digest: next.Digest(), Adopted: time.Now(), Snapshot: next}
	if !c.Board.Settings.Adopt(view) {
		return settings.ErrNotNewer
	}
	c.Recorder.Metrics.Revision.Set(float64(next.Revision))
	c.Recorder.Reach(blackboard.StageSettings)
	c.Recorder.Record(decision.Record{Kind: decision.KindSettings, Outcome: "adopted", Revision: next.Revision,
		Reason: fmt.Sprintf("from %s, %d parts, %d accounts, checked in %v", from, len(next.Parts), len(tree.Accounts()), time.Since(start).Round(time.Millisecond))})
	c.OnAdopt(view)
	return nil
}

// reject records a revision that is not adopted, once.
func (c *Settings) reject(revision int64, from string, err error) {
	if c.Board.Settings.Rejected().Revision == revision {
		return
	}
	c.Board.Settings.Reject(blackboard.Rejection{Revision: revision, Reason: err.Error(), At: time.Now()})
	c.Recorder.Record(decision.Record{Kind: decision.KindSettings, Outcome: "rejected", Revision: revision, Reason: "from " + from + ": " + err.Error()})
}

func partData(s settings.Snapshot) map[string][]byte {
	contents := make(map[string][]byte, len(s.Parts))
	for key, part := range s.Parts {
		contents[key] = part.Data
	}
	return contents
}

// Sleep waits for d or the end of ctx.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
