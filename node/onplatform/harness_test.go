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

// fleet is a simulated store, simulated targets and real daemons, all on loopback in this process.
type fleet struct {
	t       *testing.T
	store   *standin.Store
	targets map[string]*standin.Target
	daemons []*testDaemon
	client  *http.Client
	config  standin.Config
	lastID  int
	peerKey string // the common key of the daemons
}

// testDaemon is a running daemon of a fleet.
type testDaemon struct {
	*daemon.Daemon
	storeEndpoint *standin.Endpoint // the daemon's own address of the store, which a test can make refuse
	boot          *platform.Boot
	log           *testlog.Buffer
	path          *targetPath
	exited        chan struct{} // closed once Run has returned
	stop          context.CancelFunc
}

// The host, paths, key and services of the test configuration. The paths are one per kind of route: a
// call of safePath may be executed twice, a call of unsafePath is sent to a target at most once, a stream
// of streamPath is resumed at another target if it breaks, one of nonResumablePath is not, promptPath
// leads to the model engines, and noAuthPath needs no API key. In the daemon, the targets of a service
// are a pool with the name of the service. waitTimeout bounds a call and the wait for a condition.
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

	// applyLimit is the time within which a change that the store has accepted has to be in force at all daemons.
	applyLimit = 2 * time.Second
)

// testConfig returns the test configuration in a version.
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
		Services: []standin.Service{{Name: plainService, HealthPath: standin.HealthPath}, {Name: engineService, HealthPath: standin.HealthPath, Engine: standin.Engine(100_000)}},
		Tenants:  []standin.Tenant{{Name: "a", APIKeys: []string{apiKey}}},
	}
	c.Routes[2].Resumable, c.Routes[2].GapGoalMS = true, 100
	c.Routes[4].Resumable, c.Routes[4].GapGoalMS, c.Routes[4].TargetLatencyMS = true, 250, 3000
	c.Routes[5].NoAuth = true
	return c
}

// newFleet starts a fleet of daemons and plain targets and waits until all daemons are ready. Model
// engines are added with addTarget.
func newFleet(t *testing.T, daemons, plainTargets int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore(), targets: map[string]*standin.Target{}, config: testConfig(1), peerKey: "the key of the fleet under test"}
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

// newCallerClient returns an HTTP client for callers.
func newCallerClient(t *testing.T) *http.Client {
	transport := &http.Transport{DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// addTarget starts a target and publishes it as ready, with a number of slots.
func (f *fleet) addTarget(id, service string, slots int) *standin.Target {
	t := standin.NewTarget(id)
	f.t.Cleanup(t.Server.Close)
	f.targets[id] = t
	f.store.PutTarget(t, service, "ready", slots)
	return t
}

// addDaemon starts daemon i with all earlier daemons as seeds. It does not wait until it is ready.
func (f *fleet) addDaemon(i int) *testDaemon {
	f.t.Helper()
	return f.addDaemonAt(i, f.store.OpenEndpoint())
}

// addDaemonWithoutStore starts a daemon that stays in its start, since the store refuses it and it knows no other daemon.
func (f *fleet) addDaemonWithoutStore() *testDaemon {
	f.t.Helper()
	endpoint := f.store.OpenEndpoint()
	endpoint.Refuse(true)
	others := f.daemons
	f.daemons = nil
	d := f.addDaemonAt(len(others), endpoint)
	f.daemons = append(others, d)
	return d
}

// addDaemonAt starts daemon i, which reaches the store at an endpoint.
func (f *fleet) addDaemonAt(i int, endpoint *standin.Endpoint) *testDaemon {
	f.t.Helper()
	f.t.Cleanup(endpoint.Close)
	ip, metrics, err := net.SplitHostPort(testaddr.Free(f.t))
	if err != nil {
		f.t.Fatal(err)
	}
	boot := &platform.Boot{
		Name: fmt.Sprint("d", i+1), DataCentre: "z1", Region: "r1", IP: ip,
		CallerAddress: testaddr.Free(f.t), ReadyAddress: testaddr.Free(f.t), PeerAddress: testaddr.Free(f.t),
		StoreAddress: endpoint.Address(), Regions: map[string]string{"z1": "r1", "z2": "r2"},
		Bounds: platform.Bounds{ShutdownGrace: 8 * time.Second, RepeatShare: 0.2, RepeatSlack: 100, RepeatWindow: 10 * time.Second},
	}
	for _, other := range f.daemons {
		boot.Seeds = append(boot.Seeds, other.boot.PeerAddress)
	}
	d := &testDaemon{storeEndpoint: endpoint, boot: boot, log: &testlog.Buffer{}, path: newTargetPath(), exited: make(chan struct{})}
	// configFileOf derives the fleet's key from the store's address, which differs between daemons
	// here: they need a common key.
	file := configFileOf(boot, metrics)
	file.PeerKeys = []string{f.peerKey}
	log := slog.New(slog.NewJSONHandler(d.log, nil))
	if d.Daemon, err = daemon.NewWithAdapter(&file, newAdapter(boot, log), log); err != nil {
		f.t.Fatal(err)
	}
	d.SetTargetDialer(d.path.dial)
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

// eventually waits until a condition holds, and fails the test after waitTimeout.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.After(waitTimeout)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-deadline:
			f.t.Fatalf("after %v still waiting for: %s", waitTimeout, what)
		case <-tick.C:
		}
	}
}

// ready reports whether a daemon answers the load balancer's check that it is ready.
func (f *fleet) ready(d *testDaemon) bool {
	resp, err := f.client.Get("http://" + d.boot.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until a daemon is ready and knows all targets.
func (f *fleet) waitReady(d *testDaemon) {
	f.t.Helper()
	f.eventually("daemon "+d.boot.Name+" ready and knowing all targets", func() bool {
		return f.ready(d) && len(d.Board.Targets.Addresses()) == len(f.targets)
	})
}

// newRequest returns a request to the first daemon, with an id of its own and a deadline of 4 s.
func (f *fleet) newRequest(path string) *standin.CallerRequest {
	f.lastID++
	return &standin.CallerRequest{Daemon: f.daemons[0].boot.CallerAddress, Host: routeHost, Path: path + "x?q=1", ID: fmt.Sprint("id-", f.lastID), APIKey: apiKey, DeadlineMS: 4000}
}

// do sends a request and returns the daemon's answer.
func (f *fleet) do(a *standin.CallerRequest) standin.CallerResponse {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return a.Do(ctx, f.client)
}

// allowRepeats sends sound calls to the first daemon: a new process may repeat a share of its calls only.
func (f *fleet) allowRepeats() {
	f.scriptAll(standin.Succeed("ok"))
	for range 40 {
		f.do(f.newRequest(safePath))
	}
}

// metrics returns the metrics of a daemon as text.
func (f *fleet) metrics(d *testDaemon) string {
	resp, err := f.client.Get("http://" + d.Config.Admin + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

// callsWithID returns the calls with a request id that reached any target.
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

// scriptAll sets the script of all targets.
func (f *fleet) scriptAll(script func(http.ResponseWriter, *http.Request, standin.Call)) {
	for _, t := range f.targets {
		t.Script(script)
	}
}

// scriptFirstCall answers the first call that reaches any target with one script and all later calls
// with another.
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

// eventTexts returns the text of the events from..to of a stream.
func eventTexts(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
