package fleetsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/hostlist"
	"github.com/go-faster/errors"
)

// applyLimit is the time within which a change that the store has accepted has to be known to all daemons.
const applyLimit = 2 * time.Second

// simStore is a store in virtual time that holds the entries of targets. Its endpoints serve the daemons of
// a simFleet.
type simStore struct {
	mu      sync.Mutex
	hosts   []hostlist.Host // by revision, which is the index plus one
	changed chan struct{}
}

func newSimStore() *simStore { return &simStore{changed: make(chan struct{})} }

// publish writes the entry of a new target and returns its position.
func (s *simStore) publish() hostlist.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := hostlist.Position(len(s.hosts) + 1)
	s.hosts = append(s.hosts, hostlist.Host{
		ID: fmt.Sprint("t", position), Role: hostlist.RoleTarget, Address: fmt.Sprint("10.1.0.1:", position), Pool: "svc",
		State: hostlist.Live, Revision: position,
	})
	close(s.changed)
	s.changed = make(chan struct{})
	return position
}

// after returns the entries after a position and a channel that is closed with the next one.
func (s *simStore) after(position hostlist.Position) ([]hostlist.Host, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[position:], s.changed
}

// simEndpoint is a daemon's access to a simStore. It implements controller.TargetSource.
type simEndpoint struct {
	store *simStore
	read  hostlist.Position
	full  bool
	calls int

	mu     sync.Mutex
	err    error         // of each call, if not nil
	silent bool          // calls fail only after silentTimeout
	cut    chan struct{} // closed when calls begin to fail
}

// silentTimeout is the time after which a call to a store that does not answer fails.
const silentTimeout = 800 * time.Millisecond

// refuse makes waiting and later calls fail; serve ends that.
func (e *simEndpoint) refuse(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.err = err
	close(e.cut)
}

// silence makes waiting and later calls fail after silentTimeout; serve ends that.
func (e *simEndpoint) silence() {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	e.refuse(context.DeadlineExceeded)
}

func (e *simEndpoint) serve() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.err, e.silent, e.cut = nil, false, make(chan struct{})
}

// Targets implements controller.TargetSource.
func (e *simEndpoint) Targets(ctx context.Context, wait, _ time.Duration) (hostlist.Update, error) {
	e.calls++
	passTime(4 * time.Millisecond)
	timeout := time.After(wait)
	for {
		e.mu.Lock()
		err, silent, cut := e.err, e.silent, e.cut
		e.mu.Unlock()
		if silent {
			<-timeout // The watch waits to its end first.
			passTime(silentTimeout)
		}
		if err != nil {
			return hostlist.Update{}, err
		}
		hosts, changed := e.store.after(e.read)
		if !e.full || len(hosts) > 0 {
			update := hostlist.Update{Full: !e.full, AsOf: e.read + hostlist.Position(len(hosts)), Hosts: hosts}
			e.full, e.read = true, update.AsOf
			return update, nil
		}
		select {
		case <-changed:
		case <-cut:
		case <-timeout:
			return hostlist.Update{AsOf: e.read}, nil
		case <-ctx.Done():
			return hostlist.Update{}, ctx.Err()
		}
	}
}

// readingFleet is a fleet whose daemons read a store as they do on the platform.
type readingFleet struct {
	*simFleet
	store       *simStore
	endpoints   map[*simDaemon]*simEndpoint
	stopReading func()
}

// readerHold is for how long a watch of the store waits at most.
const readerHold = 1800 * time.Millisecond

