package blackboard

import (
	"time"

	"doorstack.dev/core/hostlist"
)

// DirectoryTable holds the targets known from the platform's store and from peers, on
// platforms that publish single entries rather than a host list.
type DirectoryTable struct {
	mu      Mutex
	table   *hostlist.Table
	version uint64 // rises whenever the table may have changed
}

func newDirectoryTable() *DirectoryTable {
	return &DirectoryTable{mu: NewMutex(RankDirectory), table: hostlist.NewTable()}
}

// WithLock calls f with the table under its lock. f must not retain the table.
func (t *DirectoryTable) WithLock(f func(*hostlist.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.table)
}

// Revision returns the position up to which all updates are known.
func (t *DirectoryTable) Revision() hostlist.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Revision()
}

// Incomplete reports whether only a part of the entries is known.
func (t *DirectoryTable) Incomplete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Incomplete()
}

// Extent returns how much of the store's history is known.
func (t *DirectoryTable) Extent() hostlist.Extent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Extent()
}

// Since returns the changes that a peer may not know.
func (t *DirectoryTable) Since(known hostlist.Extent) hostlist.Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Since(known)
}

// SinceAt is like Since, and returns the version of the directory, which rises with each change.
func (t *DirectoryTable) SinceAt(known hostlist.Extent) (hostlist.Update, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Since(known), t.version
}

// MergeUpdate merges an update into the directory and applies what it changes to the targets. It reports
// whether the list has changed.
func (b *Blackboard) MergeUpdate(update hostlist.Update, at time.Time) bool {
	return b.updateDirectory(at, func(t *hostlist.Table) bool { return t.Merge(update, at) })
}

// ConfirmRemovals applies the removals of targets whose grace period has ended. It reports
// whether the list of targets has changed.
func (b *Blackboard) ConfirmRemovals(at time.Time) bool {
	return b.updateDirectory(at, func(t *hostlist.Table) bool { return t.Tick(at) })
}

// updateDirectory applies a change to the directory, and what it changes to the targets. All targets are
// applied if none were before.
func (b *Blackboard) updateDirectory(at time.Time, change func(*hostlist.Table) bool) bool {
	b.syncMu.Lock()
	defer b.syncMu.Unlock()
	changed := false
	var hosts []hostlist.Host
	b.Directory.WithLock(func(t *hostlist.Table) {
		changed = change(t)
		hosts = t.TakeChanged()
		b.Directory.version++
	})
	first := !b.Members.HasHosts()
	b.Members.MarkTargetsRead(at)
	if changed || first {
		b.applyTargetChanges(hosts, first, at)
	}
	return changed
}

// applyTargetChanges applies changed entries of targets, or all entries if that is needed; syncMu is held.
func (b *Blackboard) applyTargetChanges(hosts []hostlist.Host, all bool, at time.Time) {
	view := b.Settings.Current()
	if view == nil {
		return
	}
	if all || !b.Targets.SyncChanged(hosts, view.Tree, at) {
		b.Targets.Sync(b.ListedHosts(), view.Tree, at)
	}
	b.Queues.WakeAll()
}

// ListedHosts returns the hosts on the list of the platform or, where it publishes single entries, the targets
// and evacuations that are listed, sorted by ID.
func (b *Blackboard) ListedHosts() []hostlist.Host {
	if !b.Members.IsOpenFleet() {
		list, _ := b.Members.Hosts()
		return list.Hosts
	}
	var hosts []hostlist.Host
	b.Directory.WithLock(func(t *hostlist.Table) { hosts = t.Hosts() })
	return hosts
}

// EvacuatedDataCentres returns the data centres whose targets get no new requests, sorted.
func (b *Blackboard) EvacuatedDataCentres() []string {
	var centres []string
	b.Directory.WithLock(func(t *hostlist.Table) { centres = t.EvacuatedCentres() })
	return centres
}
