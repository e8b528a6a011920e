// Package controller holds the loops that keep a daemon's state, the blackboard, up to date. Each
// controller reads one outside source, such as the platform's store, the targets or a clock, and
// writes its part of the blackboard, from which requests are decided. Every controller has a
// Run method that returns when its context ends.
package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/strictyaml"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// SettingsSource reads the settings that the platform publishes.
type SettingsSource interface {
	// Config returns the changes of the settings after revision since; zero reads the whole
	// settings. With wait above zero it waits up to that long for a change.
	Config(ctx context.Context, since int64, wait time.Duration) (settings.Changes, error)
}

// Settings puts new revisions of the settings in force. They come from the configuration service,
// which a few daemons watch, and from peers.
type Settings struct {
	Board    *blackboard.Blackboard
	Source   SettingsSource
	Recorder *telemetry.Recorder
	// Parse checks all parts of a revision together and resolves them.
	Parse func(parts map[string][]byte) (*settings.Tree, error)
	// MaxHold is the longest time for which a watch waits for a change; zero means
	// DefaultSettingsHold.
	MaxHold time.Duration
	// ShouldWatch reports whether this daemon has to watch the service (see Directory.ShouldWatch).
	ShouldWatch func() bool
	// OnRead is called after each call of the service, and whether it was answered; nil where Source does not call one.
	OnRead func(at time.Time, ok bool)
	// OnAdopt is called after a revision has come into force.
	OnAdopt func(*blackboard.SettingsView)

	mu sync.Mutex
	// unreachable are the paths of the last warning.
	unreachable []string
}

const (
	// DefaultSettingsHold is the time for which a watch waits for a change where MaxHold is zero.
	DefaultSettingsHold = 30 * time.Second
	// readTimeout bounds a read, beyond the time for which a watch waits.
	readTimeout = 5 * time.Second
	// The retry delay after a failure is random, up to a bound that doubles from backoffInitial to
	// backoffMax, so that the daemons do not all return at once at the end of an outage. The bound
	// stays short, since a change has to be in force within two seconds and only a few daemons of
	// each data centre read.
	backoffInitial = 250 * time.Millisecond
	backoffMax     = time.Second
	// idleCheckInterval is how often a daemon that does not watch checks whether it should read,
	// and the least time between two calls that bring no change.
	idleCheckInterval = time.Second
	// fallbackReadInterval is how often a daemon that does not watch reads all the same, in case
	// all its peers are wrong.
	fallbackReadInterval = 5 * time.Minute
)

