package blackboard

import (
	"time"

	"doorstack.dev/core/hostlist"
)

// DirectoryTable holds what the platform's store and the peers say of targets, where
// the platform publishes entries rather than a list.
type DirectoryTable struct {
	mu    Mutex
	table *hostlist.Table
}

func newDirectoryTable() *DirectoryTable {
	return &DirectoryTable{mu: NewMutex(RankDirectory), table: hostlist.NewTable()}
}

// View runs f on the table under its lock. f must not keep it.
func (t *DirectoryTable) WithLock(f func(*hostlist.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.table)
}

// Revision is the position up to which all facts are known.
func (t *DirectoryTable) Revision() hostlist.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Revision()
}

// Incomplete tells whether only a part of the list is known.
func (t *DirectoryTable) Incomplete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Incomplete()
}

// Since lists the facts above a position, for a peer.
func (t *DirectoryTable) Since(revision hostlist.Position) hostlist.Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Since(revision)
}

// MergeFacts takes facts in and puts a changed list in force. It tells whether the
// list has changed.
func (b *Blackboard) MergeUpdate(f hostlist.Update, at time.Time) bool {
	return b.updateDirectory(at, func(t *hostlist.Table) bool { return t.Merge(f, at) })
}

// TickDirectory ends doubts about targets whose entries ran out.
func (b *Blackboard) ConfirmRemovals(at time.Time) bool {
	return b.updateDirectory(at, func(t *hostlist.Table) bool { return t.Tick(at) })
}

func (b *Blackboard) updateDirectory(at time.Time, change func(*hostlist.Table) bool) bool {
	changed := false
	b.Directory.WithLock(func(t *hostlist.Table) { changed = change(t) })
	if changed || !b.Members.HasHosts() {
		b.publishDirectory(at)
	}
	return changed
}

// syncDirectory takes the directory's list to the tables that work with it.
func (b *Blackboard) publishDirectory(at time.Time) {
	list := hostlist.List{AsOf: at}
	b.Directory.WithLock(func(t *hostlist.Table) { list.Hosts, list.Revision = t.Hosts(), int64(t.Revision()) })
	b.Members.SetTargets(list, at)
	b.SyncTargets()
}
