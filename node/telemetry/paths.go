package telemetry

import "doorstack.dev/core/reach"

// pathState is a summary of the paths to targets, as it is logged.
type pathState string

// The states of the paths to targets.
const (
	pathsWork    pathState = "all targets reached"
	pathsFailing pathState = "some targets not reached"
	pathsLost    pathState = "no target reached"
)

func stateOf(s reach.Summary) pathState {
	switch {
	case s.Failing == 0:
		return pathsWork
	case s.Failing == s.Known && s.Known > 1:
		return pathsLost
	default:
		return pathsFailing
	}
}

// RecordConnect counts an attempt to connect to a target and logs a change of the state of all paths. With the
// lines of other daemons it shows whether targets failed or this host's path to them.
func (r *Recorder) RecordConnect(connected bool, s reach.Summary) {
	outcome := "connected"
	if !connected {
		outcome = "failed"
	}
	r.Metrics.TargetConnects.WithLabelValues(outcome).Inc()
	r.Metrics.UnreachedTargets.Set(float64(s.Failing))
	state := stateOf(s)
	r.mu.Lock()
	changed := r.paths != state && (r.paths != "" || state != pathsWork)
	r.paths = state
	r.mu.Unlock()
	if changed {
		r.Log.Info("paths to targets", "state", string(state), "not_reached", s.Failing, "of", s.Known)
	}
}
