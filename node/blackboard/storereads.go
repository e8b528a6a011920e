package blackboard

import (
	"context"
	"sync/atomic"
	"time"

	"doorstack.dev/core/membership"
	"doorstack.dev/core/watch"
)

// StoreReadTable holds what decides whether this daemon reads the platform's store: whether it is one of
// the daemons that watch it, and whether the others can rely on those.
type StoreReadTable struct {
	mu       Mutex
	coverage watch.Coverage
	// due is closed, and replaced, when the coverage changes so that the store has to be read.
	due chan struct{}
	// choice is the last result of Blackboard.WatchesStore.
	choice atomic.Pointer[watchChoice]
}

// watchChoice is whether this daemon is chosen to watch, as of a view of the members.
type watchChoice struct {
	view    *MembersView
	watches bool
}

func newStoreReadTable() *StoreReadTable {
	return &StoreReadTable{mu: NewMutex(RankStoreReads), due: make(chan struct{})}
}

// WithCoverage calls f with the coverage under the table's lock, and wakes Wait if the store has to be read
// from then on. f must not retain the coverage.
func (t *StoreReadTable) WithCoverage(now time.Time, f func(*watch.Coverage)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.coverage.MustRead(now)
	f(&t.coverage)
	if !before && t.coverage.MustRead(now) {
		close(t.due)
		t.due = make(chan struct{})
	}
}

// Wait waits until the time d has passed, ctx ends, or the store begins to have to be read in place of the daemons
// that watch it.
func (t *StoreReadTable) Wait(ctx context.Context, d time.Duration) {
	t.mu.Lock()
	due, mustRead := t.due, t.coverage.MustRead(time.Now())
	t.mu.Unlock()
	if mustRead {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-due:
	}
}

// WatchesStore reports whether this daemon is one of the few that watch the store, given the live
// members that it knows.
func (b *Blackboard) WatchesStore() bool {
	view := b.Members.View()
	if last := b.StoreReads.choice.Load(); last != nil && last.view == view {
		return last.watches
	}
	next := &watchChoice{view, chosenToWatch(b.Self.Name, view.Members)}
	b.StoreReads.choice.Store(next)
	return next.watches
}

// MustReadStore reports whether this daemon has to read the store: it watches the store, or cannot rely on the
// daemons that do.
func (b *Blackboard) MustReadStore() bool {
	if b.WatchesStore() {
		return true
	}
	mustRead, now := false, time.Now()
	b.StoreReads.WithCoverage(now, func(c *watch.Coverage) { mustRead = c.MustRead(now) })
	return mustRead
}

// RecordStoreRead records that this daemon has read the store.
func (b *Blackboard) RecordStoreRead(at time.Time) {
	if b.WatchesStore() {
		b.StoreReads.WithCoverage(at, func(c *watch.Coverage) { c.RecordWatcherRead(at) })
	}
}

// chosenToWatch reports whether the daemon self is one of those that watch. Members on hosts with much processor
// capacity (strong ones) are preferred.
func chosenToWatch(self string, members []membership.Member) bool {
	var living []membership.Member
	for _, m := range members {
		if m.State == membership.Alive || m.Name == self {
			living = append(living, m)
		}
	}
	strong := map[string]bool{}
	for _, m := range membership.StrongMembers(living) {
		strong[m.Name] = true
	}
	watchers := make([]watch.Member, 0, len(living))
	for _, m := range living {
		watchers = append(watchers, watch.Member{Name: m.Name, DataCentre: m.DataCentre, Strong: strong[m.Name]})
	}
	return watch.ShouldWatch(self, watchers)
}
