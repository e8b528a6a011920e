package fleetsim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/watch"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/cluster"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/internal/slownet"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/platform"
)

// The tests in this file guard against slow propagation of large configurations. After a change that
// added 1,400 routes, calls of the new routes were refused as unknown, and calls of moved ones went to
// the old targets, at some hosts for up to 7 s; a draining target was still called 3 s later.
//
// The six daemons that watch the store had the change at once and announced it with their heartbeats.
// The other 53 daemons fetched the settings from them at the same time, each the whole 0.9 MB over
// links of 2.5 MB a second. The fetches timed out before a copy arrived, but the copies were still sent
// and the next fetches queued behind them. Heartbeats and target updates waited in the same queues, so
// that the daemons with the new settings were declared dead.
//
// With 59 daemons and nine revisions there were 441 fetches, of which 341 timed out; 1,059 heartbeats
// waited over 0.25 s, up to 3.9 s, at the daemons with the first copies; a draining target became known
// 4.3 s late. With a fifth of the routes none of this happened. The cause was that a change cost the size
// of all settings instead of the size of the change.

const (
	strongHosts, weakHosts       = 6, 53
	strongLinkRate, weakLinkRate = 200e6 / 8, 20e6 / 8 // bytes a second
	// The time to parse a byte of settings, in seconds: 0.86 MB took 0.25 s on a fifth of a core and
	// 0.05 s on four fifths.
	strongParseSecondsPerByte, weakParseSecondsPerByte = 0.05 / 0.86e6, 0.25 / 0.86e6

	addedRoutes = 1400
	// propagationLimit is the time in which a change must apply at all hosts once the watching daemons
	// have it: 3 s after the store accepted it, less 1 s in which the slowest of them reads it.
	propagationLimit = 2 * time.Second
)

// simFleet is a fleet of simulated daemons in virtual time: the real settings, membership and cluster
// code of each, on a simulated slow network.
type simFleet struct {
	t            *testing.T
	daemons      []*simDaemon
	parsedTrees  sync.Map // *settings.Tree by number of parts; all daemons share them
	deathCounter *deathCounter
	network      *slownet.Network
	// stopFuncs stop the fleet. The first ends the context of the daemons; then come two for each daemon,
	// which close its hub and its server; the last waits for all goroutines.
	stopFuncs []func()
}

// simDaemon is a daemon of a simFleet.
type simDaemon struct {
	name, dataCentre string
	board            *blackboard.Blackboard
	settings         *controller.Settings
	directory        *controller.Directory
	cluster          *cluster.Cluster
	netHost          *slownet.Host
	startDelay       time.Duration
	metrics          *telemetry.Metrics
}

// deathCounter is a log handler that counts the lines that declare a member dead.
type deathCounter struct {
	slog.Handler
	mu     sync.Mutex
	deaths int
}

func (d *deathCounter) Enabled(context.Context, slog.Level) bool { return true }

func (d *deathCounter) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if r.Message == "membership" && a.Key == "state" && a.Value.String() == "dead" {
			d.mu.Lock()
			d.deaths++
			d.mu.Unlock()
		}
		return true
	})
	return nil
}

// startSimFleet starts a fleet of strong and weak hosts. Each daemon starts after a delay between 0 and
// period, given by the hash of its name.
func startSimFleet(t *testing.T, strong, weak int, period time.Duration) *simFleet {
	return startDelayedSimFleet(t, strong, weak, period, time.Millisecond)
}

