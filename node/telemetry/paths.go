package telemetry

import (
	"time"

	"doorstack.dev/core/reach"
	"doorstack.dev/node/target"
	"github.com/prometheus/client_golang/prometheus"
)

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
	case s.Failing == 0 && s.Lost == 0:
		return pathsWork
	case s.AllLost || s.Failing == s.Known && s.Known > 1:
		return pathsLost
	default:
		return pathsFailing
	}
}

// The ways to connect to a target, in metrics.
const (
	wayDirect = "direct"
	wayRelay  = "relay"
)

// RecordConnect counts an attempt to connect to a target, through a relay if one is named, and logs a change of the
// state of all paths. With the lines of other daemons it shows whether targets failed or this host's path to them.
func (r *Recorder) RecordConnect(relay string, connected bool, s reach.Summary) {
	way, outcome := wayDirect, "connected"
	if relay != "" {
		way = wayRelay
	}
	if !connected {
		outcome = "failed"
	}
	r.Metrics.TargetConnects.WithLabelValues(way, outcome).Inc()
	r.Metrics.UnreachedTargets.Set(float64(s.Failing))
	r.Metrics.LostPaths.Set(float64(s.Lost))
	state := stateOf(s)
	r.mu.Lock()
	changed := r.paths != state && (r.paths != "" || state != pathsWork)
	r.paths = state
	r.mu.Unlock()
	if changed {
		r.Log.Info("paths to targets", "state", string(state), "not_reached", s.Failing, "lost", s.Lost, "of", s.Known, "relay", relay)
	}
}

// RegisterRelayedConnections registers the gauge of the connections that the daemon relays for others.
func (m *Metrics) RegisterRelayedConnections(relaying func() int) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "relayed_connections", Help: "Connections to targets that this daemon relays for other daemons.",
	}, func() float64 { return float64(relaying()) }))
}

// RecordEndCheck records the outcome of a check whether a target has outlived an answer that ends with its connection.
func (r *Recorder) RecordEndCheck(outcome target.EndCheck, took time.Duration) {
	r.Metrics.AnswerEndChecks.WithLabelValues(string(outcome)).Observe(took.Seconds())
}
