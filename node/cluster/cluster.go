// Package cluster connects a daemon to the other daemons of its fleet: membership by
// heartbeats and rumors, settings and target lists passed on between peers, claims of
// idempotency keys, leases on shares of accounts' limits and on targets, placement by pool
// coordinators, verdicts on requests that crash targets, and searches for decision records.
// The state machines in core make the decisions; this package exchanges their messages with
// peers and keeps their state on the blackboard.
package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
)

// Cluster is a daemon's side of the communication with its fleet.
type Cluster struct {
	Board    *blackboard.Blackboard
	Hub      *peer.Hub
	Recorder *telemetry.Recorder
	Settings *controller.Settings
	Targets  *target.Client
	// DisableLeases leaves out the leases on shares of limits and on targets, and the work
	// that only claims need: removing expired keys and fetching old host lists. It is set
	// where the platform needs none of these.
	DisableLeases bool
	// Directory merges the target updates that peers send; nil where the platform publishes
	// a list of the targets. A cluster with a directory belongs to an open fleet.
	Directory *controller.Directory
	// seeds are the addresses of the daemons that introduce this one to an open fleet.
	seeds atomic.Pointer[[]string]

	// Placer asks the pools' coordinators for targets, and answers other daemons as a
	// coordinator.
	Placer *Placer

	started        time.Time
	wake           chan struct{}
	compared       map[string]bool // peers that have reported their revisions
	heartbeatSent  map[string]bool // new neighbours to which a starting daemon sent an extra heartbeat
	unresponsive   map[string]bool // neighbours that did not answer a heartbeat
	rumorBatch     rumorBatch
	lastBeat       time.Time // of sendHeartbeats
	reports        chan heartbeatReport
	newestReported heartbeatReport // the highest revision and position that any peer has reported
	// settingsFetcher and targetsFetcher fetch what peers report to be newer than this
	// daemon's.
	settingsFetcher, targetsFetcher *fetcher
	// rejectedFromPeer is the last revision that a peer has in force and this daemon has rejected. What the store showed under a
	// revision may be another text than a peer has.
	rejectedFromPeer atomic.Int64
	// settingsCache holds answers by the revision they start from, targetsCache by what the peer knows.
	settingsCache compressedCache[int64, int64]
	targetsCache  compressedCache[uint64, hostlist.Extent]

	// introductions introduces this daemon to the seeds of an open fleet.
	introductions *introductions
	// seedsAnswered is true once every seed has answered and knew of no other daemon.
	seedsAnswered atomic.Bool
	// reconciledAt is when this daemon last sent its members' digests to a peer, differsSince from
	// when on the peer's digest has differed, and verdictsSentAt when it last sent all verdicts, by
	// peer. mu guards them, and shareRequests.
	reconciledAt, differsSince, verdictsSentAt map[string]time.Time

	// judging reports that JudgeParts is due to be called.
	judging atomic.Bool

	mu            sync.Mutex
	shareRequests map[string]*shareRequest // the last request for a share between renewals, by account
}

// New returns a cluster and registers its message handlers with the hub.
func New(board *blackboard.Blackboard, hub *peer.Hub, recorder *telemetry.Recorder, settings *controller.Settings, targets *target.Client) *Cluster {
	c := &Cluster{
		Board: board, Hub: hub, Recorder: recorder, Settings: settings, Targets: targets,
		started: time.Now(), wake: make(chan struct{}, 1), compared: map[string]bool{},
		heartbeatSent: map[string]bool{}, unresponsive: map[string]bool{},
		reports: make(chan heartbeatReport, maxQueuedReports), shareRequests: map[string]*shareRequest{}, reconciledAt: map[string]time.Time{}, differsSince: map[string]time.Time{},
		verdictsSentAt: map[string]time.Time{},
	}
	c.settingsFetcher = c.newFetcher(func(h heartbeatReport) int64 { return h.revision }, c.revision, c.updateSettings)
	c.targetsFetcher = c.newFetcher(func(h heartbeatReport) int64 { return int64(h.targets) }, func() int64 { return int64(board.Directory.Revision()) }, c.updateTargets)
	c.introductions = newIntroductions(c.introduceOnce)
	c.Placer = newPlacer(c)
	hub.Handle(peer.KindPlace, peer.TypedHandler(c.Placer.servePlace))
	hub.Handle(peer.KindPlaced, peer.TypedHandler(c.Placer.servePlaced))
	hub.Handle(peer.KindProgress, peer.TypedHandler(c.Placer.serveProgress))
	hub.Handle(peer.KindLimit, peer.TypedHandler(c.Placer.serveLimit))
	hub.Handle(peer.KindCalls, peer.TypedHandler(c.Placer.serveCalls))
	hub.Handle(peer.KindSingleSend, peer.TypedHandler(c.Placer.serveSingleSend))
	hub.Handle(peer.KindPing, peer.TypedHandler(servePing))
	hub.SetObserver(c.Placer.links)
	hub.Handle(peer.KindHeartbeat, peer.TypedHandler(c.serveHeartbeat))
	hub.Handle(peer.KindRumor, peer.TypedHandler(c.serveRumors))
	hub.Handle(peer.KindDigests, peer.TypedHandler(c.serveDigests))
	hub.Handle(peer.KindSettingsChanges, peer.TypedHandler(c.serveChanges))
	hub.Handle(peer.KindHosts, peer.TypedHandler(c.serveHosts))
	hub.Handle(peer.KindClaim, peer.TypedHandler(c.serveClaim))
	hub.Handle(peer.KindGiveUp, peer.TypedHandler(c.serveGiveUp))
	hub.Handle(peer.KindConclude, peer.TypedHandler(c.serveConclude))
	hub.Handle(peer.KindOutcome, peer.TypedHandler(c.serveOutcome))
	hub.Handle(peer.KindRenew, peer.TypedHandler(c.serveRenew))
	hub.Handle(peer.KindHoldings, peer.TypedHandler(c.serveHoldings))
	hub.Handle(peer.KindJoin, peer.TypedHandler(c.serveJoin))
	hub.Handle(peer.KindFacts, peer.TypedHandler(c.serveTargets))
	hub.Handle(peer.KindAcquire, peer.TypedHandler(c.serveAcquire))
	hub.Handle(peer.KindCrash, peer.TypedHandler(c.serveCrash))
	hub.Handle(peer.KindPartCrash, peer.TypedHandler(c.servePartCrash))
	hub.Handle(peer.KindVerdicts, peer.TypedHandler(c.serveVerdicts))
	hub.Handle(peer.KindTrial, peer.TypedHandler(c.serveTrial))
	return c
}

// SetSeeds sets the addresses of the daemons that introduce this one to an open fleet.
func (c *Cluster) SetSeeds(seeds []string) { c.seeds.Store(&seeds) }

// address returns the name and the peer address of a daemon.
func (c *Cluster) address(name string) peer.Address {
	return peer.Address{Name: name, Address: c.Board.Members.Address(name)}
}

// call sends a request to a daemon and decodes its answer into out, within timeout.
func (c *Cluster) call(ctx context.Context, name string, kind peer.Kind, in, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Hub.Call(ctx, c.address(name), kind, in, out)
}

// empty is the body of requests and answers that carry no data.
type empty struct{}

// Invalidate discards the state that may be out of date after the process was paused:
// timeouts of members, shares of limits and leases on targets.
func (c *Cluster) Invalidate(time.Duration) {
	now := time.Now()
	c.Board.Members.ResetTimeouts(now)
	c.Board.Shares.Invalidate(now)
	c.Board.Leases.Invalidate()
}
