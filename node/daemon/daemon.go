// Package daemon puts the parts of a daemon together and runs them: listeners,
// workers, controllers, and the orderly end.
package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/watch"
	"doorstack.dev/node/admin"
	"doorstack.dev/node/api"
	"doorstack.dev/node/blackboard"
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
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Daemon is a doorstackd in a process. Several can run in one process.
type Daemon struct {
	Config  *config.File
	Board   *blackboard.Blackboard
	Metrics *telemetry.Metrics
	Log     *slog.Logger

	adapter  *Adapter // nil where the project's own protocols are spoken
	service  *confservice.Client
	record   *telemetry.Recorder
	director *requestcontrol.Director
	settings *controller.Settings
	targets  *target.Client
	hub      *peer.Hub
	cluster  *cluster.Cluster
	callers  *khttp.Server
	app      *kratos.App
	loops    []func(context.Context)
	drained  chan struct{}
	grace    atomic.Int64 // from the request to end until the kill, in nanoseconds
	drainOne sync.Once
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
	Ready string
	// Seeds are peers' addresses of some daemons, which may be stale.
	Seeds []string
	// Repeats bounds the sends of calls beyond their first.
	Repeats admission.RepeatLimit
	// Grace is the time from the request to end until the process is killed.
	Grace time.Duration
	// Cores is how much of a processor the host gives this daemon, in cores.
	Cores float64
	// Settles is the time after a disturbance of the platform's store in which what it
	// published has to be known everywhere; zero where the platform does not say.
	Settles time.Duration
}

// New provisions a daemon from its file. Its listeners are open afterwards, so a
// busy port is an error here; nothing is served before Run.
func New(file *config.File, log *slog.Logger) (*Daemon, error) { return NewAdapted(file, nil, log) }

// NewAdapted provisions a daemon that runs on a platform through an adapter.
func NewAdapted(file *config.File, adapter *Adapter, log *slog.Logger) (*Daemon, error) {
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
		Peer:        file.Peer,
		Cores:       cores,
	}, limits)
	d.record = &telemetry.Recorder{Board: d.Board, Log: d.Log, Metrics: d.Metrics}
	d.provisionControllers()
	if err := d.provisionServers(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) provisionControllers() {
	client := target.NewClient()
	d.targets = client
	d.service = &confservice.Client{
		ConfigURL: d.Config.Platform.Configuration,
		HostsURL:  d.Config.Platform.Hosts,
		Prefix:    d.Config.Platform.Prefix,
		HTTP:      &http.Client{},
	}
	var source controller.SettingsSource = d.service
	parse := d.service.ParseParts
	if d.adapter != nil {
		source, parse = d.adapter.Settings, d.adapter.Parse
	}
	d.director = &requestcontrol.Director{Board: d.Board, Targets: client, Record: d.record, Retrying: requestcontrol.DefaultRetryPolicy()}
	d.settings = &controller.Settings{
		Board:    d.Board,
		Platform: source,
		Record:   d.record,
		Parse:    parse,
		Watches:  d.watches,
		Adopted:  func(*blackboard.SettingsView) { d.adopted() },
	}
	d.hub = peer.NewHub(d.Config.Name, d.Config.PeerKeys, d.Metrics)
	d.hub.LogTo(d.Log)
	d.cluster = cluster.New(d.Board, d.hub, d.record, d.settings, client)
	d.director.Claims, d.director.Shares = d.cluster, d.cluster
	d.Board.Accounts.SetShares(d.Board.Shares.Share)
	pause := &controller.Pause{Board: d.Board, Record: d.record, Void: d.cluster.Void}
	workers := &worker.Pool{Board: d.Board, Size: d.Config.Workers}
	d.loops = []func(context.Context){d.settings.Run, pause.Run, workers.Run, d.cluster.Run}
	if d.adapter != nil {
		d.adapt()
		return
	}
	reports := &controller.Reports{Board: d.Board, Client: client, Record: d.record, PollsPerSecond: d.Config.ReportPolls}
	hosts := &controller.Hosts{Board: d.Board, Platform: d.service, Record: d.record, Every: controller.HostsEvery}
	d.loops = append(d.loops, hosts.Run, reports.Run)
}

// feedWait is how long the settings' controller waits for the feed, which costs no call
// of the store.
const feedWait = 5 * time.Second

// adapt provisions what is different on a platform.
func (d *Daemon) adapt() {
	d.settings.Watch = feedWait
	directory := &controller.Directory{Board: d.Board, Source: d.adapter.Targets, Record: d.record, Watches: d.watches, Changed: d.cluster.Poke, Hold: watch.Hold(d.adapter.Settles)}
	d.cluster.Directory = directory
	d.Adapt(d.adapter.Seeds, d.adapter.Repeats, d.adapter.Grace)
	d.Board.Members.Open()
	d.director.Placer = d.cluster.Placements
	d.cluster.MembersOnly = true
	d.director.Exchange = target.NewExchanger(d.adapter.Dialect)
	paces := &controller.Paces{Board: d.Board, Exchange: d.director.Exchange, Record: d.record, Coordinates: d.cluster.Placements.Coordinates}
	d.loops = append(d.loops, directory.Run, d.director.Exchange.Run, paces.Run)
}

// adopted takes a new revision to the targets and to the neighbours.
func (d *Daemon) adopted() {
	d.Board.SyncTargets()
	d.cluster.Poke()
}

