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
	next    int
}

type testDaemon struct {
	*daemon.Daemon
	door  *standin.Endpoint
	boot  *platform.Boot
	log   *testlog.Buffer
	ended chan struct{}
	stop  context.CancelFunc
}

// The routes of the test configuration.
const (
	host     = "calls.example"
	safe     = "/safe/"
	unsafe   = "/unsafe/"
	stream   = "/stream/"
	once     = "/once/"
	prompt   = "/prompt/"
	open     = "/open/"
	key      = "key-of-a"
	plain    = "svc"
	engines  = "llm"
	waitMost = 20 * time.Second
)

func testConfig(version int) standin.Config {
	route := func(prefix, kind, service string, attempts int) standin.Route {
		return standin.Route{
			Name: "r" + prefix, Host: host, Prefix: prefix, Kind: kind, Service: service,
			TimeoutMS: 5000, TargetLatencyMS: 300, MaxAttempts: attempts, UnknownField: "x",
		}
	}
	c := standin.Config{
		Version: version,
		Routes: []standin.Route{
			route(safe, "safe", plain, 2), route(unsafe, "unsafe", plain, 1),
			route(stream, "streaming", plain, 2), route(once, "streaming", plain, 2),
			route(prompt, "streaming", engines, 2), route(open, "safe", plain, 2),
		},
		Services: []standin.Service{{Name: plain}, {Name: engines, Engine: standin.Engine(100_000)}},
		Tenants:  []standin.Tenant{{Name: "a", APIKeys: []string{key}}},
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
	f.client = newFleetClient(t)
	for i := range plainTargets {
		f.addTarget(fmt.Sprint("t", i+1), plain, 6)
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

// newFleetClient returns a client of callers.
func newFleetClient(t *testing.T) *http.Client {
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
	d := &testDaemon{door: door, boot: boot, log: &testlog.Buffer{}, ended: make(chan struct{})}
	// The store's address differs by daemon here; the fleet's key must not.
	file := fileOf(boot, metrics)
	file.PeerKeys = []string{"the key of the fleet under test"}
	log := slog.New(slog.NewJSONHandler(d.log, nil))
	if d.Daemon, err = daemon.NewWithAdapter(&file, adapterOf(boot, log), log); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() {
		defer close(d.ended)
		if err := d.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.t.Cleanup(func() {
		cancel()
		<-d.ended
	})
	f.daemons = append(f.daemons, d)
	return d
}

// eventually waits until a condition holds.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.After(waitMost)
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

func (f *fleet) ask(path string) *standin.CallerRequest {
	f.next++
	return &standin.CallerRequest{Daemon: f.daemons[0].boot.CallerAddress, Host: host, Path: path + "x?q=1", ID: fmt.Sprint("id-", f.next), APIKey: key, DeadlineMS: 4000}
}

func (f *fleet) do(a *standin.CallerRequest) standin.CallerResponse {
	ctx, cancel := context.WithTimeout(context.Background(), waitMost)
	defer cancel()
	return a.Do(ctx, f.client)
}

// calls counts the calls with an id over all targets.
func (f *fleet) calls(id string) []standin.Call {
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
func (f *fleet) scriptOnce(first, later func(http.ResponseWriter, *http.Request, standin.Call)) {
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

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
