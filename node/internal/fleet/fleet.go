// Package fleet runs a platform stand-in, target stand-ins and daemons on loopback in one
// process, for the tests of this package and for "doorstack try". A fleet is started from a
// settings document and the number of hosts of each type; its hosts can then be stopped,
// crashed and added one by one. The package contains no logic of doorstack itself.
package fleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/strictyaml"
	"doorstack.dev/node/config"
	"doorstack.dev/node/daemon"
	"doorstack.dev/node/internal/standin"
	"github.com/go-faster/errors"
)

// Options are the parameters of a fleet.
type Options struct {
	// Settings is the settings document.
	Settings []byte
	// Daemons, Engines and Services are the numbers of hosts of each type.
	Daemons, Engines, Services int
	// EnginePool and ServicePool are the targets' pools, Model is the engines' model. The
	// settings must route to them.
	EnginePool, ServicePool, Model string
	// Cost is the engines' cost model.
	Cost standin.CostModel
	// LogOutput receives the daemons' log lines; if nil, they are discarded.
	LogOutput io.Writer
	// DataCentres are assigned to hosts in rotation; the default is a single one.
	DataCentres []string
}

// Fleet is a set of running daemons and targets with their platform.
type Fleet struct {
	Platform       *standin.Platform
	PlatformServer *standin.Server
	Engines        []*Engine
	Services       []*Service
	Daemons        []*Daemon
	options        Options
}

// Engine is a stand-in engine with its server and its entry in the host list.
type Engine struct {
	*standin.Engine
	Host   hostlist.Host
	Server *standin.Server
}

// Service is a stand-in service with its server and its entry in the host list.
type Service struct {
	*standin.Service
	Host   hostlist.Host
	Server *standin.Server
}

// Daemon is a daemon of a fleet with its entry in the host list. It runs from its start until
// Stop, Kill or its own end.
type Daemon struct {
	*daemon.Daemon
	Host     hostlist.Host
	cancel   context.CancelFunc
	done     chan struct{}
	stopOnce sync.Once
}

// hostRegion is the region of all hosts.
const hostRegion = "r1"

// anyPort is a loopback address on which the operating system chooses the port.
const anyPort = "127.0.0.1:0"

// peerKey is the secret with which daemons authenticate each other.
const peerKey = "a-shared-secret-of-the-fleet"

// Start starts the platform, the targets and the daemons, and waits until all daemons are
// ready. After an error nothing is left running.
func Start(o Options) (*Fleet, error) {
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"dc1"}
	}
	f := &Fleet{Platform: standin.NewPlatform(), options: o}
	f.Platform.Put(map[string]string{"doorstack/settings": string(o.Settings)})
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start does the work of Start. After an error some hosts may be running.
func (f *Fleet) start() error {
	var err error
	if f.PlatformServer, err = standin.Listen("", f.Platform.Handler(), nil); err != nil {
		return err
	}
	for i := range f.options.Engines {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	for i := range f.options.Services {
		if err := f.addService(i); err != nil {
			return err
		}
	}
	for i := range f.options.Daemons {
		if err := f.addDaemon(i); err != nil {
			return err
		}
	}
	f.PublishHosts()
	for _, d := range f.Daemons {
		d.start()
	}
	for _, d := range f.Daemons {
		if err := d.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// dataCentre returns the data centre of the host with index i of its type.
func (f *Fleet) dataCentre(i int) string { return f.options.DataCentres[i%len(f.options.DataCentres)] }

// addEngine starts an engine. The host list is published later.
func (f *Fleet) addEngine(i int) error {
	e := standin.NewEngine(fmt.Sprintf("engine-%d", i+1), f.options.Cost, f.options.Model)
	server, err := standin.Listen("", e.Handler(), e.Run)
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, &Engine{Engine: e, Server: server, Host: hostlist.Host{
		ID: e.Name, Role: hostlist.RoleTarget, Address: server.Address, Pool: f.options.EnginePool,
		DataCentre: f.dataCentre(i), Region: hostRegion, State: hostlist.Live,
	}})
	return nil
}

// addService starts a service. The host list is published later.
func (f *Fleet) addService(i int) error {
	s := standin.NewService(fmt.Sprintf("service-%d", i+1))
	server, err := standin.Listen("", s.Handler(), nil)
	if err != nil {
		return err
	}
	f.Services = append(f.Services, &Service{Service: s, Server: server, Host: hostlist.Host{
		ID: s.Name, Role: hostlist.RoleTarget, Address: server.Address, Pool: f.options.ServicePool,
		DataCentre: f.dataCentre(i), Region: hostRegion, State: hostlist.Live,
	}})
	return nil
}

// addDaemon creates a daemon, but does not start it.
func (f *Fleet) addDaemon(i int) error {
	file := config.Default()
	file.Name = fmt.Sprintf("daemon-%d", i+1)
	file.Listen, file.Admin, file.Peer = anyPort, anyPort, anyPort
	file.DataCentre, file.Region = f.dataCentre(i), hostRegion
	file.Platform.Configuration = "http://" + f.PlatformServer.Address
	file.Platform.Hosts = file.Platform.Configuration
	file.PeerKeys = []string{peerKey}
	file.DrainDelay = strictyaml.Duration(0)
	d, err := f.newDaemon(&file)
	if err != nil {
		return err
	}
	f.Daemons = append(f.Daemons, d)
	return nil
}

// newDaemon creates a daemon from a configuration file.
func (f *Fleet) newDaemon(file *config.File) (*Daemon, error) {
	out := f.options.LogOutput
	if out == nil {
		out = io.Discard
	}
	d, err := daemon.New(file, slog.New(slog.NewJSONHandler(out, nil)))
	if err != nil {
		return nil, err
	}
	return &Daemon{Daemon: d, done: make(chan struct{}), Host: hostlist.Host{
		ID: file.Name, Role: hostlist.RoleDaemon, Address: file.Peer,
		DataCentre: file.DataCentre, Region: file.Region, State: hostlist.Live,
	}}, nil
}

// start runs the daemon in the background.
func (d *Daemon) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		_ = d.Run(ctx)
		close(d.done)
	}()
}

