package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
)

// MemberTable holds the daemons of the fleet: the platform's host list, the membership
// known from peer links and rumors, and the host lists that were in force before.
type MemberTable struct {
	mu             Mutex
	self           Identity
	hosts          hostlist.List
	readAt         time.Time
	openFleet      bool
	members        *membership.Table
	hostLists      claim.History
	heartbeatPeers map[string]time.Time // last heartbeat of each peer that sends any
	view           *MembersView         // as last computed
}

// MembersView is all members as of one version of the membership. Since it does not change, what is derived
// from it holds as long as View returns the same pointer.
type MembersView struct {
	version uint64
	// Members are sorted by name. Their heartbeats may be newer than the view.
	Members []membership.Member
	// Alive is the number of living members, this daemon included.
	Alive int
}

func newMemberTable(self Identity) *MemberTable {
	return &MemberTable{
		mu:             NewMutex(RankMembers),
		self:           self,
		members:        membership.NewTable(self.Name, self.Incarnation),
		heartbeatPeers: map[string]time.Time{},
	}
}

// SetHosts applies the platform's host list; an older revision is ignored.
func (t *MemberTable) SetHosts(list hostlist.List, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Revision < t.hosts.Revision {
		return
	}
	if list.Revision > t.hosts.Revision || t.readAt.IsZero() {
		t.members.SetHosts(daemonsOf(list.Hosts), at)
	}
	t.hosts, t.readAt = list, at
	t.hostLists.Add(claim.HostList{Revision: list.Revision, Published: list.Changed, Hosts: t.daemonsOfRegion(list.Hosts)}, list.AsOf)
}

// OpenFleet switches to a fleet whose daemons are not on the platform's host list.
func (t *MemberTable) OpenFleet() {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := membership.Host{Name: t.self.Name, Address: t.self.PeerAddress, DataCentre: t.self.DataCentre, Region: t.self.Region, Cores: t.self.Cores}
	t.members, t.view, t.openFleet = membership.NewOpenTable(own, t.self.Incarnation), nil, true
}

// View returns the members as of their last change. It costs nothing while they do not change, whatever the
// size of the fleet.
func (t *MemberTable) View() *MembersView {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view == nil || t.view.version != t.members.Version() {
		t.view = &MembersView{version: t.members.Version(), Members: t.members.Members(), Alive: t.members.AliveCount()}
	}
	return t.view
}

// IsOpenFleet reports whether the platform lists no daemons.
func (t *MemberTable) IsOpenFleet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openFleet
}

// MarkTargetsRead records that the targets of an open fleet were read.
func (t *MemberTable) MarkTargetsRead(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = at
}

// HasHosts reports whether a list has been read.
func (t *MemberTable) HasHosts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.readAt.IsZero()
}

// daemonsOf returns the daemons on a host list.
func daemonsOf(hosts []hostlist.Host) []membership.Host {
	var list []membership.Host
	for _, h := range hosts {
		if h.Role == hostlist.RoleDaemon {
			list = append(list, membership.Host{
				Name: h.ID, Address: h.Address, DataCentre: h.DataCentre, Region: h.Region,
				Leaving: h.State == hostlist.Leaving,
			})
		}
	}
	return list
}

// daemonsOfRegion returns the daemons of this daemon's region, sorted by name. The witnesses
// of its idempotency keys are chosen from them.
func (t *MemberTable) daemonsOfRegion(hosts []hostlist.Host) []string {
	var names []string
	for _, h := range hosts {
		if h.Role == hostlist.RoleDaemon && h.Region == t.self.Region {
			names = append(names, h.ID)
		}
	}
	slices.Sort(names)
	return names
}

// Hosts returns the platform's list of hosts and when it was read. In an open fleet the list is empty, and the
// time that of the last update of the targets.
func (t *MemberTable) Hosts() (hostlist.List, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts, t.readAt
}

// DaemonCount returns the number of living daemons that share the targets, including
// this one.
func (t *MemberTable) DaemonCount() int { return t.View().Alive }

// FleetSize returns the number of daemons, this one included, that may be serving callers: also those that are draining,
// that cannot be heard, or that ended not long ago. It returns zero while a daemon of an open fleet knows no other.
func (t *MemberTable) FleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	size := t.members.FleetSize()
	if t.openFleet && size == 1 {
		return 0
	}
	return size
}

// WithLock calls f with the membership under the table's lock. f must not retain it.
func (t *MemberTable) WithLock(f func(*membership.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.members)
}

// AliveNames returns the names of the living daemons and the number of listed ones.
func (t *MemberTable) AliveNames() (names []string, listed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members.AliveNames(), t.members.ListedCount()
}

// Members returns the daemons on the platform's host list.
func (t *MemberTable) Members() []membership.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members.Members()
}

// Address returns a daemon's address for peers. A daemon that is no longer listed may
// still be known from the previous list.
func (t *MemberTable) Address(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, _ := t.members.Member(name)
	return m.Address
}

// RecordHeartbeat records a heartbeat from a peer.
func (t *MemberTable) RecordHeartbeat(name string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeatPeers[name] = at
}

// GossipPeers returns the peers to which rumors are sent: the neighbours to which this
// daemon keeps links, and the peers that recently sent it heartbeats.
func (t *MemberTable) GossipPeers(at time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Clone(t.members.NeighbourNames())
	for name, heard := range t.heartbeatPeers {
		if at.Sub(heard) > membership.DeadAfter {
			delete(t.heartbeatPeers, name)
			continue
		}
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// WitnessSets returns the sets of witnesses in which a claim needs a majority, one for each
// host list that may have been in force at an earlier claim of the key. It returns nil if the
// host list has not been confirmed recently enough.
func (t *MemberTable) WitnessSets(r claim.Request, at time.Time) [][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hostLists.Fresh(at) {
		return nil
	}
	return t.hostLists.Sets(r, at)
}

// HostLists returns the recent host lists, and when the newest was last confirmed.
func (t *MemberTable) HostLists() ([]claim.HostList, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.hostLists.Lists()), t.hostLists.Confirmed()
}

// AddHostLists adds lists that a peer has read, to cover the time before this daemon started.
func (t *MemberTable) AddHostLists(lists []claim.HostList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range lists {
		t.hostLists.Add(l, time.Time{})
	}
}

// ResetTimeouts restarts the neighbours' timeouts, after a pause of the process.
func (t *MemberTable) ResetTimeouts(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.ResetTimeouts(at)
}
