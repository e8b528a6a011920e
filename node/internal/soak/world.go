package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"doorstack.dev/node/internal/testaddr"
	"doorstack.dev/platform/standin"
	"github.com/go-faster/errors"
)

// Size is how many processes and stand-ins a run has.
type Size struct{ Daemons, Plain, Engines int }

// testbed is a run: the daemons and everything around them.
type testbed struct {
	dir           string
	store         *standin.Store
	storeEndpoint *standin.Endpoint
	storeLink     *Link
	daemons       []*process
	executions    *executionLog
	calls         *callLog

	mu             sync.Mutex
	backends       []*backend // those that are listed, the oldest first
	removed        []*backend // those that have left
	targetsCreated int
	version        int
	config         standin.Config // the newest
	published      []PublishedConfig
	disturbances   []Disturbance
	inRotation     []bool
}

// The passing routes: each configuration adds one, and keeps the last few.
const temporaryRoutes = 3

func temporaryPrefix(route int) string { return fmt.Sprintf("/passing/%d/", route) }

// newTestbed starts everything and returns when all daemons serve.
func newTestbed(ctx context.Context, dir, program string, size Size) (*testbed, error) {
	w := &testbed{
		dir: dir, store: standin.NewStore(), executions: &executionLog{byCall: map[string][]*Execution{}}, calls: &callLog{},
		inRotation: make([]bool, size.Daemons),
	}
	w.storeEndpoint = w.store.OpenEndpoint()
	address, err := testaddr.Find()
	if err != nil {
		return nil, err
	}
	if w.storeLink, err = NewLink(address, w.storeEndpoint.Address()); err != nil {
		return nil, err
	}
	for i := range size.Plain + size.Engines {
		service := plainService
		if i >= size.Plain {
			service = engineService
		}
		if err := w.addTarget(service); err != nil {
			return w, err
		}
	}
	w.publishNextConfig()
	var peers []string
	for range size.Daemons {
		address, err := testaddr.Find()
		if err != nil {
			return w, err
		}
		peers = append(peers, address)
	}
	for i := range size.Daemons {
		p, err := newProcess(i, dir, program, peers[:min(3, len(peers))], peers[i], w.storeLink.Address())
		if err != nil {
			return w, err
		}
		w.daemons = append(w.daemons, p)
	}
	for _, p := range w.daemons {
		if !p.awaitReady(ctx) {
			return w, errors.New(p.boot.Name + " does not get ready; see " + filepath.Join(dir, p.boot.Name+".log"))
		}
	}
	return w, nil
}

// join adds a target to a service.
func (w *testbed) addTarget(service string) error {
	w.mu.Lock()
	w.targetsCreated++
	id := fmt.Sprint("t", w.targetsCreated)
	w.mu.Unlock()
	b, err := newBackend(id, service, w.executions)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	w.store.PutTargetWithStart(b.target, b.link.Address(), service, targetSlots)
	return nil
}

// targetSlots is how many calls a target works on at once.
const targetSlots = 16

// publish puts the next configuration in force: one passing route comes, the oldest goes.
func (w *testbed) publishNextConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	p := PublishedConfig{FirstRoute: max(1, w.version-temporaryRoutes+1), LastRoute: w.version}
	c := standin.Config{
		Version:  w.version,
		Services: []standin.Service{{Name: plainService}, {Name: engineService, Engine: standin.Engine(100_000)}},
		Tenants:  []standin.Tenant{{Name: accountName, APIKeys: []string{apiKey}}},
	}
	for _, path := range paths {
		c.Routes = append(c.Routes, path.configRoute(path.Prefix))
	}
	for n := p.FirstRoute; n <= p.LastRoute; n++ {
		c.Routes = append(c.Routes, safePath.configRoute(temporaryPrefix(n)))
	}
	w.config = c
	w.store.PutConfig(c)
	p.At = time.Now()
	w.published = append(w.published, p)
}

// route is the path's form in a configuration, under a prefix.
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

// pickRoute draws a passing route that is in force, about to come or just gone.
func (w *testbed) pickTemporaryRoute() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(1, w.version+1-rand.IntN(temporaryRoutes+2))
}

// pickReady draws a daemon that was ready when it was last asked, or any if none was.
func (w *testbed) pickReadyDaemon() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []int
	for i, ready := range w.inRotation {
		if ready {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return rand.IntN(len(w.inRotation))
	}
	return list[rand.IntN(len(list))]
}

