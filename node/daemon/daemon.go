// Package daemon assembles a doorstack daemon from its configuration file and, on a platform, an
// Adapter, and runs it: the listeners for callers, operators and peers, the workers and
// controllers, and the graceful shutdown.
package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/reach"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/watch"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/clock"
	"doorstack.dev/node/cluster"
	"doorstack.dev/node/config"
	"doorstack.dev/node/confservice"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/relay"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/node/worker"
	"github.com/go-faster/errors"
	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Daemon is an instance of doorstackd. Several instances can run in one process.
type Daemon struct {
	Config  *config.File
	Board   *blackboard.Blackboard
	Metrics *telemetry.Metrics
	Log     *slog.Logger

	adapter       *Adapter // nil if the daemon uses the project's own protocols
	confClient    *confservice.Client
	recorder      *telemetry.Recorder
	director      *requestcontrol.Director
	connector     *target.Connector
	settings      *controller.Settings
	targets       *target.Client
	hub           *peer.Hub
	cluster       *cluster.Cluster
	relays        *relay.Server
	callerServer  *khttp.Server
	app           *kratos.App
	loops         []func(context.Context)
	drained       chan struct{}
	shutdownGrace atomic.Int64 // from the termination signal until the process is killed, in nanoseconds
	drainOnce     sync.Once
}

// Adapter connects a daemon to the platform that it runs on, in place of the project's own
// protocols.
type Adapter struct {
	// Settings and Targets are the sources of settings and targets. Parse parses and resolves
	// settings.
	Settings controller.SettingsSource
	Targets  controller.TargetSource
	Parse    func(parts map[string][]byte) (*settings.Tree, error)
	// Dialect reads and writes the platform's headers of forwarded calls.
	Dialect target.Dialect
	// ReadyAddress is the listen address for the load balancer's readiness checks.
	ReadyAddress string
	// Seeds are peer addresses of some daemons. They may be outdated.
	Seeds []string
	// RepeatLimit limits how often calls are sent again.
	RepeatLimit admission.RepeatLimit
	// ShutdownGrace is the time from the termination signal until the platform kills the process.
	ShutdownGrace time.Duration
	// Cores is the processor time that the host gives this daemon, in cores.
	Cores float64
	// MemoryMB is the memory of the host, above which the platform kills the process; zero if it is not known.
	MemoryMB int64
	// MaxDescriptors is how many descriptors the platform lets the process have open; zero if it is not known.
	MaxDescriptors int64
	// StoreSettleTime is the time after a disruption of the platform's store within which all
	// daemons must know what it has published. It is zero if the platform sets none.
	StoreSettleTime time.Duration
}

// New creates a daemon from its configuration file. It opens the listeners, so a port in use
// is an error here. Requests are served only once Run is called.
func New(file *config.File, log *slog.Logger) (*Daemon, error) { return NewWithAdapter(file, nil, log) }

// NewWithAdapter is like New for a daemon that runs on a platform. A nil adapter selects the
// project's own protocols.
func NewWithAdapter(file *config.File, adapter *Adapter, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{
		adapter: adapter,
		Config:  file,
		Log:     log.With("daemon", file.Name),
		Metrics: telemetry.NewMetrics(),
		drained: make(chan struct{}),
	}
	limits := blackboard.DefaultLimits()
	limits.DecisionBytes = file.ExplainMemoryMB << 20
	cores := 0.0
	if adapter != nil {
		cores = adapter.Cores
	}
	d.Board = blackboard.New(blackboard.Identity{
		Name:        file.Name,
		Incarnation: time.Now().UnixMilli(),
		DataCentre:  file.DataCentre,
		Region:      file.Region,
		PeerAddress: file.Peer,
		Cores:       cores,
	}, limits)
	d.recorder = &telemetry.Recorder{Board: d.Board, Log: d.Log, Metrics: d.Metrics}
	d.provisionControllers()
	if err := d.provisionServers(); err != nil {
		return nil, err
	}
	return d, nil
}

