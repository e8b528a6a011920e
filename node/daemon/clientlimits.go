package daemon

import (
	"cmp"
	"time"

	"doorstack.dev/core/clientlimit"
	"doorstack.dev/node/connguard"
	"golang.org/x/sys/unix"
)

// The limits on callers' connections if the settings set none, and on those of other clients.
const (
	defaultMaxHead     = 1 << 20
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute
	internalMaxHead    = 16 << 10
	// internalIdleTimeout is longer than the interval of readiness checks and of most readers of metrics.
	internalIdleTimeout = 30 * time.Second
	// clientWriteTimeout limits each write of an answer for which its handler sets no limit.
	clientWriteTimeout = 10 * time.Second
)

// listenerLimits are the limits on the clients of each listener.
type listenerLimits struct{ callers, admin, peers, ready connguard.Config }

// connectionLimits returns the limits on the clients of the daemon's listeners.
func (d *Daemon) connectionLimits() listenerLimits {
	memory := int64(0)
	if d.adapter != nil {
		memory = d.adapter.MemoryMB << 20
	}
	most := clientlimit.ConnectionsOf(d.maxDescriptors(), memory)
	d.Log.Info("limits on connections", "callers", most.Callers, "peers", most.Peers, "ready", most.Ready, "admin", most.Admin)
	group := &connguard.Group{}
	config := func(name string, limits func() connguard.Limits, maxConnections int) connguard.Config {
		return connguard.Config{Name: name, Limits: limits, MaxConnections: maxConnections, Memory: d.director.Memory, Group: group, Metrics: d.Metrics, Log: d.Log}
	}
	return listenerLimits{
		callers: config("listen", d.callerLimits, most.Callers),
		admin:   config("admin", internalLimits, most.Admin),
		peers:   config("peer", internalLimits, most.Peers),
		ready:   config("ready", internalLimits, most.Ready),
	}
}

// maxDescriptors returns how many descriptors the process may have open, as far as the kernel and the platform say.
func (d *Daemon) maxDescriptors() int64 {
	descriptors := int64(1 << 20)
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(descriptors) {
		descriptors = int64(limit.Cur)
	}
	if d.adapter != nil && d.adapter.MaxDescriptors > 0 {
		descriptors = min(descriptors, d.adapter.MaxDescriptors)
	}
	return descriptors
}

// callerLimits returns the limits on callers of the current settings.
func (d *Daemon) callerLimits() connguard.Limits {
	limits := connguard.Limits{MaxHead: defaultMaxHead, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout, WriteTimeout: clientWriteTimeout}
	if view := d.Board.Settings.Current(); view != nil {
		set := view.Tree.CallerLimits()
		limits.MaxHead = cmp.Or(set.MaxHead, limits.MaxHead)
		limits.HeadTimeout = cmp.Or(time.Duration(set.HeadTimeout), limits.HeadTimeout)
		limits.IdleTimeout = cmp.Or(time.Duration(set.IdleTimeout), limits.IdleTimeout)
	}
	return limits
}

// internalLimits returns the limits on the clients of the other listeners: operators, other daemons and the load balancer.
func internalLimits() connguard.Limits {
	return connguard.Limits{MaxHead: internalMaxHead, HeadTimeout: defaultHeadTimeout, IdleTimeout: internalIdleTimeout, WriteTimeout: clientWriteTimeout}
}
