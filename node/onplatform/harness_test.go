package onplatform

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"doorstack.dev/node/daemon"
	"doorstack.dev/node/internal/testaddr"
	"doorstack.dev/node/internal/testlog"
	"doorstack.dev/platform"
	"doorstack.dev/platform/standin"
)

// fleet is a store, targets and daemons on loopback.
type fleet struct {
	t       *testing.T
	store   *standin.Store
	targets map[string]*standin.Target
	daemons []*testDaemon
	client  *http.Client
	config  standin.Config
	lastID  int
}

type testDaemon struct {
	*daemon.Daemon
	storeEndpoint *standin.Endpoint
	boot          *platform.Boot
	log           *testlog.Buffer
	exited        chan struct{}
	stop          context.CancelFunc
}

// The routes of the test configuration.
const (
	routeHost        = "calls.example"
	safePath         = "/safe/"
	unsafePath       = "/unsafe/"
	streamPath       = "/stream/"
	nonResumablePath = "/once/"
	promptPath       = "/prompt/"
	noAuthPath       = "/open/"
	apiKey           = "key-of-a"
	plainService     = "svc"
	engineService    = "llm"
	waitTimeout      = 20 * time.Second
)

func testConfig(version int) standin.Config {
	route := func(prefix, kind, service string, attempts int) standin.Route {
		return standin.Route{
			Name: "r" + prefix, Host: routeHost, Prefix: prefix, Kind: kind, Service: service,
			TimeoutMS: 5000, TargetLatencyMS: 300, MaxAttempts: attempts, UnknownField: "x",
		}
	}
	c := standin.Config{
		Version: version,
		Routes: []standin.Route{
			route(safePath, "safe", plainService, 2), route(unsafePath, "unsafe", plainService, 1),
			route(streamPath, "streaming", plainService, 2), route(nonResumablePath, "streaming", plainService, 2),
			route(promptPath, "streaming", engineService, 2), route(noAuthPath, "safe", plainService, 2),
		},
		Services: []standin.Service{{Name: plainService}, {Name: engineService, Engine: standin.Engine(100_000)}},
		Tenants:  []standin.Tenant{{Name: "a", APIKeys: []string{apiKey}}},
	}
	c.Routes[2].Resumable, c.Routes[2].GapGoalMS = true, 100
	c.Routes[4].Resumable, c.Routes[4].GapGoalMS, c.Routes[4].TargetLatencyMS = true, 250, 3000
	c.Routes[5].NoAuth = true
	return c
}

// newFleet starts daemons over so many plain targets; engines are added by addTarget.
func newFleet(t *testing.T, daemons, plainTargets int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore(), targets: map[string]*standin.Target{}, config: testConfig(1)}
	f.client = newCallerClient(t)
	for i := range plainTargets {
		f.addTarget(fmt.Sprint("t", i+1), plainService, 6)
	}
	f.store.PutConfig(f.config)
	for i := range daemons {
		f.addDaemon(i)
	}
	for _, d := range f.daemons {
		f.waitReady(d)
	}
	return f
}

// newCallerClient returns a client of callers.
func newCallerClient(t *testing.T) *http.Client {
	transport := &http.Transport{DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (f *fleet) addTarget(id, service string, slots int) *standin.Target {
	t := standin.NewTarget(id)
	f.t.Cleanup(t.Server.Close)
	f.targets[id] = t
	f.store.PutTarget(t, service, "ready", slots)
	return t
}

func (f *fleet) addDaemon(i int) *testDaemon {
	f.t.Helper()
	door := f.store.OpenEndpoint()
	f.t.Cleanup(door.Close)
	ip, metrics, err := net.SplitHostPort(testaddr.Free(f.t))
	if err != nil {
		f.t.Fatal(err)
	}
	boot := &platform.Boot{
		Name: fmt.Sprint("d", i+1), DataCentre: "z1", Region: "r1", IP: ip,
		CallerAddress: testaddr.Free(f.t), ReadyAddress: testaddr.Free(f.t), PeerAddress: testaddr.Free(f.t),
		StoreAddress: door.Address(), Regions: map[string]string{"z1": "r1"},
		Bounds: platform.Bounds{ShutdownGrace: 8 * time.Second, RepeatShare: 0.2, RepeatSlack: 100, RepeatWindow: 10 * time.Second},
	}
	for _, other := range f.daemons {
		boot.Seeds = append(boot.Seeds, other.boot.PeerAddress)
	}
	d := &testDaemon{storeEndpoint: door, boot: boot, log: &testlog.Buffer{}, exited: make(chan struct{})}
	// The store's address differs by daemon here; the fleet's key must not.
	file := configFileOf(boot, metrics)
	file.PeerKeys = []string{"the key of the fleet under test"}
	log := slog.New(slog.NewJSONHandler(d.log, nil))
	if d.Daemon, err = daemon.NewWithAdapter(&file, newAdapter(boot, log), log); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() {
		defer close(d.exited)
		if err := d.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.t.Cleanup(func() {
		cancel()
		<-d.exited
	})
	f.daemons = append(f.daemons, d)
	return d
}

// eventually waits until a condition holds.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.After(waitTimeout)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-deadline:
			f.t.Fatal("does not come: " + what)
		case <-tick.C:
		}
	}
}

func (f *fleet) ready(d *testDaemon) bool {
	resp, err := f.client.Get("http://" + d.boot.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) waitReady(d *testDaemon) {
	f.t.Helper()
	f.eventually("daemon "+d.boot.Name+" ready with all targets", func() bool {
		return f.ready(d) && len(d.Board.Targets.Addresses()) == len(f.targets)
	})
}

func (f *fleet) newRequest(path string) *standin.CallerRequest {
	f.lastID++
	return &standin.CallerRequest{Daemon: f.daemons[0].boot.CallerAddress, Host: routeHost, Path: path + "x?q=1", ID: fmt.Sprint("id-", f.lastID), APIKey: apiKey, DeadlineMS: 4000}
}

func (f *fleet) do(a *standin.CallerRequest) standin.CallerResponse {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return a.Do(ctx, f.client)
}

// calls counts the calls with an id over all targets.
func (f *fleet) callsWithID(id string) []standin.Call {
	var list []standin.Call
	for _, t := range f.targets {
		for _, c := range t.Calls() {
			if c.ID == id {
				list = append(list, c)
			}
		}
	}
	return list
}

func (f *fleet) scriptAll(script func(http.ResponseWriter, *http.Request, standin.Call)) {
	for _, t := range f.targets {
		t.Script(script)
	}
}

// scriptOnce lets the first call of all targets go to one script and later ones to
// another.
func (f *fleet) scriptFirstCall(first, later func(http.ResponseWriter, *http.Request, standin.Call)) {
	var mu sync.Mutex
	used := false
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		mu.Lock()
		isFirst := !used
		used = true
		mu.Unlock()
		if isFirst {
			first(w, r, c)
			return
		}
		later(w, r, c)
	})
}

func eventTexts(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