// provisionControllers creates the director, the cluster, the workers and the controllers, and
// lists the loops that Run starts.
func (d *Daemon) provisionControllers() {
	client := target.NewClient()
	d.targets = client
	d.confClient = &confservice.Client{
		ConfigURL:  d.Config.Platform.Configuration,
		HostsURL:   d.Config.Platform.Hosts,
		Prefix:     d.Config.Platform.Prefix,
		HTTPClient: &http.Client{},
	}
	var source controller.SettingsSource = d.confClient
	parse := d.confClient.ParseParts
	if d.adapter != nil {
		source, parse = d.adapter.Settings, d.adapter.Parse
	}
	d.director = &requestcontrol.Director{Board: d.Board, Targets: client, Recorder: d.recorder, SuspendedTime: clock.SuspendedTime, RetryPolicy: requestcontrol.DefaultRetryPolicy(), Memory: callmemory.New(d.Config.BodyMemoryMB << 20)}
	d.Metrics.RegisterCallMemory(d.director.Memory.InUse)
	d.Metrics.RegisterProcessUsage()
	d.settings = &controller.Settings{
		Board:       d.Board,
		Source:      source,
		Recorder:    d.recorder,
		Parse:       parse,
		ShouldWatch: d.Board.MustReadStore,
		OnAdopt:     func(*blackboard.SettingsView) { d.onAdopt() },
	}
	d.hub = peer.NewHub(d.Config.Name, d.Config.PeerKeys, d.Metrics)
	d.hub.SetLogger(d.Log)
	d.cluster = cluster.New(d.Board, d.hub, d.recorder, d.settings, client)
	d.director.Claimer, d.director.ShareRequester, d.director.CrashReporter = d.cluster, d.cluster, d.cluster
	d.provisionConnector()
	d.Board.Accounts.SetShareFunc(d.Board.Shares.Share)
	pause := &controller.PauseDetector{Board: d.Board, Recorder: d.recorder, SuspendedTime: clock.SuspendedTime, OnPause: d.cluster.Invalidate}
	workers := &worker.Pool{Board: d.Board, Size: d.Config.Workers}
	d.loops = []func(context.Context){d.settings.Run, pause.Run, workers.Run, d.cluster.Run, d.connector.Run}
	if d.adapter != nil {
		d.provisionAdapter()
		return
	}
	d.settings.OnRead = d.Board.RecordStoreRead
	d.Board.StoreReads.WithCoverage(time.Now(), func(c *watch.Coverage) { c.SetHold(controller.DefaultSettingsHold) })
	reports := &controller.LoadPoller{Board: d.Board, Client: client, Recorder: d.recorder, PollsPerSecond: d.Config.ReportPollsPerSecond}
	hosts := &controller.HostList{Board: d.Board, Source: d.confClient, Recorder: d.recorder, Interval: controller.HostListInterval}
	d.loops = append(d.loops, hosts.Run, reports.Run)
}

// provisionConnector sets up the connections to targets: this daemon's own, which may go through other daemons, and
// those that it relays for them.
func (d *Daemon) provisionConnector() {
	d.connector = target.NewConnector()
	if d.adapter == nil {
		d.connector.Dial = target.DialForLargeBodies
	}
	d.connector.OnConnect = d.recorder.RecordConnect
	d.connector.Relays = &relay.Client{Board: d.Board, Hub: d.hub, Dial: d.connector.Dial}
	d.targets.UseConnector(d.connector)
	d.relays = relay.NewServer(d.Board, d.connector, d.recorder, d.hub)
	d.Metrics.RegisterRelayedConnections(d.relays.Relaying)
}

// feedMaxHold is how long the settings controller waits for a change in the adapter's Settings.
// The wait itself costs no call to the store, which only the adapter's Targets reads.
const feedMaxHold = 5 * time.Second