// startReadingFleet starts a fleet and waits until all daemons know each other and have read the store.
func startReadingFleet(t *testing.T, daemons int) *readingFleet {
	f := &readingFleet{simFleet: startSimFleet(t, 0, daemons, time.Second), store: newSimStore(), endpoints: map[*simDaemon]*simEndpoint{}}
	passTime(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, d := range f.daemons {
		e := &simEndpoint{store: f.store, cut: make(chan struct{})}
		f.endpoints[d] = e
		d.directory.Source, d.directory.ShouldWatch, d.directory.MaxHold = e, d.board.MustReadStore, readerHold
		running.Go(func() { d.directory.Run(ctx) })
	}
	f.stopReading = func() {
		cancel()
		running.Wait()
	}
	f.awaitPosition(f.daemons, f.store.publish())
	passTime(5 * time.Second)
	return f
}

func (f *readingFleet) close() {
	f.stopReading()
	f.simFleet.close()
}

// watchers returns the daemons that watch the store, and the others.
func (f *readingFleet) watchers() (watchers, others []*simDaemon) {
	for _, d := range f.daemons {
		if d.board.WatchesStore() {
			watchers = append(watchers, d)
		} else {
			others = append(others, d)
		}
	}
	return watchers, others
}

// awaitPosition returns how long it takes until the given daemons know all changes up to a position.
func (f *readingFleet) awaitPosition(daemons []*simDaemon, position hostlist.Position) time.Duration {
	f.t.Helper()
	began := time.Now()
	for _, d := range daemons {
		for d.board.Directory.Revision() < position {
			if time.Since(began) > waitTimeout {
				f.t.Fatalf("%s knows the changes up to %v, want %v", d.name, d.board.Directory.Revision(), position)
			}
			passTime(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// Guards against changes that were known 3 to 4 s late at the hosts that were left, because all daemons that read the
// store for the others had ended at once and nobody else read it until they were declared dead.
func TestChangeIsKnownInTimeAfterAllWatchersAreLost(t *testing.T) {
	t.Parallel()
	const daemons = 12
	for phase := range 5 {
		synctest.Test(t, func(t *testing.T) {
			f := startReadingFleet(t, daemons)
			defer f.close()
			passTime(time.Duration(phase) * 200 * time.Millisecond)
			watchers, others := f.watchers()
			if len(others) == 0 {
				t.Fatal("all daemons watch the store, want some that do not")
			}
			for _, d := range watchers {
				d.netHost.Freeze()
				f.endpoints[d].refuse(context.DeadlineExceeded)
			}
			if took := f.awaitPosition(others, f.store.publish()); took > applyLimit {
				t.Errorf("phase %d: a change after the loss of %d daemons that watch is known to the others after %v, want %v at most", phase, len(watchers), took, applyLimit)
			} else {
				t.Logf("phase %d: known after %v", phase, took)
			}
			for _, d := range watchers {
				d.netHost.Thaw()
			}
		})
	}
}

// Guards against changes that were known only minutes later, at hosts that the store serves, because it refused all daemons that
// read it for the others. Some of the others are refused as well.
func TestChangeIsKnownInTimeWhileTheStoreRefusesAllWatchers(t *testing.T) {
	t.Parallel()
	// The bound while the store refuses some hosts is the usual one and the time that the store's users allow on top.
	const daemons, limit = 18, applyLimit + 5*time.Second
	for alsoRefused := range 3 {
		synctest.Test(t, func(t *testing.T) {
			f := startReadingFleet(t, daemons)
			defer f.close()
			watchers, others := f.watchers()
			for _, d := range append(watchers, others[:4*alsoRefused]...) {
				f.endpoints[d].refuse(errors.New("the store refuses this host"))
			}
			for i := range 4 {
				if took := f.awaitPosition(f.daemons, f.store.publish()); took > limit {
					t.Fatalf("%d refused: change %d is known after %v, want %v at most", len(watchers)+4*alsoRefused, i, took, limit)
				} else {
					t.Logf("%d refused: change %d is known after %v", len(watchers)+4*alsoRefused, i, took)
				}
				passTime(3 * time.Second)
			}
			for _, d := range f.daemons {
				f.endpoints[d].serve()
			}
			passTime(10 * time.Second) // The watchers read again, and prove it.
			before := f.calls(others)
			passTime(20 * time.Second)
			if calls := f.calls(others) - before; calls != 0 {
				t.Errorf("%d calls of daemons that do not watch, after the store serves all again, want 0", calls)
			}
		})
	}
}

// calls returns the calls that the given daemons have made.
func (f *readingFleet) calls(daemons []*simDaemon) int {
	sum := 0
	for _, d := range daemons {
		sum += f.endpoints[d].calls
	}
	return sum
}

// TestOutageOfTheStoreAddsFewCalls checks that few calls are added to those of the watchers while the store refuses all, and
// none after its return; and that a daemon that was refused does not go on to take the store for unavailable.
func TestOutageOfTheStoreAddsFewCalls(t *testing.T) {
	t.Parallel()
	const daemons, outage, most = 30, 9 * time.Second, 90
	synctest.Test(t, func(t *testing.T) {
		f := startReadingFleet(t, daemons)
		defer f.close()
		_, others := f.watchers()
		before := f.calls(others)
		for _, e := range f.endpoints {
			e.refuse(errors.New("the store is unavailable"))
		}
		passTime(outage)
		during := f.calls(others)
		if added := during - before; added > most {
			t.Errorf("%d calls of %d daemons that do not watch during an outage of %v, want %d at most", added, len(others), outage, most)
		}
		for _, e := range f.endpoints {
			e.serve()
		}
		passTime(applyLimit)
		f.awaitPosition(f.daemons, f.store.publish())
		passTime(applyLimit)
		for _, d := range f.daemons {
			down := false
			d.board.Directory.WithLock(func(t *hostlist.Table) { down = t.StoreDown() })
			if down {
				t.Errorf("%s takes the store for unavailable after its return", d.name)
			}
		}
		t.Logf("%d calls during the outage, %d after it", during-before, f.calls(others)-during)
	})
}

// Guards against changes that are known late, and daemons that are declared dead, after the connections between the daemons
// have fallen silent for good while new ones work.
func TestChangeIsKnownInTimeAfterAllLinksFellSilent(t *testing.T) {
	t.Parallel()
	// The time for which the platform's users count hosts as disturbed after a connection was lost.
	const daemons, disturbed = 18, 3 * time.Second
	for phase := range 5 {
		synctest.Test(t, func(t *testing.T) {
			f := startReadingFleet(t, daemons)
			defer f.close()
			passTime(time.Duration(phase) * 200 * time.Millisecond)
			f.network.SilenceConnections()
			for i := range 10 {
				if took := f.awaitPosition(f.daemons, f.store.publish()); took > applyLimit {
					t.Errorf("phase %d: change %d after the loss of all links is known after %v, want %v at most", phase, i, took, applyLimit)
				}
				passTime(disturbed / 10)
			}
			if f.deathCounter.deaths > 0 {
				t.Errorf("phase %d: running daemons were declared dead %d times, want 0", phase, f.deathCounter.deaths)
			}
		})
	}
}

// disturbance is something that keeps a daemon from reading the store for others.
type disturbance int

const (
	cutOff disturbance = iota
	refusedByStore
	silentStore
	ended        // for good
	disturbances // their number
)

func (k disturbance) String() string {
	return [...]string{"cut off", "refused by the store", "without answers of the store", "ended"}[k]
}

// begin starts a disturbance of a daemon, and end ends it if it does not last.
func (f *readingFleet) begin(k disturbance, d *simDaemon) {
	e := f.endpoints[d]
	switch k {
	case cutOff:
		d.netHost.Freeze()
		e.silence()
	case refusedByStore:
		e.refuse(errors.New("the store refuses this host"))
	case silentStore:
		e.silence()
	case ended:
		f.stop(d)
		e.silence()
	}
}

func (f *readingFleet) end(k disturbance, d *simDaemon) {
	switch k {
	case cutOff:
		d.netHost.Thaw()
	case ended:
		return
	}
	f.endpoints[d].serve()
}

// TestReadersDisturbedInSeries plays disturbances of the daemons that read the store, one after the other or at the same time, in
// fleets of several sizes, while changes are written. Daemons that are never disturbed know each change in time.
func TestReadersDisturbedInSeries(t *testing.T) {
	t.Parallel()
	const seeds, rounds, interval = 2, 3, 300 * time.Millisecond
	for _, daemons := range []int{3, 6, 12, 18} {
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, uint64(daemons)))
			synctest.Test(t, func(t *testing.T) {
				f := startReadingFleet(t, daemons)
				defer f.close()
				calm, running := slices.Clone(f.daemons), slices.Clone(f.daemons)
				limit := applyLimit
				var plan []string
				var playing sync.WaitGroup
				for range rounds {
					kind, length := disturbance(random.IntN(int(disturbances))), time.Second+time.Duration(random.Int64N(int64(8*time.Second)))
					if kind == refusedByStore || kind == silentStore {
						limit = applyLimit + 5*time.Second // While the store is impaired for some.
					}
					var hit []*simDaemon
					most := len(calm) / 2
					calm = slices.DeleteFunc(calm, func(d *simDaemon) bool {
						disturbed := d.board.WatchesStore() && len(hit) < most
						if disturbed {
							hit = append(hit, d)
						}
						return disturbed
					})
					if kind == ended {
						running = slices.DeleteFunc(running, func(d *simDaemon) bool { return slices.Contains(hit, d) })
					}
					plan = append(plan, fmt.Sprintf("%d daemons %v for %v", len(hit), kind, length.Round(time.Millisecond)))
					playing.Go(func() {
						for _, d := range hit {
							f.begin(kind, d)
						}
						passTime(length)
						for _, d := range hit {
							f.end(kind, d)
						}
					})
					for until := time.Now().Add(time.Duration(random.Int64N(int64(6 * time.Second)))); time.Now().Before(until); passTime(interval) {
						if took := f.awaitPosition(calm, f.store.publish()); took > limit {
							t.Errorf("%d daemons, seed %d, %v: a change is known to %d undisturbed daemons after %v, want %v at most", daemons, seed, plan, len(calm), took, limit)
						}
					}
				}
				playing.Wait()
				f.awaitPosition(running, f.store.publish())
			})
		}
	}
}
