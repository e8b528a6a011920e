// Package hostlist defines the platform's list of hosts and merges what the store and peers
// report about it. The hosts are the targets, which execute requests, and, where the platform
// lists them, the daemons. A daemon reads the targets that it may send requests to from its
// Table.
package hostlist

import (
	"time"

	"github.com/go-faster/errors"
)

// State is the state of a host on the platform's list.
type State string

// The states of a listed host. A host in neither state is not on the list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role is what runs on a host.
type Role string

// The roles of hosts.
const (
	RoleDaemon Role = "daemon"
	RoleTarget Role = "target"
	// RoleEvacuation marks an entry that is no host: while it is listed, the targets of its data
	// centre get no new requests (see Evacuation).
	RoleEvacuation Role = "evacuation"
)

// Host is an entry of the host list.
type Host struct {
	// ID identifies the host; a replaced host has a new one, a restarted one may keep it.
	ID string `json:"id" cbor:"1,keyasint"`
	// Role is what runs on the host.
	Role Role `json:"role" cbor:"2,keyasint"`
	// Address is host:port: for targets, of their API; for daemons, of the listener for peers.
	Address string `json:"address" cbor:"3,keyasint"`
	// Pool is the pool of a target.
	Pool string `json:"pool,omitempty" cbor:"4,keyasint,omitempty"`
	// DataCentre and Region are the location of the host.
	DataCentre string `json:"data_centre" cbor:"5,keyasint"`
	Region     string `json:"region" cbor:"6,keyasint"`
	// State is live or leaving.
	State State `json:"state" cbor:"7,keyasint"`
	// Slots is the number of calls that a target executes at once; zero if the list does not say.
	Slots int `json:"slots,omitempty" cbor:"8,keyasint,omitempty"`
	// Revision is the store's position at the last change of the entry. Only updates have it.
	Revision Position `json:"revision,omitempty" cbor:"9,keyasint,omitempty"`
	// Incarnation is the start time of the process on the host in Unix milliseconds; zero means
	// unknown. A later process under the same ID shares no state with an earlier one.
	Incarnation int64 `json:"incarnation,omitempty" cbor:"10,keyasint,omitempty"`
	// ColdFor is for how long a target is cold, from the time of the entry.
	ColdFor time.Duration `json:"cold_ns,omitempty" cbor:"11,keyasint,omitempty"`
}

// List is the platform's list of hosts, which may lag behind their real state, or a diff from
// an earlier revision of the list.
type List struct {
	// Since is the revision that a diff starts from; zero means that Hosts is the full list.
	Since int64 `json:"since,omitempty"`
	// Revision is the revision of the list; it rises with each change.
	Revision int64 `json:"revision"`
	// Changed is when the platform published the revision.
	Changed time.Time `json:"changed"`
	// AsOf is when the platform last confirmed the list.
	AsOf time.Time `json:"as_of"`
	// Hosts are the live and leaving hosts; in a diff, those that were added or changed.
	Hosts []Host `json:"hosts"`
	// Removed are the IDs of the hosts that were removed since.
	Removed []string `json:"removed,omitempty"`
}

// Apply returns the list that results from applying d to l. A full list replaces l; a diff
// from another revision than l's is an error.
func (l List) Apply(d List) (List, error) {
	if d.Since == 0 {
		return d, nil
	}
	if d.Since != l.Revision {
		return l, errors.New("the diff starts from another revision of the host list; read the full list")
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
