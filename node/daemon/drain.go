package daemon

import (
	"time"
)

// drainPollInterval is how often a draining daemon checks whether all calls have ended.
const drainPollInterval = 20 * time.Millisecond

// Drain starts a graceful shutdown and returns at once. The daemon accepts no new calls, waits
// for the calls in flight, each of which has a deadline, and then lets Run return.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.Board.Drain()
		d.cluster.HeartbeatNow()
		d.Log.Info("draining", "in_flight", d.Board.InFlight())
		go d.waitDrained()
	})
}

// waitDrained waits until the balancer has stopped sending calls and those in flight have ended,
// or until the shutdown grace is nearly over.
func (d *Daemon) waitDrained() {
	began := time.Now()
	if d.adapter != nil {
		d.leaveRotation()
	} else {
		// Give the balancer time to see that this host is not ready.
		time.Sleep(time.Duration(d.Config.DrainDelay))
	}
	for d.inUse(began) && !d.graceExpired(began) {
		time.Sleep(drainPollInterval)
	}
	d.Log.Info("drained", "cut", d.Board.InFlight(), "took", time.Since(began).Round(time.Millisecond).String())
	close(d.drained)
}

// relayDrainTimeout is how long a leaving daemon waits for the connections that it relays. A daemon may keep an idle
// one for that long.
const relayDrainTimeout = 30 * time.Second

// inUse reports whether calls are in flight here, or connections are relayed for calls of other daemons.
func (d *Daemon) inUse(began time.Time) bool {
	return d.Board.InFlight() > 0 || d.relays.Relaying() > 0 && time.Since(began) < relayDrainTimeout
}

// killMargin is how long before the platform kills the process the wait for calls in flight ends,
// so that the last log lines are written.
const killMargin = 200 * time.Millisecond

// closeActiveCalls closes the connections of callers if calls are still in flight when the process
// has to end. A graceful stop of the listener would wait for them until the process is killed.
func (d *Daemon) closeActiveCalls() {
	if d.Board.InFlight() == 0 {
		return
	}
	if err := d.callerServer.Close(); err != nil {
		d.Log.Warn("cannot close the connections of callers", "error", err.Error())
	}
}

// graceExpired reports whether the process is about to be killed.
func (d *Daemon) graceExpired(began time.Time) bool {
	grace := time.Duration(d.shutdownGrace.Load())
	return grace > 0 && time.Since(began) > grace-killMargin
}

// The phases of draining on a platform. The balancer checks readiness once a second and takes a
// daemon out of rotation after two failed checks. Calls that arrive after refuseDelay come over
// kept-alive connections, whose callers were told with their last answer that the connection
// closes. They are refused, so that the running calls can end before the process is killed;
// refusalDuration is the time for the refusals to reach the callers.
const (
	refuseDelay     = 2500 * time.Millisecond
	refusalDuration = 500 * time.Millisecond
)

// leaveRotation accepts calls until the balancer has taken the daemon out of rotation, and then
// refuses new calls.
func (d *Daemon) leaveRotation() {
	time.Sleep(refuseDelay)
	d.Board.CloseForward()
	d.Log.Info("refusing new calls", "in_flight", d.Board.InFlight())
	time.Sleep(refusalDuration)
}