// readinessInterval is how often the balancer asks who is ready; two misses take a daemon out.
const readinessInterval = time.Second

// balance keeps the list of the daemons that are ready.
func (w *testbed) pollReadiness(ctx context.Context) {
	misses := make([]int, len(w.daemons))
	for ctx.Err() == nil {
		for i, p := range w.daemons {
			if p.ready(ctx) {
				misses[i] = 0
			} else {
				misses[i]++
			}
			w.mu.Lock()
			w.inRotation[i] = misses[i] < 2
			w.mu.Unlock()
		}
		sleep(ctx, readinessInterval)
	}
}

// disturb notes that something is wrong, until the returned function is called.
func (w *testbed) beginDisturbance(k Kind, daemon int) (over func()) {
	return w.recordDisturbance(Disturbance{Kind: k, Daemon: daemon})
}

// disturbTarget notes that something is wrong with one target, as all daemons see it.
func (w *testbed) beginTargetDisturbance(k Kind, b *backend) (over func()) {
	return w.recordDisturbance(Disturbance{Kind: k, Daemon: allDaemons, Target: b.target.ID})
}

func (w *testbed) recordDisturbance(d Disturbance) (over func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := len(w.disturbances)
	d.From, d.To = time.Now(), time.Now().Add(time.Hour)
	w.disturbances = append(w.disturbances, d)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.disturbances[at].To = time.Now()
	}
}

// apply makes an event happen and returns when it is over.
func (w *testbed) apply(ctx context.Context, e Event) {
	daemon := w.daemons[e.Selector%len(w.daemons)]
	switch e.Kind {
	case Term:
		w.restartDaemon(ctx, daemon, e.Kind, syscall.SIGTERM)
	case Kill:
		w.restartDaemon(ctx, daemon, e.Kind, syscall.SIGKILL)
	case Suspend:
		w.suspendDaemon(ctx, daemon, e.Duration)
	case Hup:
		defer w.beginDisturbance(e.Kind, daemon.index)()
		daemon.signal(syscall.SIGHUP)
	case Config:
		defer w.beginDisturbance(e.Kind, allDaemons)()
		w.publishNextConfig()
	case TargetDrain:
		w.replaceTarget(ctx, e.Selector)
	case FrontendDelay, FrontendReset, FrontendOneWay, FrontendSilent:
		defer w.beginDisturbance(e.Kind, daemon.index)()
		injectLinkFault(ctx, daemon.frontend, e)
	case TargetRestart:
		defer w.beginDisturbance(e.Kind, allDaemons)()
		w.restartTarget(ctx, e)
	case StoreInvalidEntries:
		w.writeInvalidEntries(e.Selector)
	case CallCrashes:
		defer w.beginDisturbance(e.Kind, allDaemons)()
		w.sendCrashingCalls(ctx, e)
	case TargetBackoff:
		defer w.beginDisturbance(e.Kind, allDaemons)()
		w.requestBackoff(ctx, e)
	case TargetRateLimit:
		w.setRateLimits(ctx, e)
	case StoreRestore:
		defer w.beginDisturbance(e.Kind, allDaemons)()
		w.restoreStore(ctx, e)
	case TargetReset, TargetOneWay, TargetSilent, TargetFailures:
		defer w.beginDisturbance(e.Kind, allDaemons)()
		w.injectTargetFault(ctx, e)
	default:
		defer w.beginDisturbance(e.Kind, allDaemons)()
		w.injectStoreFault(ctx, e)
	}
}

// resetFraction is the share of a link's connections that a reset ends.
const resetFraction = 0.6

// injectLinkFault puts an event's fault on a link for its time.
func injectLinkFault(ctx context.Context, l *Link, e Event) {
	switch e.Kind {
	case FrontendReset, TargetReset, StoreReset:
		l.Reset(resetFraction)
		return
	case FrontendDelay:
		l.Set(Delayed)
	case FrontendOneWay, TargetOneWay:
		l.Set(OneWay)
	case StoreRefuse:
		l.Set(Refusing)
	default:
		l.Set(Silent)
	}
	sleep(ctx, e.Duration)
	l.Set(NoFault)
}

