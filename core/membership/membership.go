// Package membership keeps a daemon's view of the other daemons: the platform's
// host list says who should be there, heartbeats with a few neighbours and the
// rumors that they pass on say who is.
//
// Each daemon keeps links to at most Neighbours others, however large the fleet:
// the next one on a ring, so that everybody is watched by somebody, and a few
// more spread over the ring, so that rumors need few hops. A neighbour that is
// silent for DeadAfter is declared dead by a rumor, which everybody passes on
// once. A daemon that hears of its own death raises its incarnation and says so;
// that repairs both sides of a split when they meet again.
//
// Where the platform lists no daemons, the fleet is open: a daemon is whoever
// introduces itself. Rumors of life then carry an address, the first ones are heard
// from a few seeds, and daemons that were dead for ForgetAfter are forgotten.
//
// The package is a pure state machine: no clock and no socket.
package membership

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/core/rendezvous"
)

// The pace and the bounds of membership.
const (
	// Neighbours is the most links that a daemon opens.
	MaxNeighbours = 4
	// HeartbeatInterval is the time between heartbeats on a link.
	HeartbeatInterval = time.Second
	// DeadAfter is the silence after which a neighbour is declared dead.
	DeadAfter = 3 * time.Second
	// ForgetAfter is how long an open fleet remembers a daemon that died or left, and
	// tries to find it again: longer than any cut that was seen to heal.
	ForgetAfter = time.Minute
)

// State is what is known of a daemon.
type State uint8

// The states of a daemon.
const (
	// Alive is the state of a listed daemon of which nothing else is known.
	Alive State = iota
	// Dead daemons were silent to a neighbour.
	Dead
	// Left daemons said that they go.
	Left
)

