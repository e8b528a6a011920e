package blackboard

import (
	"container/list"
	"slices"

	"doorstack.dev/core/routing"
	"doorstack.dev/node/target"
)

// PrefixTable records which targets probably have which prompt prefixes cached: those
// that this daemon sent there, corrected by the engines' cache events. Both sources are
// hints, since events arrive late and with gaps.
type PrefixTable struct {
	mu      Mutex
	limit   int
	entries map[uint64]*list.Element
	byUse   *list.List // of *prefixEntry, most recently used first
}

// maxHoldersPerPrefix bounds the targets recorded for one prefix.
const maxHoldersPerPrefix = 4

// prefixEntry holds the targets that have a prefix cached, the most recent last.
type prefixEntry struct {
	hash    uint64
	holders []string
}

func newPrefixTable(limit int) *PrefixTable {
	return &PrefixTable{mu: NewMutex(RankPrefixes), limit: limit, entries: map[uint64]*list.Element{}, byUse: list.New()}
}

// Stored records that a target has prefixes cached.
func (t *PrefixTable) Stored(id string, hashes []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range hashes {
		t.entry(h).add(id)
	}
}

// entry returns the entry of a prefix as the most recently used one. It creates the entry
// if needed and evicts the least recently used entries above the limit; the lock is held.
func (t *PrefixTable) entry(h uint64) *prefixEntry {
	if e := t.entries[h]; e != nil {
		t.byUse.MoveToFront(e)
		return e.Value.(*prefixEntry)
	}
	entry := &prefixEntry{hash: h}
	t.entries[h] = t.byUse.PushFront(entry)
	for len(t.entries) > t.limit {
		last := t.byUse.Back()
		delete(t.entries, last.Value.(*prefixEntry).hash)
		t.byUse.Remove(last)
	}
	return entry
}

// add makes a target the most recent holder and drops the oldest above the limit.
func (e *prefixEntry) add(id string) {
	e.holders = slices.DeleteFunc(e.holders, func(h string) bool { return h == id })
	e.holders = append(e.holders, id)
	if len(e.holders) > maxHoldersPerPrefix {
		e.holders = e.holders[1:]
	}
}

// Evicted records that a target no longer has prefixes cached.
func (t *PrefixTable) Evicted(id string, hashes []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range hashes {
		e := t.entries[h]
		if e == nil {
			continue
		}
		entry := e.Value.(*prefixEntry)
		entry.holders = slices.DeleteFunc(entry.holders, func(holder string) bool { return holder == id })
		if len(entry.holders) == 0 {
			delete(t.entries, h)
			t.byUse.Remove(e)
		}
	}
}

// Holder is a target that probably has the first Tokens tokens of a prompt cached.
type Holder struct {
	Target string
	Tokens int64
}

// Lookup returns the targets that probably have the longest prefixes of a prompt cached. The
// hashes are those of target.PrefixHashes, the shortest prefix first.
func (t *PrefixTable) Lookup(hashes []uint64) []Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	var holders []Holder
	for i, h := range slices.Backward(hashes) {
		e := t.entries[h]
		if e == nil {
			continue
		}
		for _, id := range e.Value.(*prefixEntry).holders {
			known := slices.ContainsFunc(holders, func(x Holder) bool { return x.Target == id })
			if !known {
				holders = append(holders, Holder{Target: id, Tokens: target.PrefixTokens(i)})
			}
		}
		if len(holders) >= maxHoldersPerPrefix {
			break
		}
	}
	return holders
}

// cachedPrefixes converts holders to positions in a list of targets.
func cachedPrefixes(holders []Holder, index map[string]int) []routing.CachedPrefix {
	var cached []routing.CachedPrefix
	for _, h := range holders {
		if i, ok := index[h.Target]; ok {
			cached = append(cached, routing.CachedPrefix{Target: i, Tokens: h.Tokens})
		}
	}
	return cached
}