// Run reads and watches the settings until ctx ends.
func (c *Settings) Run(ctx context.Context) {
	backoff := backoffInitial
	lastRead := time.Time{}
	for ctx.Err() == nil {
		if !c.ShouldWatch() && time.Since(lastRead) < fallbackReadInterval && c.Board.Settings.Current() != nil {
			c.Board.StoreReads.Wait(ctx, idleCheckInterval)
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
			c.Recorder.Log.Warn("failed to read the settings", "error", err.Error(), "retry_in", backoff.String())
		}
		Sleep(ctx, rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
	}
}

// read reads the whole settings if none are in force, and otherwise the changes. A daemon that
// watches asks the service to delay the answer until there is a change.
func (c *Settings) read(ctx context.Context) error {
	since, wait := int64(0), time.Duration(0)
	if view := c.Board.Settings.Current(); view != nil {
		since = view.Revision
		if c.ShouldWatch() {
			wait = DefaultSettingsHold
			if c.MaxHold > 0 {
				wait = randomHold(c.MaxHold)
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	began := time.Now()
	changes, err := c.Source.Config(ctx, since, wait)
	if err != nil {
		c.Recorder.Metrics.PlatformReads.WithLabelValues("configuration", "failed").Inc()
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.recordRead(false)
		}
		return err
	}
	c.Recorder.Metrics.PlatformReads.WithLabelValues("configuration", "read").Inc()
	c.recordRead(true)
	err = c.Apply(changes, "configuration service")
	if errors.Is(err, settings.ErrRevisionGap) {
		return c.readFull(ctx)
	}
	if err != nil && wait == 0 {
		// Not a watch: the caller retries a read whose result cannot be applied.
		return err
	}
	if err == nil || errors.Is(err, settings.ErrNotNewer) && wait > 0 {
		delayAfterStaleAnswer(ctx, changes, since, began)
		return nil
	}
	return err
}

// recordRead reports whether the service has answered a call.
func (c *Settings) recordRead(ok bool) {
	if c.OnRead != nil {
		c.OnRead(time.Now(), ok)
	}
}

// delayAfterStaleAnswer waits if the answer to a call that began at a time holds no newer revision, so
// that a service that answers at once without a change, as a stale replica does, is not called in a
// tight loop. After a watch that was held there is no delay: a change would be read that much later.
func delayAfterStaleAnswer(ctx context.Context, changes settings.Changes, since int64, began time.Time) {
	if changes.Revision <= since {
		Sleep(ctx, idleCheckInterval-time.Since(began))
	}
}

// readFull reads and applies the whole settings.
func (c *Settings) readFull(ctx context.Context) error {
	changes, err := c.Source.Config(ctx, 0, 0)
	if err != nil {
		return err
	}
	return c.Apply(changes, "configuration service")
}

// Apply puts changes in force if they lead to a newer revision that passes Parse as a whole.
// Otherwise the revision in force stays, and the error says why: the changes do not follow on it,
// the revision is not newer, or its content is invalid.
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
	c.Recorder.Metrics.SettingsParse.Observe(time.Since(start).Seconds())
	if err != nil {
		c.reject(next.Revision, from, err)
		return err
	}
	view := &blackboard.SettingsView{Tree: tree, Revision: next.Revision, Digest: next.Digest(), Adopted: time.Now(), Snapshot: next}
	if !c.Board.Settings.Adopt(view) {
		return settings.ErrNotNewer
	}
	c.Recorder.Metrics.SettingsRevision.Set(float64(next.Revision))
	c.Recorder.MarkStage(blackboard.StageSettings)
	c.Recorder.Record(decision.Record{Kind: decision.KindSettings, Outcome: "adopted", Revision: next.Revision,
		Reason: fmt.Sprintf("from %s, %d parts, %d accounts, checked in %v", from, len(next.Parts), len(tree.Accounts()), time.Since(start).Round(time.Millisecond))})
	c.warnOfUnreachablePaths(tree)
	c.warnOfLeftOut(next.Revision, tree.LeftOut())
	c.OnAdopt(view)
	return nil
}

// warnOfUnreachablePaths logs which paths no caller can reach, once until they change.
func (c *Settings) warnOfUnreachablePaths(tree *settings.Tree) {
	paths := tree.UnreachablePaths()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(paths) > 0 && !slices.Equal(paths, c.unreachable) {
		c.Recorder.Log.Warn("no caller can reach some paths: they need an API key, and no account has one", "paths", paths, "remedy", "add accounts with keys, or open the paths")
	}
	c.unreachable = paths
}

// maxLoggedProblems bounds the entries in a line of the log.
const maxLoggedProblems = 20

// warnOfLeftOut logs which entries of a revision are not in force.
func (c *Settings) warnOfLeftOut(revision int64, problems strictyaml.Problems) {
	c.Recorder.Metrics.SettingsLeftOut.Set(float64(len(problems)))
	if len(problems) == 0 {
		return
	}
	c.Recorder.Log.Warn("settings are in force without some of their entries", "revision", revision, "problems", len(problems),
		"first", problems[:min(len(problems), maxLoggedProblems)].Error(), "remedy", "correct the entries")
}

// reject records why a revision was not put in force, once for each revision.
func (c *Settings) reject(revision int64, from string, err error) {
	if c.Board.Settings.Rejected().Revision == revision {
		return
	}
	c.Board.Settings.Reject(blackboard.Rejection{Revision: revision, Reason: err.Error(), At: time.Now()})
	c.Recorder.Record(decision.Record{Kind: decision.KindSettings, Outcome: "rejected", Revision: revision, Reason: "from " + from + ": " + err.Error()})
}

// partData returns the content of a snapshot's parts, by key.
func partData(s settings.Snapshot) map[string][]byte {
	data := make(map[string][]byte, len(s.Parts))
	for key, part := range s.Parts {
		data[key] = part.Data
	}
	return data
}

// Sleep waits until d has passed or ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
