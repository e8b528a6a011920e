package blackboard

import (
	"time"

	"doorstack.dev/node/platform"
)

// MemberTable holds the daemons of the fleet.
type MemberTable struct {
	mu    Mutex
	hosts platform.HostList
	read  time.Time
}

func newMemberTable() *MemberTable { return &MemberTable{mu: NewMutex(RankMembers)} }

// SetHosts takes over the platform's list; an older revision is ignored.
func (t *MemberTable) SetHosts(list platform.HostList, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Revision < t.hosts.Revision {
		return
	}
	t.hosts, t.read = list, at
}

// Hosts is the platform's list and when it was read.
func (t *MemberTable) Hosts() (platform.HostList, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts, t.read
}

// Sharers is the number of daemons that share the targets with this one, itself
// included.
func (t *MemberTable) Sharers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for i := range t.hosts.Hosts {
		if t.hosts.Hosts[i].Role == platform.RoleDaemon {
			n++
		}
	}
	return max(1, n)
}
