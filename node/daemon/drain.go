package daemon

import (
	"context"
	"time"
)

// drainPollInterval is how often a draining daemon checks whether all calls have ended.
const drainPollInterval = 20 * time.Millisecond

// Drain starts a graceful shutdown and returns at once. The daemon accepts no new calls, waits
// for the calls in flight, each of which has a deadline, and then lets Run return.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		began := time.Now()
		if grace := time.Duration(d.shutdownGrace.Load()); grace > 0 {
			d.Board.Shutdown.Begin(began.Add(grace - answerMargin))
		}
		d.Board.Drain()
		d.cluster.HeartbeatNow()
		d.Log.Info("draining", "in_flight", d.Board.InFlight())
		go d.waitDrained(began)
	})
}

// waitDrained waits until the balancer has stopped sending calls and those in flight have ended. Before the shutdown grace is
// over, it ends the others.
func (d *Daemon) waitDrained(began time.Time) {
	if d.adapter != nil {
		d.leaveRotation()
	} else {
		// Give the balancer time to see that this host is not ready.
		time.Sleep(time.Duration(d.Config.DrainDelay))
	}
	for d.inUse(began) && !d.callsMustEnd() {
		time.Sleep(drainPollInterval)
	}
	d.endCalls()
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

// How long before the platform kills the process the calls in flight are ended, so that their callers get an answer, and how long
// before that the wait for these answers ends, so that the last log lines are written.
const (
	answerMargin = 500 * time.Millisecond
	killMargin   = 200 * time.Millisecond
)

// callsMustEnd reports whether the process is killed so soon that the calls in flight must get their answers.
func (d *Daemon) callsMustEnd() bool {
	end, limited := d.Board.Shutdown.End()
	return limited && !time.Now().Before(end)
}

// endCalls ends the calls in flight. Each gets a failure as its answer, unless a part of its target's answer has been sent.
func (d *Daemon) endCalls() {
	if inFlight := d.Board.InFlight(); inFlight > 0 {
		d.Log.Warn("ending the calls in flight, as the process is about to be killed", "in_flight", inFlight)
	}
	d.Board.Shutdown.EndCalls()
}

// minClosingTime is how long, at least, the last answers may take to be written.
const minClosingTime = 50 * time.Millisecond

// closeCallers stops the listener for callers and waits until the last answers have been written, but not until the process is
// killed. Connections on which calls are still in flight by then are closed.
func (d *Daemon) closeCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), d.closingTime())
	defer cancel()
	if err := d.callerServer.Shutdown(ctx); err == nil {
		return
	}
	if err := d.callerServer.Close(); err != nil {
		d.Log.Warn("cannot close the connections of callers", "error", err.Error())
	}
}

// closingTime returns how long the last answers may take to be written.
func (d *Daemon) closingTime() time.Duration {
	end, limited := d.Board.Shutdown.End()
	switch {
	case limited:
		return max(minClosingTime, time.Until(end)+answerMargin-killMargin)
	case d.Board.InFlight() > 0:
		return minClosingTime // Run was ended without draining.
	default:
		return stopTimeout
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
	d.pause(refuseDelay)
	d.Board.CloseForward()
	d.Log.Info("refusing new calls", "in_flight", d.Board.InFlight())
	d.pause(refusalDuration)
}

// pause waits, but not longer than the calls in flight may take.
func (d *Daemon) pause(wait time.Duration) {
	if end, limited := d.Board.Shutdown.End(); limited {
		wait = min(wait, time.Until(end))
	}
	time.Sleep(wait)
}
