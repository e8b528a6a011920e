package membership

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/core/rendezvous"
)

// NewOpenTable returns a table of an open fleet, in which only this daemon is known.
func NewOpenTable(own Host, incarnation int64) *Table {
	t := NewTable(own.Name, incarnation)
	t.openFleet, t.selfHost = true, own
	t.members[own.Name] = &Member{Host: own, Incarnation: incarnation, StartIncarnation: incarnation}
	return t
}

// Introduction returns the rumor by which a daemon announces itself to an open fleet.
func (t *Table) Introduction() Rumor {
	return Rumor{
		Name: t.self, Incarnation: t.incarnation, State: Alive,
		Address: t.selfHost.Address, DataCentre: t.selfHost.DataCentre, Region: t.selfHost.Region, Cores: t.selfHost.Cores,
	}
}

// AllRumors returns a rumor about each known and former member of an open fleet, to bring a peer up to date.
func (t *Table) AllRumors() []Rumor {
	rumors := []Rumor{t.Introduction()}
	for name, m := range t.members {
		if name != t.self {
			rumors = append(rumors, m.asRumor())
		}
	}
	for _, f := range t.former {
		rumors = append(rumors, f.rumor)
	}
	return rumors
}

// asRumor returns the rumor that tells a peer of the member's state.
func (m *Member) asRumor() Rumor {
	return Rumor{
		Name: m.Name, Incarnation: m.Incarnation, State: m.State,
		Address: m.Address, DataCentre: m.DataCentre, Region: m.Region, Cores: m.Cores,
	}
}

// Digest returns a checksum of the names of the living members of an open fleet. Two daemons
// whose digests differ compare their BucketDigests.
func (t *Table) Digest() uint64 {
	sum := uint64(0)
	for _, d := range t.BucketDigests() {
		sum += d
	}
	return sum
}

// digestBuckets is the number of buckets into which the members of an open fleet are hashed
// for comparison. In a fleet of 295, a bucket has some five members, and sending all members
// takes 25 kB; in a fleet of 520, eight members and 44 kB. The digests take half a kilobyte.
const digestBuckets = 64

// digestKey is the rendezvous key by which members are hashed for digests.
const digestKey = "digest"

// BucketDigests returns a checksum of the names of the living members for each bucket. The result must not
// be changed.
func (t *Table) BucketDigests() []uint64 {
	if t.digests != nil && t.digestsVersion == t.version {
		return t.digests
	}
	digests := make([]uint64, digestBuckets)
	for name, m := range t.members {
		if name == t.self || m.State == Alive {
			score := rendezvous.Score(digestKey, name)
			digests[score%digestBuckets] += score
		}
	}
	t.digests, t.digestsVersion = digests, t.version
	return digests
}

// DifferingRumors returns rumors about all members in the buckets where a peer's digests differ
// from this table's. Once two daemons have exchanged these, each knows the living members that
// either knew.
func (t *Table) DifferingRumors(theirs []uint64) []Rumor {
	if len(theirs) != digestBuckets {
		return t.AllRumors() // The peer's version uses another number of buckets.
	}
	own := t.BucketDigests()
	return slices.DeleteFunc(t.AllRumors(), func(r Rumor) bool {
		bucket := rendezvous.Score(digestKey, r.Name) % digestBuckets
		return own[bucket] == theirs[bucket]
	})
}

// DeadMembers returns the members that were declared dead and may come back, sorted by name.
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

// addMember adds an unknown daemon of an open fleet that an alive rumor announces.
func (t *Table) addMember(r Rumor) (Rumor, bool) {
	if r.State != Alive {
		t.addFormer(r)
		return Rumor{}, false
	}
	if r.Address == "" {
		return Rumor{}, false
	}
	delete(t.former, r.Name)
	t.members[r.Name] = &Member{
		Host:        Host{Name: r.Name, Address: r.Address, DataCentre: r.DataCentre, Region: r.Region, Cores: r.Cores},
		Incarnation: r.Incarnation,
	}
	t.neighboursStale = true
	t.version++
	return r, true
}

// formerMember is a daemon that had ended when this daemon learned of it.
type formerMember struct {
	rumor Rumor
	// learnedAt is the time of the first Tick since then.
	learnedAt time.Time
}

// addFormer remembers an unknown daemon that has ended. A daemon does so only until ForgetAfter from its start: others that
// have run for longer would otherwise learn again from each other what they have forgotten.
func (t *Table) addFormer(r Rumor) {
	if !t.mature {
		t.former[r.Name] = &formerMember{rumor: r}
	}
}

// updateMember updates the rest of a member of an open fleet from a newer rumor about it.
func (t *Table) updateMember(m *Member, r Rumor) {
	m.endedAt, m.expectedSince = time.Time{}, time.Time{}
	if r.Address != "" {
		m.Address, m.DataCentre, m.Region, m.Cores = r.Address, r.DataCentre, r.Region, r.Cores
	}
	t.neighboursStale = true
}

// newer reports whether a rumor is newer than what is known of its member.
func newer(r Rumor, m *Member) bool {
	if r.Incarnation != m.Incarnation {
		return r.Incarnation > m.Incarnation
	}
	return r.State > m.State
}

// removeEnded removes members of an open fleet that died or left, and former ones that were learned of, more than
// ForgetAfter ago.
func (t *Table) removeEnded(now time.Time) {
	if !t.openFleet {
		return
	}
	if t.firstTick.IsZero() {
		t.firstTick = now
	}
	t.mature = now.Sub(t.firstTick) > ForgetAfter
	for name, f := range t.former {
		switch {
		case f.learnedAt.IsZero():
			f.learnedAt = now
		case now.Sub(f.learnedAt) > ForgetAfter:
			delete(t.former, name)
		}
	}
	for name, m := range t.members {
		switch {
		case m.State == Alive || name == t.self:
		case m.endedAt.IsZero():
			m.endedAt = now
		case now.Sub(m.endedAt) > ForgetAfter:
			delete(t.members, name)
			t.version++
		}
	}
}
