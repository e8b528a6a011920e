// Package fleet starts stand-ins and daemons in one process on loopback, for
// tests and for "doorstack try". It holds no logic of doorstack itself.
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

// Options describe a fleet.
type Options struct {
	// Settings is the settings document.
	Settings []byte
	// Daemons, Engines and Services are numbers of each.
	Daemons, Engines, Services int
	// EnginePool, ServicePool and Model name what the settings route to.
	EnginePool, ServicePool, Model string
	// Cost is the engines' cost model.
	Cost standin.CostModel
	// Log receives the daemons' log lines; nil drops them.
	LogOutput io.Writer
	// DataCentres are spread over hosts in turn; by default one.
	DataCentres []string
}

// Fleet is a running fleet.
type Fleet struct {
	Platform       *standin.Platform
	PlatformServer *standin.Server
	Engines        []*Engine
	Services       []*Service
	Daemons        []*Daemon
	options        Options
}

// Engine is a stand-in engine with its listener.
type Engine struct {
	*standin.Engine
	Host   hostlist.Host
	Server *standin.Server
}

// Service is a stand-in service with its listener.
type Service struct {
	*standin.Service
	Host   hostlist.Host
	Server *standin.Server
}

// Daemon is a running daemon.
type Daemon struct {
	*daemon.Daemon
	Host     hostlist.Host
	cancel   context.CancelFunc
	done     chan struct{}
	stopOnce sync.Once
}

// hostRegion is the region of all hosts.
const hostRegion = "r1"

// anyPort lets the system choose a port on loopback.
const anyPort = "127.0.0.1:0"

// peerKey is the daemons' shared secret.
const peerKey = "a-shared-secret-of-the-fleet"

// Start starts everything and waits until the daemons serve.
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

func (f *Fleet) dataCentre(i int) string { return f.options.DataCentres[i%len(f.options.DataCentres)] }

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

func (f *Fleet) addDaemon(i int) error {
	file := config.Default()
	file.Name = fmt.Sprintf("daemon-%d", i+1)
	file.Listen, file.Admin, file.Peer = anyPort, anyPort, anyPort
	file.DataCentre, file.Region = f.dataCentre(i), hostRegion
	file.Platform.Configuration = "http://" + f.PlatformServer.Address
	file.Platform.Hosts = file.Platform.Configuration
	file.PeerKeys = []string{peerKey}
	file.DrainDelay = strictyaml.Duration(0)
	node, err := f.newDaemon(&file)
	if err != nil {
		return err
	}
	f.Daemons = append(f.Daemons, node)
	return nil
}

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

func (n *Daemon) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		_ = n.Run(ctx)
		close(n.done)
	}()
}

// readyTimeout bounds the start of a daemon; readyPollInterval is how often it is asked.
const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// WaitReady waits until the daemon serves.
func (n *Daemon) WaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Config.Admin+"/readyz", nil)
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
	return errors.New(n.Config.Name + " did not get ready")
}

// Stop ends the daemon at once and waits until it is gone.
func (n *Daemon) Stop() {
	n.stopOnce.Do(func() {
		if n.cancel == nil {
			return
		}
		n.cancel()
		<-n.done
	})
}

// Kill makes the daemon fall silent at once, as a crash does: what it has begun at
// targets stays there.
func (n *Daemon) Kill() {
	n.SimulateCrash()
	n.Stop()
}

// Done is closed when the daemon has ended.
func (n *Daemon) Done() <-chan struct{} { return n.done }

// URL is the callers' base URL.
func (n *Daemon) URL() string { return "http://" + n.Config.Listen }

// Join adds a daemon that reads its settings from another address, after prepare.
func (f *Fleet) Join(configuration string, prepare func(*Daemon)) (*Daemon, error) {
	if err := f.addDaemon(len(f.Daemons)); err != nil {
		return nil, err
	}
	n := f.Daemons[len(f.Daemons)-1]
	n.SetConfigurationURL("http://" + configuration)
	prepare(n)
	f.PublishHosts()
	n.start()
	return n, nil
}

// Restart replaces an ended daemon by a new process of the same host, which
// remembers nothing.
func (f *Fleet) Recreate(i int) (*Daemon, error) {
	file := *f.Daemons[i].Config
	file.Listen, file.Admin, file.Peer = anyPort, anyPort, anyPort
	n, err := f.newDaemon(&file)
	if err != nil {
		return nil, err
	}
	f.Daemons[i] = n
	return n, nil
}

// Start runs a daemon that Restart made.
func (n *Daemon) Start() { n.start() }

// Publish puts all hosts on the platform's list.
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

// Close ends everything.
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
