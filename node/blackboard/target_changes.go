package blackboard

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
)

// A change of a few targets is applied to these alone: applying the whole list takes as long as the pools are
// large, and the larger a fleet, the more often its targets change.

// maxSingleChanges is how many changes are applied one by one. Each moves the targets after it in their list, so
// that for more changes, such as the rest of a long list, applying the whole list costs less.
const maxSingleChanges = 24

// SyncChanged applies the changed entries of targets to the list that Sync applied before, and reports whether it
// could. If not, it has changed nothing, and Sync has to apply the whole list.
func (t *TargetTable) SyncChanged(changed []hostlist.Host, tree *settings.Tree, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tree != tree || len(changed) > maxSingleChanges {
		return false
	}
	for i := range changed {
		if !t.mayApply(&changed[i]) {
			return false
		}
	}
	for i := range changed {
		t.applyChange(&changed[i], at)
	}
	return true
}

// mayApply reports whether an entry can be applied alone: it is no evacuation, which concerns other targets, and
// its pool is known and the same as before.
func (t *TargetTable) mayApply(h *hostlist.Host) bool {
	if hostlist.IsEvacuationID(h.ID) {
		return false
	}
	pool := t.tree.Pool(h.Pool)
	if h.State == hostlist.Gone || h.Role != hostlist.RoleTarget || pool == nil {
		return true // It is removed.
	}
	p, s := t.pools[pool.Name], t.byID[h.ID]
	return p != nil && (s == nil || s.pool == p)
}

// applyChange applies the changed entry of a target.
func (t *TargetTable) applyChange(h *hostlist.Host, at time.Time) {
	before := t.byID[h.ID]
	if before != nil {
		before.pool.remove(before)
		delete(t.byID, h.ID)
	}
	pool := t.tree.Pool(h.Pool)
	if h.State == hostlist.Gone || h.Role != hostlist.RoleTarget || pool == nil {
		return
	}
	p := t.pools[pool.Name]
	s, coldFor := t.updateState(before, h, p)
	position, _ := slices.BinarySearchFunc(p.targets, h.ID, func(v routing.Target, id string) int { return cmp.Compare(v.ID, id) })
	p.insert(position, s, p.newView(h))
	t.byID[h.ID] = s
	t.recordCold(s, coldFor, at)
	t.applyNotices(s, at)
	s.refresh(at)
}

// insert adds a target at a position, with its view for routing.
func (p *targetPool) insert(position int, s *targetState, view routing.Target) {
	p.targets = slices.Insert(p.targets, position, view)
	p.states = slices.Insert(p.states, position, s)
	s.pool = p
	p.reindex(position)
}

// remove removes a target from the pool. Calls that have not ended go on with its state, which routing no longer
// sees.
func (p *targetPool) remove(s *targetState) {
	position := s.index
	s.pool, s.index = &targetPool{kind: p.kind, targets: []routing.Target{p.targets[position]}}, 0
	delete(p.index, s.id)
	p.targets = slices.Delete(p.targets, position, position+1)
	p.states = slices.Delete(p.states, position, position+1)
	p.reindex(position)
}

// reindex records the positions of the targets from a position on.
func (p *targetPool) reindex(from int) {
	for i := from; i < len(p.states); i++ {
		p.states[i].index = i
		p.index[p.states[i].id] = i
	}
}
