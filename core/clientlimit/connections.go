package clientlimit

// Connections is how many connections of clients each listener of a daemon holds at a time.
type Connections struct {
	Callers int
	// Peers are connections of other daemons that have not proved yet to be such.
	Peers int
	Ready int
	Admin int
}

const (
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// connectionBytes is what a connection takes beside a head of unusual size: buffers, goroutines and the request.
	connectionBytes = 32 << 10
)

// The shares of the descriptors that each listener's connections may take. The rest is left to connections to targets, of which
// each caller in progress may need one, to links with other daemons and to the platform's store.
const (
	callersShare = 0.3
	peersShare   = 0.15
	otherShare   = 0.02
)

// callersMemoryShare is the share of the host's memory that callers' connections may take.
const callersMemoryShare = 0.25

// ConnectionsOf returns the limits for a process that may have so many descriptors, on a host with so many bytes of memory; zero
// means that the memory is not known.
func ConnectionsOf(descriptors, memory int64) Connections {
	sockets := float64(max(descriptors-reservedDescriptors, descriptors/2))
	c := Connections{
		Callers: int(callersShare * sockets), Peers: int(peersShare * sockets),
		Ready: int(otherShare * sockets), Admin: int(otherShare * sockets),
	}
	if memory > 0 {
		c.Callers = min(c.Callers, int(callersMemoryShare*float64(memory)/connectionBytes))
	}
	c.Callers, c.Peers, c.Ready, c.Admin = max(1, c.Callers), max(1, c.Peers), max(1, c.Ready), max(1, c.Admin)
	return c
}