// readyTimeout is how long WaitReady waits for a daemon, and readyPollInterval the pause
// between its requests.
const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// WaitReady waits until the daemon reports that it is ready, and returns an error after
// readyTimeout.
func (d *Daemon) WaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Config.Admin+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPollInterval)
	}
	return errors.New(d.Config.Name + " was not ready in time")
}

// Stop cancels the daemon's context and waits until the daemon has ended.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() {
		if d.cancel == nil {
			return
		}
		d.cancel()
		<-d.done
	})
}

// Kill ends the daemon without any further message, as a crash would. Its requests and
// reservations at targets are left as they are.
func (d *Daemon) Kill() {
	d.SimulateCrash()
	d.Stop()
}

// Done returns a channel that is closed when the daemon has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// URL returns the base URL for callers.
func (d *Daemon) URL() string { return "http://" + d.Config.Listen }

// Join adds a daemon that reads its settings from the configuration service at the address
// configuration (host:port), and the host list from the fleet's platform. It calls prepare
// before it starts the daemon, and does not wait until the daemon is ready.
func (f *Fleet) Join(configuration string, prepare func(*Daemon)) (*Daemon, error) {
	if err := f.addDaemon(len(f.Daemons)); err != nil {
		return nil, err
	}
	d := f.Daemons[len(f.Daemons)-1]
	d.SetConfigurationURL("http://" + configuration)
	prepare(d)
	f.PublishHosts()
	d.start()
	return d, nil
}

// Recreate replaces an ended daemon with a new one of the same name, on new ports and
// without state. Call Start on the result to start it.
func (f *Fleet) Recreate(i int) (*Daemon, error) {
	file := *f.Daemons[i].Config
	file.Listen, file.Admin, file.Peer = anyPort, anyPort, anyPort
	d, err := f.newDaemon(&file)
	if err != nil {
		return nil, err
	}
	f.Daemons[i] = d
	return d, nil
}

// Start starts a daemon that Recreate returned.
func (d *Daemon) Start() { d.start() }

// PublishHosts replaces the platform's host list with all hosts of the fleet.
func (f *Fleet) PublishHosts() {
	var hosts []hostlist.Host
	for _, d := range f.Daemons {
		hosts = append(hosts, d.Host)
	}
	for _, e := range f.Engines {
		hosts = append(hosts, e.Host)
	}
	for _, s := range f.Services {
		hosts = append(hosts, s.Host)
	}
	f.Platform.SetHosts(hosts)
}

// Close stops the daemons, the targets and the platform.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		d.Stop()
	}
	for _, e := range f.Engines {
		e.Server.Close()
	}
	for _, s := range f.Services {
		s.Server.Close()
	}
	if f.PlatformServer != nil {
		f.PlatformServer.Close()
	}
}
