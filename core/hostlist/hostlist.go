// Package hostlist is the platform's list of hosts: the targets that carry requests
// out and, where the platform lists them, the daemons.
package hostlist

import (
	"time"

	"github.com/go-faster/errors"
)

// State is what the platform says of a host.
type State string

// The states of a host. A host that is neither is not on the list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role says what runs on a host.
type Role string

// The roles of hosts.
const (
	RoleDaemon Role = "daemon"
	RoleTarget Role = "target"
)

// Host is an entry of the host list.
type Host struct {
	// ID names the host; a replaced host has a new one, a restarted one may keep it.
	ID string `json:"id" cbor:"1,keyasint"`
	// Role says what runs on it.
	Role Role `json:"role" cbor:"2,keyasint"`
	// Address is host:port, for targets of their API and for daemons of the
	// listener for peers.
	Address string `json:"address" cbor:"3,keyasint"`
	// Pool is the pool of a target.
	Pool string `json:"pool,omitempty" cbor:"4,keyasint,omitempty"`
	// DataCentre and Region say where the host stands.
	DataCentre string `json:"data_centre" cbor:"5,keyasint"`
	Region     string `json:"region" cbor:"6,keyasint"`
	// State is live or leaving.
	State State `json:"state" cbor:"7,keyasint"`
	// Slots is the number of calls that a target works on at once; zero where the
	// list does not say.
	Slots int `json:"slots,omitempty" cbor:"8,keyasint,omitempty"`
	// Revision is the store's position at the host's last change, in facts.
	Revision Position `json:"revision,omitempty" cbor:"9,keyasint,omitempty"`
	// Incarnation is when the process on the host started, in Unix milliseconds; zero where
	// it is not told. A later process under the same id holds nothing of an earlier one.
	Incarnation int64 `json:"incarnation,omitempty" cbor:"10,keyasint,omitempty"`
}

// List is the platform's view of the hosts, which lags, or what differs from
// an earlier one.
type List struct {
	// Since is the revision that the difference starts from; zero means that
	// Hosts is the whole.
	Since int64 `json:"since,omitempty"`
	// Revision rises with each change.
	Revision int64 `json:"revision"`
	// Changed is when the platform published the revision.
	Changed time.Time `json:"changed"`
	// AsOf is when the platform last confirmed the list.
	AsOf time.Time `json:"as_of"`
	// Hosts are the live and leaving hosts, or those that differ.
	Hosts []Host `json:"hosts"`
	// Removed are the ids of hosts that are gone since.
	Removed []string `json:"removed,omitempty"`
}

// Apply returns the list that a difference leads to from l. A whole list replaces
// l; a difference from another revision than l's is an error.
func (l List) Apply(d List) (List, error) {
	if d.Since == 0 {
		return d, nil
	}
	if d.Since != l.Revision {
		return l, errors.New("the difference starts from another revision of the host list; read the whole")
	}
	changed := make(map[string]bool, len(d.Hosts)+len(d.Removed))
	for _, h := range d.Hosts {
		changed[h.ID] = true
	}
	for _, id := range d.Removed {
		changed[id] = true
	}
	next := List{Revision: d.Revision, Changed: d.Changed, AsOf: d.AsOf}
	for _, h := range l.Hosts {
		if !changed[h.ID] {
			next.Hosts = append(next.Hosts, h)
		}
	}
	next.Hosts = append(next.Hosts, d.Hosts...)
	return next, nil
}
