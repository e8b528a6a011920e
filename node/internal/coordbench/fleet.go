package coordbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/rendezvous"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/internal/vtime"
	"doorstack.dev/node/requestcontrol"
)

// Choice is how a caller's daemon chooses the coordinator that it asks.
type Choice string

// The choices.
const (
	// Home asks the coordinator of the daemon's own data centre.
	Home Choice = "home"
	// Any asks one at random.
	Any Choice = "any"
	// Two asks the less loaded of home and one at random.
	Two Choice = "two"
	// Least asks the least loaded of all.
	Least Choice = "least"
)

// Setup is one play.
type Setup struct {
	Workload             *Workload
	Engines, DataCentres int
	// Parts is the number of coordinators; each knows an equal part of the engines.
	Parts  int
	Choice Choice
	// Load is the offered load as a factor of the workload's own.
	Load float64
	// Move tells whether half of the callers move to one data centre.
	Move   bool
	Length time.Duration
	Seed   uint64
}

const (
	// way is the time of a message between two daemons, or between one and an engine.
	way = time.Millisecond
	// newsEvery is how often coordinators tell all daemons of their load.
	newsEvery = 250 * time.Millisecond
	// lookEvery is how often a coordinator looks at its queue without any event.
	lookEvery = 20 * time.Millisecond
	// tail is the time after the last call in which answers may still end.
	tail = 20 * time.Second
)

// fleet is a play in progress.
type fleet struct {
	setup        Setup
	pool         *settings.ResolvedPool
	start        time.Time
	now          time.Duration
	queue        vtime.Queue
	engines      map[string]*passEngine
	coordinators []*coordinator
	calls        []*call
	rng          *rand.Rand
}

// coordinator places calls on a part of the pool.
type coordinator struct {
	board   *blackboard.Blackboard
	waiting []*waiting
	// told is the load that daemons have last heard of: the share of slots taken and the
	// seconds of reading before an engine.
	told float64
	// looked is when it last looked at a long queue.
	looked time.Duration
}

type waiting struct {
	call   *call
	ticket *blackboard.Ticket
}

// Play plays a setup.
func Play(s Setup) (*Result, error) {
	tree, err := s.Workload.settings()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		setup: s, pool: tree.Pool("llm"), start: time.Unix(1_000_000_000, 0),
		engines: map[string]*passEngine{}, calls: calls(&s), rng: rand.New(rand.NewPCG(s.Seed, 2)),
	}
	f.addCoordinators(tree)
	for _, c := range f.calls {
		f.queue.At(c.at, func() { f.ask(c) })
	}
	f.every(newsEvery, f.tellLoads)
	f.every(lookEvery, func() {
		for _, c := range f.coordinators {
			f.look(c)
		}
	})
	f.run()
	return f.result(), nil
}

func (f *fleet) addCoordinators(tree *settings.Tree) {
	hosts := make([][]hostlist.Host, f.setup.Parts)
	for i := range f.setup.Engines {
		name := fmt.Sprint("e", i)
		f.engines[name] = &passEngine{timing: f.pool.Timing, chunk: f.setup.Workload.Engine.Chunk}
		part := i % f.setup.Parts
		hosts[part] = append(hosts[part], hostlist.Host{ID: name, Role: hostlist.RoleTarget, Pool: "llm", DataCentre: "dc", State: hostlist.Live, Slots: int(f.setup.Workload.Engine.Slots)})
	}
	for part := range f.setup.Parts {
		board := blackboard.New(blackboard.Identity{Name: fmt.Sprint("c", part), DataCentre: "dc"}, blackboard.DefaultLimits())
		board.Targets.Sync(hosts[part], tree, f.start)
		f.coordinators = append(f.coordinators, &coordinator{board: board})
	}
}

func (f *fleet) every(period time.Duration, do func()) {
	f.queue.At(f.now+period, func() {
		do()
		if f.now < f.setup.Length+tail {
			f.every(period, do)
		}
	})
}

func (f *fleet) run() {
	for {
		at, do, ok := f.queue.Next()
		if !ok {
			return
		}
		f.now = at
		do()
	}
}

func (f *fleet) time() time.Time { return f.start.Add(f.now) }

// tellLoads tells all daemons of the coordinators' loads.
func (f *fleet) tellLoads() {
	for _, c := range f.coordinators {
		views := c.board.Targets.Views("llm", f.time())
		load := 0.0
		for i := range views {
			load += float64(views[i].Load.Requests)/float64(f.setup.Workload.Engine.Slots) + views[i].PendingPrefill
		}
		load /= float64(len(views))
		f.queue.At(f.now+way, func() { c.told = load })
	}
}

// ask puts the question for a call to a coordinator.
func (f *fleet) ask(c *call) {
	c.by = f.choose(c)
	f.queue.At(f.now+way, func() { f.offer(c) })
}

func (f *fleet) choose(c *call) *coordinator {
	home := f.coordinators[c.dataCentre%len(f.coordinators)]
	drawn := f.coordinators[f.rng.IntN(len(f.coordinators))]
	switch f.setup.Choice {
	case Any:
		return drawn
	case Two:
		if drawn.told < home.told {
			return drawn
		}
	case Least:
		for _, other := range f.coordinators {
			if other.told < home.told {
				home = other
			}
		}
	case Home:
	}
	return home
}

