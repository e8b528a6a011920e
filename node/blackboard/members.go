package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
)

// MemberTable holds the daemons of the fleet: the platform's list, what links
// and rumors say of it, and the lists that were in force before.
type MemberTable struct {
	mu             Mutex
	self           Identity
	hosts          hostlist.List
	readAt         time.Time
	members        *membership.Table
	hostLists      claim.History
	heartbeatPeers map[string]time.Time // peers that sent a heartbeat, and when
}

func newMemberTable(self Identity) *MemberTable {
	return &MemberTable{
		mu:             NewMutex(RankMembers),
		self:           self,
		members:        membership.NewTable(self.Name, self.Incarnation),
		heartbeatPeers: map[string]time.Time{},
	}
}

// SetHosts takes over the platform's list; an older revision is ignored.
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

// Open makes the fleet one whose daemons the platform does not list.
func (t *MemberTable) OpenFleet() {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := membership.Host{Name: t.self.Name, Address: t.self.PeerAddress, DataCentre: t.self.DataCentre, Region: t.self.Region, Cores: t.self.Cores}
	t.members = membership.NewOpenTable(own, t.self.Incarnation)
}

// SetTargets takes over a list that holds targets only; daemons are known otherwise.
func (t *MemberTable) SetTargets(list hostlist.List, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts, t.readAt = list, at
}

// HasHosts tells whether a list has been read.
func (t *MemberTable) HasHosts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.readAt.IsZero()
}

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

// regional lists the daemons of this one's region, which witness its keys.
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

// Hosts is the platform's list and when it was read.
func (t *MemberTable) Hosts() (hostlist.List, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts, t.readAt
}

// Sharers is the number of living daemons that share the targets with this one,
// itself included.
func (t *MemberTable) DaemonCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members.AliveCount()
}

// View runs f on the membership under the table's lock. f must not keep it.
func (t *MemberTable) WithLock(f func(*membership.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.members)
}

// Living lists the living daemons and counts the listed ones.
func (t *MemberTable) AliveNames() (living []string, listed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members.AliveNames(), t.members.ListedCount()
}

// Members lists the daemons on the platform's list.
func (t *MemberTable) Members() []membership.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members.Members()
}

// Address finds a daemon's address for peers; a daemon that is no longer listed
// may be found in the list before.
func (t *MemberTable) Address(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, _ := t.members.Member(name)
	return m.Address
}

// Partner records a heartbeat from a peer.
func (t *MemberTable) RecordHeartbeat(name string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeatPeers[name] = at
}

// Links lists the peers that rumors go to: those that this daemon keeps links to
// and those that lately kept one to it.
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

// WitnessSets returns the sets of witnesses for a claim, or nil while the host
// list is not confirmed recently enough.
func (t *MemberTable) WitnessSets(r claim.Request, at time.Time) [][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hostLists.Fresh(at) {
		return nil
	}
	return t.hostLists.Sets(r, at)
}

// HostLists returns the lists that were in force lately.
func (t *MemberTable) HostLists() ([]claim.HostList, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.hostLists.Lists()), t.hostLists.Confirmed()
}

// AddHostLists takes over lists that a peer has read, for what was in force
// before this daemon started.
func (t *MemberTable) AddHostLists(lists []claim.HostList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range lists {
		t.hostLists.Add(l, time.Time{})
	}
}

// Void gives neighbours their full time again, after a pause of the process.
func (t *MemberTable) ResetTimeouts(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.ResetTimeouts(at)
}
