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

// world is a run: the daemons and everything around them.
type world struct {
	dir     string
	store   *standin.Store
	door    *standin.Endpoint
	toStore *Link
	daemons []*process
	seen    *ledger
	diary   *diary

	mu           sync.Mutex
	backends     []*backend // those that are listed, the oldest first
	gone         []*backend // those that have left
	made         int
	version      int
	config       standin.Config // the newest
	published    []Published
	disturbances []Disturbance
	isReady      []bool
}

// The passing routes: each configuration adds one, and keeps the last few.
const keptRoutes = 3

func passing(route int) string { return fmt.Sprintf("/passing/%d/", route) }

// newWorld starts everything and returns when all daemons serve.
func newWorld(ctx context.Context, dir, program string, size Size) (*world, error) {
	w := &world{
		dir: dir, store: standin.NewStore(), seen: &ledger{runs: map[string][]*Run{}}, diary: &diary{},
		isReady: make([]bool, size.Daemons),
	}
	w.door = w.store.OpenEndpoint()
	address, err := testaddr.Find()
	if err != nil {
		return nil, err
	}
	if w.toStore, err = NewLink(address, w.door.Address()); err != nil {
		return nil, err
	}
	for i := range size.Plain + size.Engines {
		service := plain
		if i >= size.Plain {
			service = engines
		}
		if err := w.join(service); err != nil {
			return w, err
		}
	}
	w.publish()
	var peers []string
	for range size.Daemons {
		address, err := testaddr.Find()
		if err != nil {
			return w, err
		}
		peers = append(peers, address)
	}
	for i := range size.Daemons {
		p, err := newProcess(i, dir, program, peers[:min(3, len(peers))], peers[i], w.toStore.Address())
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
func (w *world) join(service string) error {
	w.mu.Lock()
	w.made++
	id := fmt.Sprint("t", w.made)
	w.mu.Unlock()
	b, err := newBackend(id, service, w.seen)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	w.store.PutTargetWithStart(b.target, b.link.Address(), service, slots)
	return nil
}

// slots is how many calls a target works on at once.
const slots = 16

// publish puts the next configuration in force: one passing route comes, the oldest goes.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	p := Published{First: max(1, w.version-keptRoutes+1), Last: w.version}
	c := standin.Config{
		Version:  w.version,
		Services: []standin.Service{{Name: plain}, {Name: engines, Engine: standin.Engine(100_000)}},
		Tenants:  []standin.Tenant{{Name: account, APIKeys: []string{key}}},
	}
	for _, path := range paths {
		c.Routes = append(c.Routes, path.route(path.Prefix))
	}
	for n := p.First; n <= p.Last; n++ {
		c.Routes = append(c.Routes, safePath.route(passing(n)))
	}
	w.config = c
	w.store.PutConfig(c)
	p.At = time.Now()
	w.published = append(w.published, p)
}

// route is the path's form in a configuration, under a prefix.
func (p *Path) route(prefix string) standin.Route {
	r := standin.Route{
		Name: "r" + prefix, Host: host, Prefix: prefix, Kind: p.Kind, Service: p.Service, MaxAttempts: p.Attempts,
		TimeoutMS: int(p.Allowed.Milliseconds()), TargetLatencyMS: int(p.Goal.Milliseconds()),
	}
	if p.Streams {
		r.Resumable, r.GapGoalMS = true, float64(p.Goal.Milliseconds())
	}
	return r
}

// pickRoute draws a passing route that is in force, about to come or just gone.
func (w *world) pickRoute() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(1, w.version+1-rand.IntN(keptRoutes+2))
}

// pickReady draws a daemon that was ready when it was last asked, or any if none was.
func (w *world) pickReady() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []int
	for i, ready := range w.isReady {
		if ready {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return rand.IntN(len(w.isReady))
	}
	return list[rand.IntN(len(list))]
}

// askEvery is how often the balancer asks who is ready; two misses take a daemon out.
const askEvery = time.Second

// balance keeps the list of the daemons that are ready.
func (w *world) balance(ctx context.Context) {
	misses := make([]int, len(w.daemons))
	for ctx.Err() == nil {
		for i, p := range w.daemons {
			if p.ready(ctx) {
				misses[i] = 0
			} else {
				misses[i]++
			}
			w.mu.Lock()
			w.isReady[i] = misses[i] < 2
			w.mu.Unlock()
		}
		pause(ctx, askEvery)
	}
}

// disturb notes that something is wrong, until the returned function is called.
func (w *world) disturb(k Kind, daemon int) (over func()) {
	return w.note(Disturbance{Kind: k, Daemon: daemon})
}

// disturbTarget notes that something is wrong with one target, as all daemons see it.
func (w *world) disturbTarget(k Kind, b *backend) (over func()) {
	return w.note(Disturbance{Kind: k, Daemon: everywhere, Target: b.target.ID})
}

