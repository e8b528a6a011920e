// Package cluster makes the daemons act as one: heartbeats and rumors, settings
// passed on from peer to peer, claims of idempotency keys, shares of accounts'
// limits, leases on targets, and explanations from any host. The decisions are
// made by the state machines in core; this package carries their messages.
package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
)

// Cluster is a daemon's part in the fleet.
type Cluster struct {
	Board    *blackboard.Blackboard
	Hub      *peer.Hub
	Recorder *telemetry.Recorder
	Settings *controller.Settings
	Targets  *target.Client
	// MembersOnly leaves out shares of limits and leases on targets, where the
	// platform has no use for them.
	DisableLeases bool
	// Directory takes what peers know of targets; nil where the platform publishes a
	// list of them.
	Directory *controller.Directory
	// seeds are addresses of daemons to ask for the others, in an open fleet.
	seeds atomic.Pointer[[]string]

	// Placements asks coordinators for targets, and answers as one.
	Placer *Placer

	started        time.Time
	wake           chan struct{}
	compared       map[string]bool // neighbours whose revision has been seen
	heartbeatSent  map[string]bool // neighbours that were asked for it out of turn
	unresponsive   map[string]bool // neighbours that did not answer
	rumorBatch     rumorBatch
	reports        chan heartbeatReport
	newestReported heartbeatReport // the newest of which any peer has told
	// settingsNews and targetNews fetch what peers have and this daemon has not.
	settingsFetcher, targetsFetcher *fetcher
	changesCache                    changesCache

	// searched is true once every seed has answered and knew of nobody else.
	seedsAnswered atomic.Bool
	// reconciled is when all members were last sent to a peer, and verdictsTold when all
	// verdicts were; seekMu guards both.
	reconciledAt, verdictsSentAt map[string]time.Time

	mu            sync.Mutex
	shareRequests map[string]*shareRequest // the last question for a share out of turn, by account
}

// New returns a cluster and registers its handlers with the hub.
func New(board *blackboard.Blackboard, hub *peer.Hub, record *telemetry.Recorder, settings *controller.Settings, targets *target.Client) *Cluster {
	c := &Cluster{
		Board: board, Hub: hub, Recorder: record, Settings: settings, Targets: targets,
		started: time.Now(), wake: make(chan struct{}, 1), compared: map[string]bool{},
		heartbeatSent: map[string]bool{}, unresponsive: map[string]bool{},
		reports: make(chan heartbeatReport, maxQueuedReports), shareRequests: map[string]*shareRequest{}, reconciledAt: map[string]time.Time{},
		verdictsSentAt: map[string]time.Time{},
	}
	c.settingsFetcher = c.newFetcher(func(h heartbeatReport) int64 { return h.revision }, c.revision, c.updateSettings)
	c.targetsFetcher = c.newFetcher(func(h heartbeatReport) int64 { return int64(h.targets) }, func() int64 { return int64(board.Directory.Revision()) }, c.updateTargets)
	c.Placer = newPlacer(c)
	hub.Handle(peer.KindPlace, peer.TypedHandler(c.Placer.servePlace))
	hub.Handle(peer.KindPlaced, peer.TypedHandler(c.Placer.servePlaced))
	hub.Handle(peer.KindProgress, peer.TypedHandler(c.Placer.serveProgress))
	hub.Handle(peer.KindLimit, peer.TypedHandler(c.Placer.serveLimit))
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
	hub.Handle(peer.KindVerdicts, peer.TypedHandler(c.serveVerdicts))
	hub.Handle(peer.KindTrial, peer.TypedHandler(c.serveTrial))
	return c
}

// SetSeeds sets the addresses of daemons to ask for the others, in an open fleet.
func (c *Cluster) SetSeeds(seeds []string) { c.seeds.Store(&seeds) }

// address finds where a daemon listens for peers.
func (c *Cluster) address(name string) peer.Address {
	return peer.Address{Name: name, Address: c.Board.Members.Address(name)}
}

// ask sends a question to a daemon, with a bound on the time.
func (c *Cluster) call(ctx context.Context, name string, kind peer.Kind, in, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Hub.Call(ctx, c.address(name), kind, in, out)
}

// empty is the empty answer.
type empty struct{}

// Void drops beliefs after a pause of the process.
func (c *Cluster) Invalidate(time.Duration) {
	now := time.Now()
	c.Board.Members.Void(now)
	c.Board.Shares.Void(now)
	c.Board.Leases.Void()
}
