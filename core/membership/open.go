package membership

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/core/rendezvous"
)

// NewOpenTable returns a table of an open fleet, which knows only its own daemon.
func NewOpenTable(own Host, incarnation int64) *Table {
	t := NewTable(own.Name, incarnation)
	t.openFleet, t.selfHost = true, own
	t.members[own.Name] = &Member{Host: own, Incarnation: incarnation, StartIncarnation: incarnation}
	return t
}

// Introduction is the rumor by which a daemon of an open fleet makes itself known.
func (t *Table) Introduction() Rumor {
	return Rumor{
		Name: t.self, Incarnation: t.incarnation, State: Alive,
		Address: t.selfHost.Address, DataCentre: t.selfHost.DataCentre, Region: t.selfHost.Region, Cores: t.selfHost.Cores,
	}
}

// Everybody lists all that is known of an open fleet, for a daemon that lacks some.
func (t *Table) AllRumors() []Rumor {
	rumors := []Rumor{t.Introduction()}
	for name, m := range t.members {
		if name != t.self {
			rumors = append(rumors, m.asRumor())
		}
	}
	return rumors
}

func (m *Member) asRumor() Rumor {
	return Rumor{
		Name: m.Name, Incarnation: m.Incarnation, State: m.State,
		Address: m.Address, DataCentre: m.DataCentre, Region: m.Region, Cores: m.Cores,
	}
}

// Digest identifies who is alive in an open fleet. Daemons with different digests compare
// their Digests.
func (t *Table) Digest() uint64 {
	sum := uint64(0)
	for _, d := range t.BucketDigests() {
		sum += d
	}
	return sum
}

// digestBuckets is the number of parts in which the members of an open fleet are compared: a
// part has some five members of 295 and eight of 520, and the digests of all take half a
// kilobyte, where all members take 25 and 44.
const digestBuckets = 64

// digestKey keeps the scores of a digest apart from others.
const digestKey = "digest"

// Digests identify who is alive in an open fleet, in parts.
func (t *Table) BucketDigests() []uint64 {
	digests := make([]uint64, digestBuckets)
	for name, m := range t.members {
		if name == t.self || m.State == Alive {
			score := rendezvous.Score(digestKey, name)
			digests[score%digestBuckets] += score
		}
	}
	return digests
}

// Differing lists what is known of the members in whose parts a peer's digests differ. When
// both sides have told each other that, both know what either knew.
func (t *Table) DifferingRumors(theirs []uint64) []Rumor {
	if len(theirs) != digestBuckets {
		return t.AllRumors() // The peer's version compares in other parts.
	}
	own := t.BucketDigests()
	return slices.DeleteFunc(t.AllRumors(), func(r Rumor) bool {
		part := rendezvous.Score(digestKey, r.Name) % digestBuckets
		return own[part] == theirs[part]
	})
}

// Lost lists the daemons of an open fleet that died and may come back.
func (t *Table) DeadMembers() []Member {
	var lost []Member
	for _, m := range t.members {
		if m.State == Dead {
			lost = append(lost, *m)
		}
	}
	slices.SortFunc(lost, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return lost
}

// introduce adds a daemon that a rumor of an open fleet tells of.
func (t *Table) addMember(r Rumor) (Rumor, bool) {
	if r.State != Alive || r.Address == "" {
		return Rumor{}, false
	}
	t.members[r.Name] = &Member{
		Host:        Host{Name: r.Name, Address: r.Address, DataCentre: r.DataCentre, Region: r.Region, Cores: r.Cores},
		Incarnation: r.Incarnation,
	}
	t.neighboursStale = true
	return r, true
}

// follow takes over what a newer rumor of an open fleet's daemon changes.
func (t *Table) updateMember(m *Member, r Rumor) {
	m.endedAt, m.expectedSince = time.Time{}, time.Time{}
	if r.Address != "" {
		m.Address, m.DataCentre, m.Region, m.Cores = r.Address, r.DataCentre, r.Region, r.Cores
	}
	t.neighboursStale = true
}

func newer(r Rumor, m *Member) bool {
	if r.Incarnation != m.Incarnation {
		return r.Incarnation > m.Incarnation
	}
	return r.State > m.State
}

// forget drops daemons of an open fleet that ended long ago.
func (t *Table) removeEnded(now time.Time) {
	if !t.openFleet {
		return
	}
	for name, m := range t.members {
		switch {
		case m.State == Alive || name == t.self:
		case m.endedAt.IsZero():
			m.endedAt = now
		case now.Sub(m.endedAt) > ForgetAfter:
			delete(t.members, name)
		}
	}
}