func (w *world) note(d Disturbance) (over func()) {
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
func (w *world) apply(ctx context.Context, e Event) {
	daemon := w.daemons[e.Which%len(w.daemons)]
	switch e.Kind {
	case Term:
		w.restart(ctx, daemon, e.Kind, syscall.SIGTERM)
	case Kill:
		w.restart(ctx, daemon, e.Kind, syscall.SIGKILL)
	case Pause:
		w.freeze(ctx, daemon, e.For)
	case Hup:
		defer w.disturb(e.Kind, daemon.number)()
		daemon.signal(syscall.SIGHUP)
	case Config:
		defer w.disturb(e.Kind, everywhere)()
		w.publish()
	case Leave:
		w.leave(ctx, e.Which)
	case FrontDelay, FrontReset, FrontOneWay, FrontSilent:
		defer w.disturb(e.Kind, daemon.number)()
		harm(ctx, daemon.front, e)
	case TargetAnew:
		defer w.disturb(e.Kind, everywhere)()
		w.startAnew(ctx, e)
	case StoreForeign:
		w.writeForeign(e.Which)
	case CallCrashes:
		defer w.disturb(e.Kind, everywhere)()
		w.crashCalls(ctx, e)
	case TargetRests:
		defer w.disturb(e.Kind, everywhere)()
		w.restTargets(ctx, e)
	case TargetLimits:
		w.limitTargets(ctx, e)
	case StoreRestore:
		defer w.disturb(e.Kind, everywhere)()
		w.restoreStore(ctx, e)
	case TargetReset, TargetOneWay, TargetSilent, TargetFails:
		defer w.disturb(e.Kind, everywhere)()
		w.harmTarget(ctx, e)
	default:
		defer w.disturb(e.Kind, everywhere)()
		w.harmStore(ctx, e)
	}
}

// resetShare is the share of a link's connections that a reset ends.
const resetShare = 0.6

// harm puts an event's fault on a link for its time.
func harm(ctx context.Context, l *Link, e Event) {
	switch e.Kind {
	case FrontReset, TargetReset, StoreReset:
		l.Reset(resetShare)
		return
	case FrontDelay:
		l.Set(Late)
	case FrontOneWay, TargetOneWay:
		l.Set(OneWay)
	case StoreRefuse:
		l.Set(Refusing)
	default:
		l.Set(Silent)
	}
	pause(ctx, e.For)
	l.Set(Fine)
}

func (w *world) harmTarget(ctx context.Context, e Event) {
	w.mu.Lock()
	b := w.backends[e.Which%len(w.backends)]
	var half []*backend // every other target fails: one alone is soon avoided
	for i, other := range w.backends {
		if i%2 == e.Which%2 {
			half = append(half, other)
		}
	}
	w.mu.Unlock()
	if e.Kind != TargetFails {
		defer w.disturbTarget(e.Kind, b)()
		harm(ctx, b.link, e)
		return
	}
	for _, b := range half {
		b.setFails(true)
	}
	pause(ctx, e.For)
	for _, b := range half {
		b.setFails(false)
	}
}

func (w *world) harmStore(ctx context.Context, e Event) {
	switch e.Kind {
	case StoreForget:
		w.store.DropHistory()
	case StoreMute:
		w.store.StallWatches(true)
		pause(ctx, e.For)
		w.store.StallWatches(false)
		w.door.CloseClientConnections() // The watches that waited never hear again.
	default:
		harm(ctx, w.toStore, e)
	}
}

// startAgain is the pause between a process's end and its next start.
const startAgain = 200 * time.Millisecond

// restart ends a daemon and starts it again, unless it is being worked on already.
func (w *world) restart(ctx context.Context, p *process, k Kind, s syscall.Signal) {
	if !p.work.TryLock() {
		return
	}
	defer p.work.Unlock()
	defer w.disturb(k, p.number)()
	p.end(s)
	pause(ctx, startAgain)
	if err := p.start(); err != nil {
		panic(err) // The program is there: it ran before.
	}
	p.awaitReady(ctx)
}

// freeze lets a daemon stand still.
func (w *world) freeze(ctx context.Context, p *process, d time.Duration) {
	if !p.work.TryLock() {
		return
	}
	defer p.work.Unlock()
	defer w.disturb(Pause, p.number)()
	p.signal(syscall.SIGSTOP)
	pause(ctx, d)
	p.signal(syscall.SIGCONT)
}

// drainFor is how long a target goes on to serve after it has said that it leaves.
const drainFor = 2 * time.Second

// leave lets a target go and another one come, while each service keeps two.
func (w *world) leave(ctx context.Context, which int) {
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
		w.gone = append(w.gone, b)
	}
	w.mu.Unlock()
	if same <= 2 {
		return
	}
	defer w.disturb(Leave, everywhere)()
	if err := w.join(b.service); err != nil {
		panic(err) // No port is free.
	}
	if which%2 == 0 { // Others say nothing before their entry goes.
		w.store.PutDraining(b.target.ID, b.link.Address(), b.service, slots)
		pause(ctx, drainFor)
	} else { // Some of them say so in their answers.
		b.say(func() { b.leaves = which%4 == 1 })
		pause(ctx, drainFor)
	}
	w.store.RemoveTarget(b.target)
	pause(ctx, drainFor)
}

// record collects what was seen.
func (w *world) record() *Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Record{
		Calls: w.diary.list(), Runs: w.seen.list(), Disturbances: slices.Clone(w.disturbances),
		Published: slices.Clone(w.published), Lives: map[int][]time.Time{}, Held: w.held(),
	}
	for _, p := range w.daemons {
		p.mu.Lock()
		r.Lives[p.number] = slices.Clone(p.starts)
		p.mu.Unlock()
	}
	return r
}

// held lists what was set aside and neither released nor run out; the lock is held.
func (w *world) held() []string {
	var list []string
	for _, b := range slices.Concat(w.backends, w.gone) {
		for _, id := range b.target.Reservations(time.Now()) {
			list = append(list, id+" at "+b.target.ID)
		}
	}
	return list
}

func (w *world) close() {
	for _, p := range w.daemons {
		p.close()
	}
	for _, b := range slices.Concat(w.backends, w.gone) {
		b.close()
	}
	w.toStore.Close()
	w.door.CloseClientConnections()
	w.door.Close()
}