// offer is the coordinator's side of a question.
func (f *fleet) offer(c *call) {
	now := f.time()
	params := requestcontrol.RoutingParams(f.pool, c.by.board.Targets.Capacity("llm", now), 1)
	id := c.name()
	output := int64(c.events) * f.pool.Timing.StepsPerPass
	ticket := &blackboard.Ticket{
		Pool: f.pool, Params: params, Attempt: id, Deadline: f.start.Add(c.at + c.class.Limit),
		Request: routing.Request{
			ID: id, PromptTokens: c.prompt, OutputTokens: output, DataCentre: "dc",
			Goal: c.class.Goal.Seconds(), GapGoal: c.class.GapGoal.Seconds(), Seed: rendezvous.Score("llm", id),
		},
		Item: &admission.Item{
			ID: id, Account: fmt.Sprint(c.id % 40), Tokens: c.prompt, Long: params.IsLong(c.prompt),
			Arrived: f.start.Add(c.asked), PrefillSeconds: requestcontrol.PrefillSeconds(&params, c.prompt),
			LatestStart: requestcontrol.LatestStart(&params, c.prompt, f.start.Add(c.asked), c.class.Goal.Seconds(), false),
		},
	}
	c.by.board.Queues.Push(ticket)
	c.by.waiting = append(c.by.waiting, &waiting{c, ticket})
	f.look(c.by)
}

// A look at a queue of restFrom calls or more is followed by a rest, as in the daemon.
const (
	restFrom = 8
	rest     = 8 * time.Millisecond
)

// look offers what waits at a coordinator to its engines.
func (f *fleet) look(c *coordinator) {
	if len(c.waiting) == 0 || len(c.waiting) >= restFrom && f.now < c.looked+rest {
		return
	}
	c.looked = f.now
	c.board.Queues.Dispatch("llm", c.board.Targets, f.time())
	still := c.waiting[:0]
	for _, w := range c.waiting {
		select {
		case p := <-w.ticket.Placed():
			f.placed(w.call, &p)
		default:
			if f.time().Before(w.ticket.Deadline) {
				still = append(still, w)
				continue
			}
			c.board.Queues.Remove(w.ticket)
			w.call.refused = true
		}
	}
	clear(c.waiting[len(still):])
	c.waiting = still
}

// placed sends a call to its engine, by way of the daemon that asked.
func (f *fleet) placed(c *call, p *blackboard.Placement) {
	if p.Decision.Verdict != routing.Place {
		f.refuse(c)
		return
	}
	readers := append([]string{p.Decision.Chosen}, p.Decision.Helpers...)
	c.engine, c.unread = f.engines[p.Decision.Chosen], len(readers)
	tokens := c.prompt / int64(len(readers))
	f.queue.At(f.now+2*way, func() {
		for _, name := range readers {
			e := f.engines[name]
			e.give(&part{call: c, tokens: tokens, perToken: p.Decision.PrefillTime / float64(c.prompt), shared: len(readers) > 1})
			f.wake(e)
		}
	})
}

// retries is how often a refused caller comes back.
const retries = 1

// refuse tells a caller to come back, or for good.
func (f *fleet) refuse(c *call) {
	if c.attempt >= retries {
		c.refused = true
		return
	}
	c.attempt++
	long := c.prompt >= f.pool.Policy.LongPromptTokens
	c.asked = f.now + admission.BusyRetryAfter(long, c.at+c.class.Limit-f.now)
	f.queue.At(c.asked, func() { f.ask(c) })
}

// name tells the tries of a call apart.
func (c *call) name() string { return fmt.Sprint(c.id, "-", c.attempt) }

// wake begins a pass where none is under way.
func (f *fleet) wake(e *passEngine) {
	if e.busy {
		return
	}
	length, read := e.pass()
	if length == 0 {
		return
	}
	e.busy = true
	writers := append([]*call(nil), e.writers...)
	f.queue.At(f.now+length, func() {
		for _, w := range writers {
			f.wrote(e, w)
		}
		for _, p := range read {
			f.read(p.call, p.shared)
			if len(writers) > 0 && !p.shared {
				f.wrote(e, p.call)
			}
		}
		e.busy = false // The next pass begins with all whose prompts this one has read.
		f.wake(e)
	})
}

// read notes that a part of a call's prompt has been read; with the last one it writes. Where
// several engines read it, the first event comes with the last part, wherever that was read, and
// the second with the next pass of the engine that writes.
func (f *fleet) read(c *call, shared bool) {
	c.unread--
	if c.unread > 0 {
		return
	}
	c.engine.writers = append(c.engine.writers, c)
	if shared {
		f.wrote(c.engine, c)
	}
	f.wake(c.engine)
}

// wrote notes an event of a call's answer, and tells its coordinator of the first and the last.
func (f *fleet) wrote(e *passEngine, c *call) {
	at := f.now + way
	if c.written == 0 {
		c.first = at
		f.queue.At(at+way, func() {
			c.by.board.Targets.RecordPrefillDone(c.name(), f.time())
			f.look(c.by)
		})
	} else {
		c.gap = max(c.gap, at-c.last)
	}
	c.deserted = c.deserted || at-max(c.last, c.asked) > c.class.patience()
	c.last = at
	c.written++
	if c.written < c.events {
		return
	}
	c.ended = true
	for i, w := range e.writers {
		if w == c {
			e.writers = append(e.writers[:i], e.writers[i+1:]...)
			break
		}
	}
	f.queue.At(at+way, func() {
		c.by.board.Targets.Finish(c.name(), blackboard.CallSucceeded, f.time())
		f.look(c.by)
	})
}