func (w *testbed) injectTargetFault(ctx context.Context, e Event) {
	w.mu.Lock()
	b := w.backends[e.Selector%len(w.backends)]
	var half []*backend // every other target fails: one alone is soon avoided
	for i, other := range w.backends {
		if i%2 == e.Selector%2 {
			half = append(half, other)
		}
	}
	w.mu.Unlock()
	if e.Kind != TargetFailures {
		defer w.beginTargetDisturbance(e.Kind, b)()
		injectLinkFault(ctx, b.link, e)
		return
	}
	for _, b := range half {
		b.setInjectFailures(true)
	}
	sleep(ctx, e.Duration)
	for _, b := range half {
		b.setInjectFailures(false)
	}
}

func (w *testbed) injectStoreFault(ctx context.Context, e Event) {
	switch e.Kind {
	case StoreDropHistory:
		w.store.DropHistory()
	case StoreStallWatches:
		w.store.StallWatches(true)
		sleep(ctx, e.Duration)
		w.store.StallWatches(false)
		w.storeEndpoint.CloseClientConnections() // The watches that waited never hear again.
	default:
		injectLinkFault(ctx, w.storeLink, e)
	}
}

// restartDelay is the pause between a process's end and its next start.
const restartDelay = 200 * time.Millisecond

// restart ends a daemon and starts it again, unless it is being worked on already.
func (w *testbed) restartDaemon(ctx context.Context, p *process, k Kind, s syscall.Signal) {
	if !p.controlMu.TryLock() {
		return
	}
	defer p.controlMu.Unlock()
	defer w.beginDisturbance(k, p.index)()
	p.stop(s)
	sleep(ctx, restartDelay)
	if err := p.start(); err != nil {
		panic(err) // The program is there: it ran before.
	}
	p.awaitReady(ctx)
}

// freeze lets a daemon stand still.
func (w *testbed) suspendDaemon(ctx context.Context, p *process, d time.Duration) {
	if !p.controlMu.TryLock() {
		return
	}
	defer p.controlMu.Unlock()
	defer w.beginDisturbance(Suspend, p.index)()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	p.signal(syscall.SIGCONT)
}

// drainTime is how long a target goes on to serve after it has said that it leaves.
const drainTime = 2 * time.Second

// leave lets a target go and another one come, while each service keeps two.
func (w *testbed) replaceTarget(ctx context.Context, which int) {
	w.mu.Lock()
	at := which % len(w.backends)
	b := w.backends[at]
	same := 0
	for _, other := range w.backends {
		if other.service == b.service {
			same++
		}
	}
	if same > 2 {
		w.backends = slices.Delete(w.backends, at, at+1)
		w.removed = append(w.removed, b)
	}
	w.mu.Unlock()
	if same <= 2 {
		return
	}
	defer w.beginDisturbance(TargetDrain, allDaemons)()
	if err := w.addTarget(b.service); err != nil {
		panic(err) // No port is free.
	}
	if which%2 == 0 { // Others say nothing before their entry goes.
		w.store.PutDraining(b.target.ID, b.link.Address(), b.service, targetSlots)
		sleep(ctx, drainTime)
	} else { // Some of them say so in their answers.
		b.updateNotices(func() { b.announceDraining = which%4 == 1 })
		sleep(ctx, drainTime)
	}
	w.store.RemoveTarget(b.target)
	sleep(ctx, drainTime)
}

// record collects what was seen.
func (w *testbed) collectRecord() *Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Record{
		Calls: w.calls.list(), Executions: w.executions.list(), Disturbances: slices.Clone(w.disturbances),
		Published: slices.Clone(w.published), ProcessStarts: map[int][]time.Time{}, UnreleasedReservations: w.unreleasedReservations(),
	}
	for _, p := range w.daemons {
		p.mu.Lock()
		r.ProcessStarts[p.index] = slices.Clone(p.startTimes)
		p.mu.Unlock()
	}
	return r
}

// held lists what was set aside and neither released nor run out; the lock is held.
func (w *testbed) unreleasedReservations() []string {
	var list []string
	for _, b := range slices.Concat(w.backends, w.removed) {
		for _, id := range b.target.Reservations(time.Now()) {
			list = append(list, id+" at "+b.target.ID)
		}
	}
	return list
}

func (w *testbed) close() {
	for _, p := range w.daemons {
		p.close()
	}
	for _, b := range slices.Concat(w.backends, w.removed) {
		b.close()
	}
	w.storeLink.Close()
	w.storeEndpoint.CloseClientConnections()
	w.storeEndpoint.Close()
}
