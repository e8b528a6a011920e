// Package fleetsim tests fleets of daemons in virtual time. It has no other code. It is apart from the tests of package
// onplatform, which run in real time, so that the two run beside each other.
package fleetsim

import "time"

const (
	// plainService is the service of the calls of coordinatedFleet.
	plainService = "svc"
	// quarantineTimeLimit is how long after the third crash the fleet may take to quarantine the call, as in package onplatform.
	quarantineTimeLimit = 3 * time.Second
	// waitTimeout is how long a test waits for a state at most.
	waitTimeout = 20 * time.Second
)