// String names the state.
func (s State) String() string {
	names := [...]string{"alive", "dead", "left"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Host is a daemon on the platform's list.
type Host struct {
	Name, Address, DataCentre, Region string
	// Leaving is the platform's word.
	Leaving bool
	// Cores is how much of a processor the host gives its daemon, in cores; zero where that
	// is not known.
	Cores float64
}

// Rumor is news of a daemon. One with a higher incarnation is newer; within an
// incarnation, dead and left are newer than alive.
type Rumor struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	State       State  `cbor:"3,keyasint"`
	// Address, DataCentre and Region introduce the daemon in an open fleet.
	Address    string `cbor:"4,keyasint,omitempty"`
	DataCentre string `cbor:"5,keyasint,omitempty"`
	Region     string `cbor:"6,keyasint,omitempty"`
	// Cores is how much of a processor its host gives it, in cores.
	Cores float64 `cbor:"7,keyasint,omitempty"`
}

// Member is a daemon as this one knows it.
type Member struct {
	Host
	State       State
	Incarnation int64
	// Started is the incarnation that the process began with, as far as heard; a
	// denial raises Incarnation but not this.
	StartIncarnation int64
	// Revision is the settings revision it told, zero if it is no neighbour.
	SettingsRevision int64
	// Heard is when it was last heard directly.
	LastHeard time.Time
	// watched is when this daemon began to expect heartbeats.
	expectedSince time.Time
	// ended is when an open fleet's daemon was found dead or gone.
	endedAt time.Time
}

// Table is the view of the fleet.
type Table struct {
	self        string
	incarnation int64
	members     map[string]*Member
	neighbours  []string
	// stale is true where the members have changed since the neighbours were chosen. They are
	// chosen when they are next asked for: a daemon that joins hears of all others in one
	// message, and to choose anew for each of 294 took 12 ms of a core, 0.06 s of a fifth of one.
	neighboursStale bool
	// rumors about daemons that are not on the list yet.
	unlistedRumors map[string]Rumor
	// open fleets have no list; own is how this daemon introduces itself.
	openFleet bool
	selfHost  Host
	// leaving is true once this daemon has said that it goes.
	leaving bool
}

// NewTable returns a table that knows only its own daemon.
func NewTable(self string, incarnation int64) *Table {
	return &Table{self: self, incarnation: incarnation, members: map[string]*Member{}, unlistedRumors: map[string]Rumor{}}
}

// Incarnation is the daemon's own incarnation, which rises when others wrongly
// believed it dead.
func (t *Table) Incarnation() int64 { return t.incarnation }

// SetHosts takes over the platform's list. What is known of hosts that stay is
// kept; hosts that are not listed are forgotten.
func (t *Table) SetHosts(hosts []Host, now time.Time) {
	members := make(map[string]*Member, len(hosts))
	for _, h := range hosts {
		m := t.members[h.Name]
		if m == nil || m.Address != h.Address {
			m = &Member{}
			if r, ok := t.unlistedRumors[h.Name]; ok {
				m.State, m.Incarnation = r.State, r.Incarnation
			}
		}
		m.Host = h
		members[h.Name] = m
	}
	t.members = members
	clear(t.unlistedRumors)
	t.chooseNeighbours(now)
}

// chooseNeighbours keeps the links that the list calls for.
func (t *Table) chooseNeighbours(now time.Time) {
	var others []string
	for name, m := range t.members {
		if name != t.self && (!t.openFleet || m.State == Alive) {
			others = append(others, name)
		}
	}
	chosen := rendezvous.Top(t.self, others, MaxNeighbours-1)
	if next := t.successor(others); next != "" && !slices.Contains(chosen, next) {
		chosen = append(chosen, next)
	} else if len(others) > len(chosen) {
		chosen = rendezvous.Top(t.self, others, MaxNeighbours)
	}
	for _, name := range chosen {
		if !slices.Contains(t.neighbours, name) {
			t.members[name].expectedSince = now
		}
	}
	slices.Sort(chosen)
	t.neighbours, t.neighboursStale = chosen, false
}

// ringKey places hosts on the ring.
const ringKey = "ring"

// successor is the next host on the ring of hashes.
func (t *Table) successor(others []string) string {
	own := rendezvous.Score(ringKey, t.self)
	distance := func(name string) uint64 { return rendezvous.Score(ringKey, name) - own }
	best := ""
	for _, name := range others {
		if best == "" || distance(name) < distance(best) {
			best = name
		}
	}
	return best
}

// NeighbourNames lists the daemons to keep links to.
func (t *Table) NeighbourNames() []string {
	if t.neighboursStale {
		t.chooseNeighbours(time.Time{})
	}
	return t.neighbours
}

// Heard takes a direct sign of life, with the incarnation that the process began
// with and the one in force. It returns a rumor to pass on, if it is news.
func (t *Table) RecordHeartbeat(name string, started, incarnation, revision int64, now time.Time) (Rumor, bool) {
	m := t.members[name]
	if m == nil {
		return Rumor{}, false
	}
	m.LastHeard = now
	m.SettingsRevision = revision
	m.StartIncarnation = max(m.StartIncarnation, started)
	return t.Receive(Rumor{Name: name, Incarnation: incarnation, State: Alive})
}

// Receive takes a rumor. It returns the rumor to pass on, if it is news: the same
// one, or for one of the daemon's own death the denial.
func (t *Table) Receive(r Rumor) (Rumor, bool) {
	if r.Name == t.self {
		return t.refute(r)
	}
	m := t.members[r.Name]
	if m == nil && t.openFleet {
		return t.addMember(r)
	}
	if m == nil {
		t.unlistedRumors[r.Name] = r
		return Rumor{}, false
	}
	if !newer(r, m) {
		return Rumor{}, false
	}
	// A first sign of life of a listed daemon is what everybody assumes anyway.
	expected := r.State == Alive && m.State == Alive && m.Incarnation == 0
	m.State, m.Incarnation = r.State, r.Incarnation
	if t.openFleet {
		t.updateMember(m, r)
		return m.asRumor(), true
	}
	return r, !expected
}

// Leave notes that this daemon goes, so that it does not deny what is said of it.
func (t *Table) Leave() { t.leaving = true }

func (t *Table) refute(r Rumor) (Rumor, bool) {
	if r.State == Alive || r.Incarnation < t.incarnation || t.leaving {
		return Rumor{}, false
	}
	t.incarnation = r.Incarnation + 1
	if t.openFleet {
		t.members[t.self].Incarnation = t.incarnation
		return t.Introduction(), true
	}
	return Rumor{Name: t.self, Incarnation: t.incarnation, State: Alive}, true
}

// Tick declares silent neighbours dead and returns the rumors to send.
func (t *Table) Tick(now time.Time) []Rumor {
	var rumors []Rumor
	t.removeEnded(now)
	for _, name := range slices.Clone(t.NeighbourNames()) {
		m := t.members[name]
		if m.expectedSince.IsZero() && t.openFleet {
			m.expectedSince = now
		}
		last := m.LastHeard
		if m.expectedSince.After(last) {
			last = m.expectedSince
		}
		if m.State != Alive || now.Sub(last) < DeadAfter {
			continue
		}
		m.State = Dead
		rumors = append(rumors, Rumor{Name: name, Incarnation: m.Incarnation, State: Dead})
	}
	if t.openFleet && len(rumors) > 0 {
		t.chooseNeighbours(now)
	}
	return rumors
}

// Void forgets when neighbours were heard, after a pause of the process: they are
// given the full time again before they are declared dead.
func (t *Table) ResetTimeouts(now time.Time) {
	for _, m := range t.members {
		m.expectedSince = now
	}
}

// News lists what differs from "all listed daemons live", for a new link.
func (t *Table) SyncRumors() []Rumor {
	rumors := []Rumor{{Name: t.self, Incarnation: t.incarnation, State: Alive}}
	for name, m := range t.members {
		if m.State != Alive && name != t.self {
			rumors = append(rumors, Rumor{Name: name, Incarnation: m.Incarnation, State: m.State})
		}
	}
	return rumors
}

// Member finds a daemon by name.
func (t *Table) Member(name string) (Member, bool) {
	m := t.members[name]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Members lists the daemons on the platform's list by name, itself included.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, *m)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Living lists the names of the daemons that are believed to be alive, itself
// included, sorted.
func (t *Table) AliveNames() []string {
	var names []string
	for name, m := range t.members {
		if name == t.self || m.State == Alive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Others counts the living daemons beside this one and tells whether one of them has
// settings.
func (t *Table) CountOthers() (living int, haveSettings bool) {
	for name, m := range t.members {
		if name == t.self || m.State != Alive {
			continue
		}
		living++
		haveSettings = haveSettings || m.SettingsRevision > 0
	}
	return living, haveSettings
}

// Size is the number of living daemons, itself included.
func (t *Table) AliveCount() int {
	living, _ := t.CountOthers()
	return living + 1
}

// Listed is the number of daemons on the platform's list, at least one.
func (t *Table) ListedCount() int { return max(1, len(t.members)) }