// startDelayedSimFleet is startSimFleet with a one-way delay between any two hosts.
func startDelayedSimFleet(t *testing.T, strong, weak int, period, delay time.Duration) *simFleet {
	f := &simFleet{t: t, deathCounter: &deathCounter{Handler: slog.DiscardHandler}, network: &slownet.Network{Delay: delay}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range strong + weak {
		d := f.newDaemon(i, i < strong)
		server := &http.Server{Handler: d.cluster.Hub.Handler()}
		place := settings.HashKey(d.name)
		d.startDelay = period * time.Duration(place[0]) / 255
		running.Go(func() {
			passTime(d.startDelay)
			running.Go(func() { _ = server.Serve(d.netHost) })
			d.cluster.Run(ctx)
		})
		f.daemons = append(f.daemons, d)
		f.stopFuncs = append(f.stopFuncs, d.cluster.Hub.Close, func() { _ = server.Close() })
	}
	f.stopFuncs = append([]func(){cancel}, append(f.stopFuncs, running.Wait)...)
	return f
}

// stop closes the links and the server of a daemon, like the end of its process.
func (f *simFleet) stop(d *simDaemon) {
	i := slices.Index(f.daemons, d)
	f.stopFuncs[1+2*i]()
	f.stopFuncs[2+2*i]()
}

// linkCloseTimeout is longer than the closing handshake of a link may take.
const linkCloseTimeout = 20 * time.Second

// close stops all daemons and waits until their links are closed.
func (f *simFleet) close() {
	for _, stop := range f.stopFuncs {
		stop()
	}
	passTime(linkCloseTimeout)
}

// passTime lets virtual time pass.
func passTime(d time.Duration) { controller.Sleep(context.Background(), d) }

// fleetKey is the key by which the daemons of the fleet authenticate each other.
const fleetKey = "a-shared-secret-of-the-fleet"

// seedAddress is the peer address of the first daemon, the seed of all others.
const seedAddress = "10.0.0.0:8229"

// newDaemon creates daemon i on a strong or weak host, without starting it.
func (f *simFleet) newDaemon(i int, strong bool) *simDaemon {
	cores, linkRate, parseSecondsPerByte := 0.192, weakLinkRate, weakParseSecondsPerByte
	if strong {
		cores, linkRate, parseSecondsPerByte = 0.8, strongLinkRate, strongParseSecondsPerByte
	}
	d := &simDaemon{name: fmt.Sprint("edge-", i), dataCentre: fmt.Sprint("dc", i%3)}
	address := fmt.Sprintf("10.0.%d.%d:8229", i/250, i%250)
	d.netHost = f.network.AddHost(address, linkRate)
	d.board = blackboard.New(blackboard.Identity{
		Name: d.name, Incarnation: 1, DataCentre: d.dataCentre, Region: "r", PeerAddress: address, Cores: cores,
	}, blackboard.DefaultLimits())
	d.metrics = telemetry.NewMetrics()
	record := &telemetry.Recorder{Board: d.board, Log: slog.New(f.deathCounter), Metrics: d.metrics}
	hub := peer.NewHub(d.name, []string{fleetKey}, d.metrics)
	hub.SetHTTPClient(d.netHost.Client())
	d.settings = &controller.Settings{
		Board: d.board, Recorder: record, ShouldWatch: func() bool { return f.watchesStore(d) },
		Parse:   f.parseWithDelay(parseSecondsPerByte),
		OnAdopt: func(*blackboard.SettingsView) { d.cluster.HeartbeatNow() },
	}
	d.directory = &controller.Directory{Board: d.board, Recorder: record, OnChange: func() { d.cluster.HeartbeatNow() }}
	d.cluster = cluster.New(d.board, hub, record, d.settings, nil)
	d.cluster.Directory, d.cluster.DisableLeases = d.directory, true
	d.cluster.SetSeeds([]string{seedAddress})
	d.board.Members.OpenFleet()
	return d
}

// parseWithDelay returns a parser of settings that takes the given time for each byte in parts that
// changed since its last call.
func (f *simFleet) parseWithDelay(secondsPerByte float64) func(map[string][]byte) (*settings.Tree, error) {
	var mu sync.Mutex
	before := map[string][]byte{}
	return func(parts map[string][]byte) (*settings.Tree, error) {
		mu.Lock()
		size := 0
		for key, data := range parts {
			if !bytes.Equal(before[key], data) {
				size += len(data)
			}
		}
		before = parts
		mu.Unlock()
		passTime(time.Duration(float64(size) * secondsPerByte * float64(time.Second)))
		if tree, ok := f.parsedTrees.Load(len(parts)); ok {
			return tree.(*settings.Tree), nil
		}
		tree, err := platform.NewParser().Parse(parts)
		if err == nil {
			f.parsedTrees.Store(len(parts), tree)
		}
		return tree, err
	}
}

// watchesStore reports whether d is one of the daemons that watch the store.
func (f *simFleet) watchesStore(d *simDaemon) bool {
	var members []watch.Member
	for _, other := range f.daemons {
		members = append(members, watch.Member{Name: other.name, DataCentre: other.dataCentre})
	}
	return watch.ShouldWatch(d.name, members)
}

// publishConfig delivers a configuration to the daemons that watch the store.
func (f *simFleet) publishConfig(text []byte) {
	changes, err := platform.ConfigChanges(text)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, d := range f.daemons {
		if !f.watchesStore(d) {
			continue
		}
		go func() {
			if err := d.settings.Apply(changes, "store"); err != nil {
				f.t.Error(err)
			}
		}()
	}
}

// publishDraining tells the daemons that watch the store that a target is draining.
func (f *simFleet) publishDraining(id string, revision hostlist.Position) {
	for _, d := range f.daemons {
		if f.watchesStore(d) {
			f.deliverDraining(d, id, revision)
		}
	}
}

// deliverDraining delivers the store's entry of a draining target to one daemon.
func (f *simFleet) deliverDraining(d *simDaemon, id string, revision hostlist.Position) {
	d.directory.MergeFromPeer("store", hostlist.Update{AsOf: revision, Confirmed: true, Hosts: []hostlist.Host{{
		ID: id, Role: hostlist.RoleTarget, Address: "10.1.0.1:1", Pool: "svc", State: hostlist.Leaving, Revision: revision,
	}}})
}

// waitAll waits until a condition holds at all daemons and returns how long that took. After 30 s it
// fails the test.
func (f *simFleet) waitAll(what string, holds func(*simDaemon) bool) time.Duration {
	const most = 30 * time.Second
	began := time.Now()
	for _, d := range f.daemons {
		for !holds(d) {
			if time.Since(began) > most {
				f.t.Errorf("waiting for %s: not reached at %s after %v", what, d.name, most)
				return most
			}
			passTime(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// waitForMembers waits until all daemons know a number of living daemons and returns how long that took.
func (f *simFleet) waitForMembers(n int) time.Duration {
	return f.waitAll(fmt.Sprint(n, " members"), func(d *simDaemon) bool {
		known := 0
		d.board.Members.WithLock(func(members *membership.Table) { known = members.AliveCount() })
		return known == n
	})
}

// adoptedRevision returns the revision of the settings that a daemon uses, or 0 if it has none.
func adoptedRevision(d *simDaemon) int64 {
	if view := d.board.Settings.Current(); view != nil {
		return view.Revision
	}
	return 0
}

// bytesSent returns the bytes that all daemons have sent.
func (f *simFleet) bytesSent() int64 {
	sum := int64(0)
	for _, d := range f.daemons {
		sum += d.netHost.BytesSent()
	}
	return sum
}

// configText returns a configuration with a number of routes in the platform's format.
func configText(version int64, routes int) []byte {
	list := make([]string, 0, routes)
	for i := range routes {
		hash := settings.HashKey(fmt.Sprint("route", i))
		list = append(list, fmt.Sprintf(`{"name":"r-%x","host":"%x.example","prefix":"/%x/","kind":"safe","timeout_ms":3000,`+
			`"target_latency_ms":300,"max_attempts":3,"service":"svc","priority":1,"sticky":false,"resumable":false,"traffic_split":[]}`,
			hash[:4], hash[4:7], hash[7:11]))
	}
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"svc","health_path":"/health"}],`+
		`"tenants":[{"name":"t1","api_keys":["a-key-of-the-first-tenant"]}],"limits":{"idle_timeout_ms":30000,"max_body_bytes":4194304}}`,
		version, strings.Join(list, ","))
	if !json.Valid([]byte(text)) {
		panic("test configuration is not valid JSON")
	}
	return []byte(text)
}

// TestLargeConfigurationChangePropagatesInTime checks that three changes, each of which adds 1,400
// routes, propagate to 59 hosts of the two kinds within propagationLimit. After each change comes a
// revision without changes. With each of the six revisions, a target begins to drain, which must
// become known within the same limit.
func TestLargeConfigurationChangePropagatesInTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startSimFleet(t, strongHosts, weakHosts, 0)
		defer f.close()
		routes, version := 240, int64(1)
		f.publishConfig(configText(version, routes))
		f.waitAll("the first revision", func(d *simDaemon) bool { return adoptedRevision(d) == 1 })
		passTime(5 * time.Second)
		for range 3 {
			routes += addedRoutes
			version++
			f.checkChange(fmt.Sprint("revision ", version, " with ", routes, " routes"), version, routes)
			version++
			f.checkChange(fmt.Sprint("revision ", version, " without changes"), version, routes)
		}
		if f.deathCounter.deaths > 0 {
			t.Errorf("live daemons were declared dead %d times, want 0", f.deathCounter.deaths)
		}
	})
}

// checkChange publishes a revision and the draining of a target and checks how soon all daemons have both.
func (f *simFleet) checkChange(what string, version int64, routes int) {
	before := f.bytesSent()
	f.publishConfig(configText(version, routes))
	target := fmt.Sprint("t", version)
	var leaving time.Duration
	var waiting sync.WaitGroup
	waiting.Go(func() {
		passTime(300 * time.Millisecond)
		f.publishDraining(target, hostlist.Position(version))
		leaving = f.waitAll(target+" draining", func(d *simDaemon) bool { return d.board.Directory.Revision() >= hostlist.Position(version) })
	})
	took := f.waitAll(what, func(d *simDaemon) bool { return adoptedRevision(d) >= version })
	waiting.Wait()
	f.t.Logf("%s: applied everywhere after %v, the draining of a target known after %v, %d KB sent", what, took, leaving, (f.bytesSent()-before)>>10)
	if took > propagationLimit {
		f.t.Errorf("%s: applied everywhere after %v, want %v at most", what, took, propagationLimit)
	}
	if leaving > propagationLimit {
		f.t.Errorf("%s: the draining of a target known everywhere after %v, want %v at most", what, leaving, propagationLimit)
	}
	passTime(3 * time.Second)
}
