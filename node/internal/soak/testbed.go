package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/node/internal/testaddr"
	"doorstack.dev/platform/standin"
	"github.com/go-faster/errors"
)

// Size is the number of daemons, of targets of the plain service and of engines in a run.
type Size struct{ Daemons, Plain, Engines int }

// testbed holds the daemons and stand-ins of a run and what is recorded of them.
type testbed struct {
	dir           string
	store         *standin.Store
	storeEndpoint *standin.Endpoint
	storeLink     *Link
	daemons       []*process
	executions    *executionLog
	calls         *callLog
	// callersAreSlow is true while some callers read slowly.
	callersAreSlow atomic.Bool
	// herdDaemon is one more than the index of the daemon that most callers choose, or 0.
	herdDaemon atomic.Int64

	mu             sync.Mutex
	backends       []*backend // the targets in the store, oldest first
	removed        []*backend // targets that were removed from the store
	targetsCreated int
	version        int
	config         standin.Config // the newest configuration
	published      []PublishedConfig
	disturbances   []Disturbance
	evacuated      []EvacuatedTime
	cold           []ColdTime
	floods         []Flood
	drains         []Drain
	herds          []Herd
	restores       []Restore
	planSteps      Round // the steps that the processes which outlived the plan had counted then
	rounds         []Round
	heldMemory     map[int]float64 // bytes that daemons hold for calls after the last one
	peakMemory     map[int]int     // the largest memory of each daemon's processes, in MB
	inRotation     []bool          // by daemon: callers may choose it
}

// temporaryRoutes is how many temporary routes a configuration has. Each configuration adds
// one; the oldest is removed.
const temporaryRoutes = 3

// temporaryPrefix returns the path prefix of a temporary route, by its number.
func temporaryPrefix(route int) string { return fmt.Sprintf("/passing/%d/", route) }

// newTestbed starts the stand-ins and daemons and returns when all daemons are ready. With an
// error it may return a testbed that is to be closed.
func newTestbed(ctx context.Context, dir, program string, size Size) (*testbed, error) {
	tb := &testbed{
		dir: dir, store: standin.NewStore(), executions: &executionLog{byCall: map[string][]*Execution{}}, calls: &callLog{},
		inRotation: make([]bool, size.Daemons), peakMemory: map[int]int{},
	}
	tb.storeEndpoint = tb.store.OpenEndpoint()
	address, err := testaddr.Find()
	if err != nil {
		return nil, err
	}
	if tb.storeLink, err = NewLink(address, tb.storeEndpoint.Address()); err != nil {
		return nil, err
	}
	for i := range size.Plain + size.Engines {
		service := plainService
		if i >= size.Plain {
			service = engineService
		}
		if err := tb.addTarget(service); err != nil {
			return tb, err
		}
	}
	tb.publishNextConfig()
	var peers []string
	for range size.Daemons {
		address, err := testaddr.Find()
		if err != nil {
			return tb, err
		}
		peers = append(peers, address)
	}
	for i := range size.Daemons {
		p, err := newProcess(i, dir, program, peers[:min(3, len(peers))], peers[i], tb.storeLink.Address())
		if err != nil {
			return tb, err
		}
		tb.daemons = append(tb.daemons, p)
	}
	for _, p := range tb.daemons {
		if !p.awaitReady(ctx) {
			return tb, errors.New(p.boot.Name + " did not become ready; see " + filepath.Join(dir, p.boot.Name+".log"))
		}
	}
	return tb, nil
}

// addTarget starts a target of a service and adds it to the store.
func (tb *testbed) addTarget(service string) error {
	tb.mu.Lock()
	tb.targetsCreated++
	id := fmt.Sprint("t", tb.targetsCreated)
	tb.store.SetDataCentre(id, dataCentreOfTarget(tb.targetsCreated))
	tb.mu.Unlock()
	b, err := newBackend(id, service, tb.executions)
	if err != nil {
		return err
	}
	tb.mu.Lock()
	tb.backends = append(tb.backends, b)
	tb.mu.Unlock()
	tb.store.PutTargetWithStart(b.target, b.link.Address(), service, targetSlots)
	return nil
}

// targetSlots is how many concurrent calls a target accepts, by its entry in the store.
const targetSlots = 16

