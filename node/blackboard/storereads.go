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
	coverage *watch.Coverage
	// dueEarlier is closed, and replaced, when the store has to be read earlier than was known before.
	dueEarlier chan struct{}
	// choice is the last result of Blackboard.WatchesStore.
	choice atomic.Pointer[watchChoice]
}

// watchChoice is whether this daemon is chosen to watch, as of a view of the members.
type watchChoice struct {
	view    *MembersView
	watches bool
}

func newStoreReadTable(self string) *StoreReadTable {
	return &StoreReadTable{
		mu: NewMutex(RankStoreReads), coverage: watch.NewCoverage(self, watch.DefaultHold), dueEarlier: make(chan struct{}),
	}
}

// WithCoverage calls f with the coverage under the table's lock, and wakes Wait if the store has to be read
// earlier than before. f must not retain the coverage.
func (t *StoreReadTable) WithCoverage(now time.Time, f func(*watch.Coverage)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.coverage.Due(now)
	f(t.coverage)
	if t.coverage.Due(now).Before(before) {
		close(t.dueEarlier)
		t.dueEarlier = make(chan struct{})
	}
}

// Wait waits until ctx ends, the time d has passed or the store has to be read in place of the daemons that watch it. It may
// return earlier.
func (t *StoreReadTable) Wait(ctx context.Context, d time.Duration) {
	now := time.Now()
	t.mu.Lock()
	earlier, due := t.dueEarlier, t.coverage.Due(now)
	t.mu.Unlock()
	timer := time.NewTimer(min(d, max(due.Sub(now), minWait)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-earlier:
	}
}

// minWait is the shortest wait, so that a caller that does not read although it is due does not loop without a pause.
const minWait = 10 * time.Millisecond

// LastRead returns the latest time at which any daemon is known to have read the store.
func (t *StoreReadTable) LastRead() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coverage.ReadAt()
}

// WatchesStore reports whether this daemon is one of the few that watch the store, given the live
// members that it knows.
func (b *Blackboard) WatchesStore() bool {
	view := b.Members.View()
	if last := b.StoreReads.choice.Load(); last != nil && last.view == view {
		return last.watches
	}
	next := &watchChoice{view, chosenToWatch(b.Self.Name, view.Members)}
	b.StoreReads.WithCoverage(time.Now(), func(c *watch.Coverage) { c.SetDaemons(view.Alive) })
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

// RecordStoreRead records that this daemon has read the store, or could not.
func (b *Blackboard) RecordStoreRead(at time.Time, ok bool) {
	watches := b.WatchesStore()
	b.StoreReads.WithCoverage(at, func(c *watch.Coverage) {
		if ok {
			c.RecordRead(at, watches)
		} else {
			c.RecordFailure(at)
		}
	})
}

// StoreReadAges returns what to tell other daemons of reads of the store.
func (b *Blackboard) StoreReadAges(now time.Time) (ages watch.ReadAges) {
	watches := b.WatchesStore()
	b.StoreReads.WithCoverage(now, func(c *watch.Coverage) { ages = c.Ages(now, watches) })
	return ages
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
