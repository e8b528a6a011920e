// Package daemon puts the parts of a daemon together and runs them: listeners,
// workers, controllers, and the orderly end.
package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/watch"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/clock"
	"doorstack.dev/node/cluster"
	"doorstack.dev/node/config"
	"doorstack.dev/node/confservice"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/node/worker"
	"github.com/go-faster/errors"
	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Daemon is a doorstackd in a process. Several can run in one process.
type Daemon struct {
	Config  *config.File
	Board   *blackboard.Blackboard
	Metrics *telemetry.Metrics
	Log     *slog.Logger

	adapter       *Adapter // nil where the project's own protocols are spoken
	confClient    *confservice.Client
	recorder      *telemetry.Recorder
	director      *requestcontrol.Director
	settings      *controller.Settings
	targets       *target.Client
	hub           *peer.Hub
	cluster       *cluster.Cluster
	callerServer  *khttp.Server
	app           *kratos.App
	loops         []func(context.Context)
	drained       chan struct{}
	shutdownGrace atomic.Int64 // from the request to end until the kill, in nanoseconds
	drainOnce     sync.Once
}

// Adapter is what a daemon takes from a platform that it runs on in place of the
// project's own protocols.
type Adapter struct {
	// Settings and Targets publish, and Parse resolves settings.
	Settings controller.SettingsSource
	Targets  controller.TargetSource
	Parse    func(parts map[string][]byte) (*settings.Tree, error)
	// Dialect reads and writes the headers of forwarded calls.
	Dialect target.Dialect
	// Ready is the address where the balancer asks whether this daemon takes
	// connections.
	ReadyAddress string
	// Seeds are peers' addresses of some daemons, which may be stale.
	Seeds []string
	// Repeats bounds the sends of calls beyond their first.
	RepeatLimit admission.RepeatLimit
	// Grace is the time from the request to end until the process is killed.
	ShutdownGrace time.Duration
	// Cores is how much of a processor the host gives this daemon, in cores.
	Cores float64
	// Settles is the time after a disturbance of the platform's store in which what it
	// published has to be known everywhere; zero where the platform does not say.
	StoreSettleTime time.Duration
}

// New provisions a daemon from its file. Its listeners are open afterwards, so a
// busy port is an error here; nothing is served before Run.
func New(file *config.File, log *slog.Logger) (*Daemon, error) { return NewWithAdapter(file, nil, log) }

// NewWithAdapter provisions a daemon that runs on a platform through an adapter.
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
	d.director = &requestcontrol.Director{Board: d.Board, Targets: client, Recorder: d.recorder, SuspendedTime: clock.SuspendedTime, RetryPolicy: requestcontrol.DefaultRetryPolicy()}
	d.settings = &controller.Settings{
		Board:       d.Board,
		Source:      source,
		Recorder:    d.recorder,
		Parse:       parse,
		ShouldWatch: d.shouldWatch,
		OnAdopt:     func(*blackboard.SettingsView) { d.onAdopt() },
	}
	d.hub = peer.NewHub(d.Config.Name, d.Config.PeerKeys, d.Metrics)
	d.hub.SetLogger(d.Log)
	d.cluster = cluster.New(d.Board, d.hub, d.recorder, d.settings, client)
	d.director.Claimer, d.director.ShareRequester, d.director.CrashReporter = d.cluster, d.cluster, d.cluster
	d.Board.Accounts.SetShareFunc(d.Board.Shares.Share)
	pause := &controller.PauseDetector{Board: d.Board, Recorder: d.recorder, SuspendedTime: clock.SuspendedTime, OnPause: d.cluster.Invalidate}
	workers := &worker.Pool{Board: d.Board, Size: d.Config.Workers}
	d.loops = []func(context.Context){d.settings.Run, pause.Run, workers.Run, d.cluster.Run}
	if d.adapter != nil {
		d.provisionAdapter()
		return
	}
	reports := &controller.LoadPoller{Board: d.Board, Client: client, Recorder: d.recorder, PollsPerSecond: d.Config.ReportPollsPerSecond}
	hosts := &controller.HostList{Board: d.Board, Source: d.confClient, Recorder: d.recorder, Interval: controller.HostListInterval}
	d.loops = append(d.loops, hosts.Run, reports.Run)
}

// feedMaxHold is how long the settings' controller waits for the feed, which costs no call
// of the store.
const feedMaxHold = 5 * time.Second

// adapt provisions what is different on a platform.
func (d *Daemon) provisionAdapter() {
	d.settings.MaxHold = feedMaxHold
	directory := &controller.Directory{Board: d.Board, Source: d.adapter.Targets, Recorder: d.recorder, ShouldWatch: d.shouldWatch, OnChange: d.cluster.HeartbeatNow, MaxHold: watch.HoldTime(d.adapter.StoreSettleTime)}
	d.cluster.Directory = directory
	d.UpdatePlatformSettings(d.adapter.Seeds, d.adapter.RepeatLimit, d.adapter.ShutdownGrace)
	d.Board.Members.OpenFleet()
	d.director.Placer = d.cluster.Placer
	d.cluster.DisableLeases = true
	d.director.Exchanger = target.NewExchanger(d.adapter.Dialect)
	paces := &controller.SlowdownPoller{Board: d.Board, Exchanger: d.director.Exchanger, Recorder: d.recorder, Coordinates: d.cluster.Placer.Coordinates}
	lag := &controller.LagMonitor{Board: d.Board, Recorder: d.recorder}
	d.loops = append(d.loops, lag.Run, directory.Run, d.director.Exchanger.Run, paces.Run)
}

// adopted takes a new revision to the targets and to the neighbours.
func (d *Daemon) onAdopt() {
	d.Board.SyncTargets()
	d.cluster.HeartbeatNow()
}

// watches tells whether this daemon is one of those that watch the platform's store or the
// configuration service, by the living members that it knows.
func (d *Daemon) shouldWatch() bool {
	var living []membership.Member
	for _, m := range d.Board.Members.Members() {
		if m.State == membership.Alive || m.Name == d.Config.Name {
			living = append(living, m)
		}
	}
	strong := map[string]bool{}
	for _, m := range membership.StrongMembers(living) {
		strong[m.Name] = true
	}
	members := make([]watch.Member, 0, len(living))
	for _, m := range living {
		members = append(members, watch.Member{Name: m.Name, DataCentre: m.DataCentre, Strong: strong[m.Name]})
	}
	return watch.ShouldWatch(d.Config.Name, members)
}

// Adapt takes over settings of a platform that change while the daemon runs.
func (d *Daemon) UpdatePlatformSettings(seeds []string, repeats admission.RepeatLimit, grace time.Duration) {
	d.cluster.SetSeeds(seeds)
	d.Board.Repeats.SetLimit(repeats)
	d.shutdownGrace.Store(int64(grace))
}

// Hub is the daemon's links to its peers.
func (d *Daemon) Hub() *peer.Hub { return d.hub }

// SetConfigurationURL changes where settings are read, before Run.
func (d *Daemon) SetConfigurationURL(url string) { d.confClient.ConfigURL = url }

// Crash cuts the daemon off from its targets for good, so that a test in one
// process can see what a killed process leaves behind.
func (d *Daemon) SimulateCrash() { d.targets.Disconnect() }

// Run serves until ctx ends or Drain has finished, and then stops in order.
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
		d.closeActiveCalls()
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

// stopTimeout bounds the closing of listeners after everything has been drained.
const stopTimeout = 5 * time.Second