// publishNextConfig publishes the next configuration: it has one more temporary route, and
// the oldest is removed.
func (tb *testbed) publishNextConfig() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.version++
	p := PublishedConfig{FirstRoute: max(1, tb.version-temporaryRoutes+1), LastRoute: tb.version}
	c := standin.Config{
		Version: tb.version,
		Services: []standin.Service{
			{Name: plainService, HealthPath: standin.HealthPath, ColdStartS: coldStart.Seconds(), ColdPerS: coldPerSecond},
			{Name: engineService, HealthPath: standin.HealthPath, ColdStartS: coldStart.Seconds(), ColdPerS: coldPerSecond, Engine: standin.Engine(100_000)},
		},
	}
	for _, account := range append([]string{floodAccount}, otherAccounts...) {
		c.Tenants = append(c.Tenants, standin.Tenant{Name: account, APIKeys: []string{apiKeyPrefix + account}})
	}
	for _, path := range paths {
		c.Routes = append(c.Routes, path.configRoute(path.Prefix))
	}
	for n := p.FirstRoute; n <= p.LastRoute; n++ {
		c.Routes = append(c.Routes, safePath.configRoute(temporaryPrefix(n)))
	}
	tb.config = c
	tb.store.PutConfig(c)
	p.At = time.Now()
	tb.published = append(tb.published, p)
}

// configRoute returns the path's route under a prefix, as a configuration has it.
func (p *Path) configRoute(prefix string) standin.Route {
	r := standin.Route{
		Name: "r" + prefix, Host: callHost, Prefix: prefix, Kind: p.Kind, Service: p.Service, MaxAttempts: p.MaxAttempts,
		TimeoutMS: int(p.Timeout.Milliseconds()), TargetLatencyMS: int(p.LatencyGoal.Milliseconds()),
	}
	if p.Streaming {
		r.Resumable, r.GapGoalMS = true, float64(p.LatencyGoal.Milliseconds())
	}
	return r
}

// pickTemporaryRoute draws the number of a temporary route that is in force, not yet added or
// just removed.
func (tb *testbed) pickTemporaryRoute() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return max(1, tb.version+1-rand.IntN(temporaryRoutes+2))
}

// pickReadyDaemon draws a daemon that is in rotation, or any daemon if none is.
func (tb *testbed) pickReadyDaemon() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if herd := int(tb.herdDaemon.Load()) - 1; herd >= 0 && tb.inRotation[herd] && rand.Float64() < herdShare {
		return herd
	}
	var list []int
	for i, ready := range tb.inRotation {
		if ready {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return rand.IntN(len(tb.inRotation))
	}
	return list[rand.IntN(len(list))]
}

// readinessInterval is how often the stand-in load balancer checks the daemons' readiness. Two
// failed checks in a row take a daemon out of rotation.
const readinessInterval = time.Second

// pollReadiness updates inRotation until ctx ends.
func (tb *testbed) pollReadiness(ctx context.Context) {
	misses := make([]int, len(tb.daemons))
	for ctx.Err() == nil {
		tb.recordPeakMemory()
		for i, p := range tb.daemons {
			if p.ready(ctx) {
				misses[i] = 0
			} else {
				misses[i]++
			}
			tb.mu.Lock()
			tb.inRotation[i] = misses[i] < 2
			tb.mu.Unlock()
		}
		sleep(ctx, readinessInterval)
	}
}

// collectRecord copies what was recorded of the run.
func (tb *testbed) collectRecord() *Record {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	r := &Record{
		Calls: tb.calls.list(), Duplicates: tb.calls.listDuplicates(), Executions: tb.executions.list(), Disturbances: slices.Clone(tb.disturbances),
		Published: slices.Clone(tb.published), ProcessStarts: map[int][]time.Time{}, UnreleasedReservations: tb.unreleasedReservations(),
		Evacuated: slices.Clone(tb.evacuated), Cold: slices.Clone(tb.cold), Floods: slices.Clone(tb.floods), Drains: slices.Clone(tb.drains), Herds: slices.Clone(tb.herds), Restores: slices.Clone(tb.restores), PlanSteps: tb.planSteps, Rounds: tb.rounds, UnreleasedMemory: tb.heldMemory, PeakMemoryMB: maps.Clone(tb.peakMemory), TargetCentres: map[string]string{},
	}
	for number := 1; number <= tb.targetsCreated; number++ {
		r.TargetCentres[fmt.Sprint("t", number)] = dataCentreOfTarget(number)
	}
	for _, p := range tb.daemons {
		p.mu.Lock()
		r.ProcessStarts[p.index] = slices.Clone(p.startTimes)
		p.mu.Unlock()
	}
	return r
}

// unreleasedReservations lists the reservations that were neither released nor expired; tb.mu
// is held.
func (tb *testbed) unreleasedReservations() []string {
	var list []string
	for _, b := range slices.Concat(tb.backends, tb.removed) {
		for _, id := range b.target.Reservations(time.Now()) {
			list = append(list, id+" at "+b.target.ID)
		}
	}
	return list
}

// close ends the daemons and the stand-ins.
func (tb *testbed) close() {
	for _, p := range tb.daemons {
		p.close()
	}
	for _, b := range slices.Concat(tb.backends, tb.removed) {
		b.close()
	}
	tb.storeLink.Close()
	tb.storeEndpoint.CloseClientConnections()
	tb.storeEndpoint.Close()
}
