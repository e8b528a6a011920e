package hostlist

import (
	"slices"
	"strings"
)

// evacuationIDPrefix begins the IDs of evacuations and of no other entry.
const evacuationIDPrefix = "evacuation of "

// Evacuation returns the entry by which operators evacuate a data centre: while it is listed, the
// targets there get no new requests, and those that they are executing continue. It is merged and
// passed on like the entry of a host, so that a daemon never knows the targets as of a position
// without the evacuations as of that position.
func Evacuation(dataCentre string, state State, revision Position) Host {
	return Host{
		ID: evacuationIDPrefix + dataCentre, Role: RoleEvacuation, DataCentre: dataCentre,
		State: state, Revision: revision,
	}
}

// IsEvacuationID reports whether an ID is that of an evacuation, which no host may have.
func IsEvacuationID(id string) bool { return strings.HasPrefix(id, evacuationIDPrefix) }

// Evacuated returns the data centres that the listed evacuations name.
func Evacuated(hosts []Host) map[string]bool {
	evacuated := map[string]bool{}
	for i := range hosts {
		if hosts[i].Role == RoleEvacuation && hosts[i].State != Gone {
			evacuated[hosts[i].DataCentre] = true
		}
	}
	return evacuated
}

// EvacuatedCentres returns the data centres that the listed evacuations name, sorted.
func (t *Table) EvacuatedCentres() []string {
	var centres []string
	for _, e := range t.entries {
		if e.host.Role == RoleEvacuation && e.host.State != Gone {
			centres = append(centres, e.host.DataCentre)
		}
	}
	slices.Sort(centres)
	return centres
}