// watches tells whether this daemon is one of those that watch the platform's store or the
// configuration service, by the living members that it knows.
func (d *Daemon) watches() bool {
	var living []membership.Member
	for _, m := range d.Board.Members.Members() {
		if m.State == membership.Alive || m.Name == d.Config.Name {
			living = append(living, m)
		}
	}
	strong := map[string]bool{}
	for _, m := range membership.Strong(living) {
		strong[m.Name] = true
	}
	members := make([]watch.Member, 0, len(living))
	for _, m := range living {
		members = append(members, watch.Member{Name: m.Name, DataCentre: m.DataCentre, Strong: strong[m.Name]})
	}
	return watch.Watches(d.Config.Name, members)
}

// readHeaderTimeout bounds a caller that opens a connection and says nothing.
const readHeaderTimeout = 10 * time.Second

func (d *Daemon) provisionServers() error {
	setKratosLogger(d.Log)
	limits := api.DefaultLimits()
	limits.BodyMemory = d.Config.BodyMemoryMB << 20
	callers := api.NewServer(d.Board, d.director, d.Metrics, limits)
	operators := &admin.Server{Board: d.Board, Metrics: d.Metrics, Fleet: d.cluster}
	d.cluster.HandleExplain(func(request string) ([]byte, error) { return json.Marshal(operators.Explain(request)) })
	var err error
	handler := callers.Handler()
	if d.adapter != nil {
		handler = callers.PathHandler(d.adapter.Dialect)
	}
	if d.callers, err = newServer("listen", &d.Config.Listen, handler); err != nil {
		return err
	}
	adminServer, err := newServer("admin", &d.Config.Admin, operators.Handler())
	if err != nil {
		return err
	}
	peerServer, err := newServer("peer", &d.Config.Peer, d.hub.Handler())
	if err != nil {
		return err
	}
	servers := []transport.Server{d.callers, adminServer, peerServer}
	if d.adapter != nil {
		ready, err := newServer("ready", &d.adapter.Ready, operators.ReadyHandler())
		if err != nil {
			return err
		}
		servers = append(servers, ready)
		idle := &api.IdleConns{Board: d.Board}
		d.callers.ConnState = idle.Track
	}
	d.app = kratos.New(
		kratos.Name("doorstackd"),
		kratos.ID(d.Config.Name),
		kratos.Server(servers...),
		kratos.StopTimeout(stopTimeout),
		// Draining is done before Stop, so signals are not the library's: it
		// would stop the listeners at once.
		kratos.Signal(noSignal),
	)
	return nil
}

// newServer opens a listener and writes the address back, whose port may have been
// left to the system. The library's own request timeout of one second is
// switched off: requests carry their own deadlines.
func newServer(key string, address *string, handler http.Handler) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		return nil, errors.Wrap(err, fmt.Sprintf("open the address of %q; free the port or change the file", key))
	}
	*address = listener.Addr().String()
	server := khttp.NewServer(
		khttp.Listener(listener),
		khttp.Endpoint(&url.URL{Scheme: "http", Host: listener.Addr().String()}),
		khttp.Timeout(0),
		khttp.StrictSlash(false),
	)
	// The library's router would answer some paths with a redirect to a tidier one.
	server.Handler = handler
	server.ReadHeaderTimeout = readHeaderTimeout
	return server, nil
}

// Adapt takes over settings of a platform that change while the daemon runs.
func (d *Daemon) Adapt(seeds []string, repeats admission.RepeatLimit, grace time.Duration) {
	d.cluster.SetSeeds(seeds)
	d.Board.Repeats.SetLimit(repeats)
	d.grace.Store(int64(grace))
}

// Hub is the daemon's links to its peers.
func (d *Daemon) Hub() *peer.Hub { return d.hub }

// SetConfigurationURL changes where settings are read, before Run.
func (d *Daemon) SetConfigurationURL(url string) { d.service.ConfigURL = url }

// Crash cuts the daemon off from its targets for good, so that a test in one
// process can see what a killed process leaves behind.
func (d *Daemon) Crash() { d.targets.Disconnect() }

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

// drainPoll is how often a leaving daemon looks whether all has ended.
const drainPoll = 20 * time.Millisecond

// Drain takes nothing new, waits for all that is in flight, each bounded by its
// own deadline, and then lets Run return.
func (d *Daemon) Drain() {
	d.drainOne.Do(func() {
		d.Board.Drain()
		d.cluster.Poke()
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
	for d.Board.InFlight() > 0 && !d.graceOver(began) {
		time.Sleep(drainPoll)
	}
	d.Log.Info("drained", "cut", d.Board.InFlight(), "took", time.Since(began).Round(time.Millisecond).String())
	close(d.drained)
}

// killMargin is how long before the kill a daemon that still has calls ends by itself,
// so that its last lines are written.
const killMargin = 200 * time.Millisecond

// graceOver tells whether the process is about to be killed.
func (d *Daemon) graceOver(began time.Time) bool {
	grace := time.Duration(d.grace.Load())
	return grace > 0 && time.Since(began) > grace-killMargin
}

// The steps of leaving on a platform, from the request to end. The balancer asks once
// a second and takes a daemon out of rotation after two answers that it is not ready,
// so calls that come later come on kept connections, whose callers have been told
// with their last answer that this one closes. They are refused, so that what is
// still running can end before the process is killed; the rest of the time lets the
// refusals reach them.
const (
	refuseAfter = 2500 * time.Millisecond
	closeAfter  = 500 * time.Millisecond
)

// leaveRotation serves until the balancer sends nobody any more, and then refuses.
func (d *Daemon) leaveRotation() {
	time.Sleep(refuseAfter)
	d.Board.CloseForward()
	d.Log.Info("refusing new calls", "in_flight", d.Board.InFlight())
	time.Sleep(closeAfter)
}