// provisionAdapter sets up the parts that differ on a platform: the directory of targets, the
// exchanger that sends forwarded calls to targets, the poller of slow targets, and the monitor of
// the daemon's lag.
func (d *Daemon) provisionAdapter() {
	d.settings.MaxHold = feedMaxHold
	directory := &controller.Directory{Board: d.Board, Source: d.adapter.Targets, Recorder: d.recorder, ShouldWatch: d.Board.MustReadStore, OnChange: d.cluster.HeartbeatNow, MaxHold: watch.HoldTime(d.adapter.StoreSettleTime)}
	d.cluster.Directory = directory
	d.UpdatePlatformSettings(d.adapter.Seeds, d.adapter.RepeatLimit, d.adapter.ShutdownGrace)
	d.Board.Members.OpenFleet()
	d.Board.StoreReads.WithCoverage(time.Now(), func(c *watch.Coverage) { c.SetHold(directory.MaxHold) })
	d.director.Placer = d.cluster.Placer
	d.cluster.DisableLeases = true
	d.director.Exchanger = target.NewExchanger(d.adapter.Dialect, d.connector)
	d.director.Exchanger.OnEndCheck = d.recorder.RecordEndCheck
	slowdowns := &controller.SlowdownPoller{Board: d.Board, Exchanger: d.director.Exchanger, Recorder: d.recorder, Coordinates: d.cluster.Placer.Coordinates}
	lag := &controller.LagMonitor{Board: d.Board, Recorder: d.recorder}
	memory := &controller.MemoryMonitor{HostBytes: d.adapter.MemoryMB << 20, Usage: telemetry.ReadProcessUsage, CallBytes: d.director.Memory.InUse, Log: d.Log}
	d.loops = append(d.loops, lag.Run, memory.Run, directory.Run, d.director.Exchanger.Run, slowdowns.Run)
}

// onAdopt applies a new revision of the settings to the targets and announces it to peers with a
// heartbeat.
func (d *Daemon) onAdopt() {
	d.Board.SyncTargets()
	d.cluster.HeartbeatNow()
}

// UpdatePlatformSettings applies those values of an Adapter that may change while the daemon
// runs.
func (d *Daemon) UpdatePlatformSettings(seeds []string, repeats admission.RepeatLimit, grace time.Duration) {
	d.cluster.SetSeeds(seeds)
	d.Board.Repeats.SetLimit(repeats)
	d.shutdownGrace.Store(int64(grace))
}

// Hub returns the hub of the daemon's links to its peers.
func (d *Daemon) Hub() *peer.Hub { return d.hub }

// SetConfigurationURL sets the URL that settings are read from. It must be called before Run.
func (d *Daemon) SetConfigurationURL(url string) { d.confClient.ConfigURL = url }

// SimulateCrash disconnects the daemon from its targets for good, so that a test within one
// process can check the effects of a killed daemon.
func (d *Daemon) SimulateCrash() { d.targets.Disconnect() }

// SetTargetDialer replaces how connections to targets are opened, so that a test can cut the host off from
// them. It must be called before Run.
func (d *Daemon) SetTargetDialer(dial func(ctx context.Context, address string) (target.Socket, error)) {
	d.connector.Dial = dial
}

// SetSuspendedTime replaces how the host's suspended time is read, so that a test can let permits expire. It must be called
// before Run.
func (d *Daemon) SetSuspendedTime(suspended func() time.Duration) {
	d.director.SuspendedTime = suspended
}

// Coordinates reports whether this daemon places the calls of a pool for the fleet.
func (d *Daemon) Coordinates(pool string) bool { return d.cluster.Placer.Coordinates(pool) }

// TargetPaths returns the state of this host's own paths to targets.
func (d *Daemon) TargetPaths() reach.Summary { return d.connector.Summary() }

// Run serves until ctx ends or Drain has finished, and then stops the hub, the listeners and the
// controllers.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	for _, loop := range d.loops {
		loops.Go(func() { loop(ctx) })
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-d.drained:
		}
		d.hub.Close()
		d.closeCallers()
		_ = d.app.Stop()
	}()
	d.Log.Info("started", "listen", d.Config.Listen, "admin", d.Config.Admin, "peer", d.Config.Peer)
	err := d.app.Run()
	cancel()
	loops.Wait()
	d.Log.Info("stopped")
	if err != nil {
		return errors.Wrap(err, "run")
	}
	return nil
}

// stopTimeout limits the time for closing the listeners after draining.
const stopTimeout = 5 * time.Second
