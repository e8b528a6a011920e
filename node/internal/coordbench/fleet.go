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
	Engines, DataCentres int
	// Parts is the number of coordinators; each knows an equal part of the engines.
	Parts  int
	Choice Choice
	// Load is the offered load as a factor of the users' own.
	Load float64
	// Move tells whether half of the callers move to one data centre.
	Move   bool
	Length time.Duration
	Seed   uint64
}

// Result is what a play gave, by class and in all.
type Result struct {
	// Worth is the part of what was owed that was earned.
	Worth   float64
	Classes map[string]ClassResult
}

// ClassResult is the outcome of the calls of one class.
type ClassResult struct{ Asked, OnTime, Late, Refused int }

const (
	// way is the time of a message between two daemons, or between one and an engine.
	way = time.Millisecond
	// newsEvery is how often coordinators tell all daemons of their load.
	newsEvery = 250 * time.Millisecond
	// lookEvery is how often a coordinator looks at its queue without any event.
	lookEvery = 20 * time.Millisecond
	// slots is the requests that an engine works on at one time.
	slots = 10
	// tail is the time after the last call in which answers may still end.
	tail = 20 * time.Second
)

// pool is what the settings say of the engines: the timing of the users' own, which makes
// events of 80 tokens.
const pool = `
engine_kinds:
  k:
    protocol: engine
    memory_tokens: 315000
    prefill_tokens_per_second: 177000
    max_concurrent: 10
    timing: {step_ms: 0.85, per_sequence_ms: 0.00425, context_ms_per_k: 0.00285, pairs_ms_per_m: 0.184, stride: 80}
pools: {llm: {kind: k, model: m}}
tree: {}
`

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
	tree, err := settings.Parse([]byte(pool))
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
		f.engines[name] = &passEngine{timing: f.pool.Timing}
		part := i % f.setup.Parts
		hosts[part] = append(hosts[part], hostlist.Host{ID: name, Role: hostlist.RoleTarget, Pool: "llm", DataCentre: "dc", State: hostlist.Live, Slots: slots})
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
			load += float64(views[i].Load.Requests)/slots + views[i].Reading
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
	params := requestcontrol.ParamsOf(f.pool, c.by.board.Targets.Capacity("llm", now), 1)
	id := fmt.Sprint(c.id)
	output := int64(c.class.events) * f.pool.Timing.Stride
	ticket := &blackboard.Ticket{
		Pool: f.pool, Params: params, Attempt: id, Deadline: f.start.Add(c.at + c.class.limit),
		Request: routing.Request{
			ID: id, PromptTokens: c.prompt, OutputTokens: output, DataCentre: "dc",
			Goal: c.class.goal.Seconds(), GapGoal: c.class.gapGoal.Seconds(), Seed: rendezvous.Score("llm", id),
		},
		Item: &admission.Item{
			ID: id, Account: fmt.Sprint(c.id % 40), Tokens: c.prompt, Long: params.IsLong(c.prompt),
			Arrived: f.start.Add(c.at), Work: requestcontrol.ReadingWork(&params, c.prompt),
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
		c.refused = true
		return
	}
	readers := append([]string{p.Decision.Chosen}, p.Decision.Helpers...)
	c.engine, c.unread = f.engines[p.Decision.Chosen], len(readers)
	tokens := c.prompt / int64(len(readers))
	f.queue.At(f.now+2*way, func() {
		for _, name := range readers {
			e := f.engines[name]
			e.give(&part{call: c, tokens: tokens, perToken: p.Decision.Reading / float64(c.prompt), shared: len(readers) > 1})
			f.wake(e)
		}
	})
}

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
		e.busy = false
		for _, w := range writers {
			f.wrote(e, w)
		}
		for _, p := range read {
			f.read(p.call)
			if len(writers) > 0 && p.call.unread == 0 && p.call.engine == e {
				f.wrote(e, p.call)
			}
		}
		f.wake(e)
	})
}

// read notes that a part of a call's prompt has been read; with the last one it writes.
func (f *fleet) read(c *call) {
	c.unread--
	if c.unread > 0 {
		return
	}
	c.engine.writers = append(c.engine.writers, c)
	f.wake(c.engine)
}

// wrote notes an event of a call's answer, and tells its coordinator of the first and the last.
func (f *fleet) wrote(e *passEngine, c *call) {
	at := f.now + way
	if c.written == 0 {
		c.first = at
		f.queue.At(at+way, func() {
			c.by.board.Targets.PromptRead(fmt.Sprint(c.id), f.time())
			f.look(c.by)
		})
	} else {
		c.gap = max(c.gap, at-c.last)
	}
	c.last = at
	c.written++
	if c.written < c.class.events {
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
		c.by.board.Targets.Finish(fmt.Sprint(c.id), blackboard.CallSucceeded, f.time())
		f.look(c.by)
	})
}

func (f *fleet) result() *Result {
	r := &Result{Classes: map[string]ClassResult{}}
	owed, earned := 0.0, 0.0
	for _, c := range f.calls {
		k := r.Classes[c.class.name]
		k.Asked++
		owed += c.worth
		switch {
		case c.onTime():
			k.OnTime++
			earned += c.worth
		case c.ended:
			k.Late++
			earned += lateWorth * c.worth
		default:
			k.Refused++
		}
		r.Classes[c.class.name] = k
	}
	r.Worth = earned / owed
	return r
}
