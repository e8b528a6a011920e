package daemon

import (
	"time"
)

// drainPollInterval is how often a leaving daemon looks whether all has ended.
const drainPollInterval = 20 * time.Millisecond

// Drain takes nothing new, waits for all that is in flight, each bounded by its
// own deadline, and then lets Run return.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.Board.Drain()
		d.cluster.HeartbeatNow()
		d.Log.Info("draining", "in_flight", d.Board.InFlight())
		go d.waitDrained()
	})
}

func (d *Daemon) waitDrained() {
	began := time.Now()
	if d.adapter != nil {
		d.leaveRotation()
	} else {
		// The balancer needs a moment to see that this host is not ready.
		time.Sleep(time.Duration(d.Config.DrainDelay))
	}
	for d.Board.InFlight() > 0 && !d.graceExpired(began) {
		time.Sleep(drainPollInterval)
	}
	d.Log.Info("drained", "cut", d.Board.InFlight(), "took", time.Since(began).Round(time.Millisecond).String())
	close(d.drained)
}

// killMargin is how long before the kill a daemon that still has calls ends by itself,
// so that its last lines are written.
const killMargin = 200 * time.Millisecond

// cutCalls closes the connections of calls that are still in flight when the process has to end: an
// orderly stop of the listener would wait for them until the process is killed.
func (d *Daemon) closeActiveCalls() {
	if d.Board.InFlight() == 0 {
		return
	}
	if err := d.callerServer.Close(); err != nil {
		d.Log.Warn("connections of callers could not be closed", "error", err.Error())
	}
}

// graceOver tells whether the process is about to be killed.
func (d *Daemon) graceExpired(began time.Time) bool {
	grace := time.Duration(d.shutdownGrace.Load())
	return grace > 0 && time.Since(began) > grace-killMargin
}

// The steps of leaving on a platform, from the request to end. The balancer asks once
// a second and takes a daemon out of rotation after two answers that it is not ready,
// so calls that come later come on kept connections, whose callers have been told
// with their last answer that this one closes. They are refused, so that what is
// still running can end before the process is killed; the rest of the time lets the
// refusals reach them.
const (
	refuseDelay     = 2500 * time.Millisecond
	refusalDuration = 500 * time.Millisecond
)

// leaveRotation serves until the balancer sends nobody any more, and then refuses.
func (d *Daemon) leaveRotation() {
	time.Sleep(refuseDelay)
	d.Board.CloseForward()
	d.Log.Info("refusing new calls", "in_flight", d.Board.InFlight())
	time.Sleep(refusalDuration)
}
