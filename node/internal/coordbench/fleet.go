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
	HomeDataCentre Choice = "home"
	// Any asks one at random.
	Random Choice = "any"
	// Two asks the less loaded of home and one at random.
	BetterOfTwo Choice = "two"
	// Least asks the least loaded of all.
	LeastLoaded Choice = "least"
)

// Setup is one play.
type Setup struct {
	Workload             *Workload
	Engines, DataCentres int
	// Parts is the number of coordinators; each knows an equal part of the engines.
	Coordinators int
	Choice       Choice
	// Load is the offered load as a factor of the workload's own.
	Load float64
	// Move tells whether half of the callers move to one data centre.
	MoveCallers bool
	Duration    time.Duration
	Seed        uint64
}

const (
	// way is the time of a message between two daemons, or between one and an engine.
	messageDelay = time.Millisecond
	// loadReportInterval is how often coordinators tell all daemons of their load.
	loadReportInterval = 250 * time.Millisecond
	// dispatchInterval is how often a coordinator looks at its queue without any event.
	dispatchInterval = 20 * time.Millisecond
	// tail is the time after the last call in which answers may still end.
	drainTime = 20 * time.Second
)

// simulation is a play in progress.
type simulation struct {
	setup        Setup
	pool         *settings.ResolvedPool
	start        time.Time
	now          time.Duration
	events       vtime.Queue
	engines      map[string]*simEngine
	coordinators []*coordinator
	calls        []*call
	rng          *rand.Rand
}

// coordinator places calls on a part of the pool.
type coordinator struct {
	board   *blackboard.Blackboard
	waiting []*waitingCall
	// told is the load that daemons have last heard of: the share of slots taken and the
	// seconds of reading before an engine.
	reportedLoad float64
	// looked is when it last looked at a long queue.
	lastDispatch time.Duration
}

type waitingCall struct {
	call   *call
	ticket *blackboard.Ticket
}

// Simulate plays a setup.
func Simulate(s Setup) (*Result, error) {
	tree, err := s.Workload.settings()
	if err != nil {
		return nil, err
	}
	f := &simulation{
		setup: s, pool: tree.Pool("llm"), start: time.Unix(1_000_000_000, 0),
		engines: map[string]*simEngine{}, calls: generateCalls(&s), rng: rand.New(rand.NewPCG(s.Seed, 2)),
	}
	f.addCoordinators(tree)
	for _, c := range f.calls {
		f.events.Schedule(c.arrival, func() { f.requestPlacement(c) })
	}
	f.scheduleEvery(loadReportInterval, f.reportLoads)
	f.scheduleEvery(dispatchInterval, func() {
		for _, c := range f.coordinators {
			f.dispatch(c)
		}
	})
	f.run()
	return f.summarize(), nil
}

func (f *simulation) addCoordinators(tree *settings.Tree) {
	hosts := make([][]hostlist.Host, f.setup.Coordinators)
	for i := range f.setup.Engines {
		name := fmt.Sprint("e", i)
		f.engines[name] = &simEngine{timing: f.pool.Timing, chunkTokens: f.setup.Workload.Engine.ChunkTokens}
		part := i % f.setup.Coordinators
		hosts[part] = append(hosts[part], hostlist.Host{ID: name, Role: hostlist.RoleTarget, Pool: "llm", DataCentre: "dc", State: hostlist.Live, Slots: int(f.setup.Workload.Engine.Slots)})
	}
	for part := range f.setup.Coordinators {
		board := blackboard.New(blackboard.Identity{Name: fmt.Sprint("c", part), DataCentre: "dc"}, blackboard.DefaultLimits())
		board.Targets.Sync(hosts[part], tree, f.start)
		f.coordinators = append(f.coordinators, &coordinator{board: board})
	}
}

func (f *simulation) scheduleEvery(period time.Duration, do func()) {
	f.events.Schedule(f.now+period, func() {
		do()
		if f.now < f.setup.Duration+drainTime {
			f.scheduleEvery(period, do)
		}
	})
}

func (f *simulation) run() {
	for {
		at, do, ok := f.events.Next()
		if !ok {
			return
		}
		f.now = at
		do()
	}
}

func (f *simulation) time() time.Time { return f.start.Add(f.now) }

// tellLoads tells all daemons of the coordinators' loads.
func (f *simulation) reportLoads() {
	for _, c := range f.coordinators {
		views := c.board.Targets.Views("llm", f.time())
		load := 0.0
		for i := range views {
			load += float64(views[i].Load.Requests)/float64(f.setup.Workload.Engine.Slots) + views[i].PendingPrefill
		}
		load /= float64(len(views))
		f.events.Schedule(f.now+messageDelay, func() { c.reportedLoad = load })
	}
}

// ask puts the question for a call to a coordinator.
func (f *simulation) requestPlacement(c *call) {
	c.coordinator = f.chooseCoordinator(c)
	f.events.Schedule(f.now+messageDelay, func() { f.enqueue(c) })
}

func (f *simulation) chooseCoordinator(c *call) *coordinator {
	home := f.coordinators[c.dataCentre%len(f.coordinators)]
	drawn := f.coordinators[f.rng.IntN(len(f.coordinators))]
	switch f.setup.Choice {
	case Random:
		return drawn
	case BetterOfTwo:
		if drawn.reportedLoad < home.reportedLoad {
			return drawn
		}
	case LeastLoaded:
		for _, other := range f.coordinators {
			if other.reportedLoad < home.reportedLoad {
				home = other
			}
		}
	case HomeDataCentre:
	}
	return home
}

// offer is the coordinator's side of a question.
func (f *simulation) enqueue(c *call) {
	now := f.time()
	params := requestcontrol.RoutingParams(f.pool, c.coordinator.board.Targets.Capacity("llm", now), 1)
	id := c.attemptID()
	output := int64(c.events) * f.pool.Timing.StepsPerPass
	ticket := &blackboard.Ticket{
		Pool: f.pool, Params: params, Attempt: id, Deadline: f.start.Add(c.arrival + c.class.Timeout),
		Request: routing.Request{
			ID: id, PromptTokens: c.promptTokens, OutputTokens: output, DataCentre: "dc",
			Goal: c.class.Goal.Seconds(), GapGoal: c.class.GapGoal.Seconds(), Seed: rendezvous.Score("llm", id),
		},
		Item: &admission.Item{
			ID: id, Account: fmt.Sprint(c.id % 40), Tokens: c.promptTokens, Long: params.IsLong(c.promptTokens),
			Arrived: f.start.Add(c.sentAt), PrefillSeconds: requestcontrol.PrefillSeconds(&params, c.promptTokens),
			LatestStart: requestcontrol.LatestStart(&params, c.promptTokens, f.start.Add(c.sentAt), c.class.Goal.Seconds(), false),
		},
	}
	c.coordinator.board.Queues.Push(ticket)
	c.coordinator.waiting = append(c.coordinator.waiting, &waitingCall{c, ticket})
	f.dispatch(c.coordinator)
}

// A look at a queue of throttleMinLength calls or more is followed by a rest, as in the daemon.
const (
	throttleMinLength = 8
	throttleInterval  = 8 * time.Millisecond
)

// look offers what waits at a coordinator to its engines.
func (f *simulation) dispatch(c *coordinator) {
	if len(c.waiting) == 0 || len(c.waiting) >= throttleMinLength && f.now < c.lastDispatch+throttleInterval {
		return
	}
	c.lastDispatch = f.now
	c.board.Queues.Dispatch("llm", c.board.Targets, f.time())
	still := c.waiting[:0]
	for _, w := range c.waiting {
		select {
		case p := <-w.ticket.Placed():
			f.sendToEngines(w.call, &p)
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
func (f *simulation) sendToEngines(c *call, p *blackboard.Placement) {
	if p.Decision.Verdict != routing.Place {
		f.retryOrRefuse(c)
		return
	}
	readers := append([]string{p.Decision.Chosen}, p.Decision.Helpers...)
	c.engine, c.pendingParts = f.engines[p.Decision.Chosen], len(readers)
	tokens := c.promptTokens / int64(len(readers))
	f.events.Schedule(f.now+2*messageDelay, func() {
		for _, name := range readers {
			e := f.engines[name]
			e.addPart(&promptPart{call: c, tokens: tokens, secondsPerToken: p.Decision.PrefillTime / float64(c.promptTokens), split: len(readers) > 1})
			f.startPass(e)
		}
	})
}

// maxRetries is how often a refused caller comes back.
const maxRetries = 1

// refuse tells a caller to come back, or for good.
func (f *simulation) retryOrRefuse(c *call) {
	if c.attempt >= maxRetries {
		c.refused = true
		return
	}
	c.attempt++
	long := c.promptTokens >= f.pool.Policy.LongPromptTokens
	c.sentAt = f.now + admission.BusyRetryAfter(long, c.arrival+c.class.Timeout-f.now)
	f.events.Schedule(c.sentAt, func() { f.requestPlacement(c) })
}

// name tells the tries of a call apart.
func (c *call) attemptID() string { return fmt.Sprint(c.id, "-", c.attempt) }

// wake begins a pass where none is under way.
func (f *simulation) startPass(e *simEngine) {
	if e.busy {
		return
	}
	length, read := e.nextPass()
	if length == 0 {
		return
	}
	e.busy = true
	writers := append([]*call(nil), e.decoding...)
	f.events.Schedule(f.now+length, func() {
		for _, w := range writers {
			f.recordEvent(e, w)
		}
		for _, p := range read {
			f.finishPart(p.call, p.split)
			if len(writers) > 0 && !p.split {
				f.recordEvent(e, p.call)
			}
		}
		e.busy = false // The next pass begins with all whose prompts this one has read.
		f.startPass(e)
	})
}

// read notes that a part of a call's prompt has been read; with the last one it writes. Where
// several engines read it, the first event comes with the last part, wherever that was read, and
// the second with the next pass of the engine that writes.
func (f *simulation) finishPart(c *call, shared bool) {
	c.pendingParts--
	if c.pendingParts > 0 {
		return
	}
	c.engine.decoding = append(c.engine.decoding, c)
	if shared {
		f.recordEvent(c.engine, c)
	}
	f.startPass(c.engine)
}

// wrote notes an event of a call's answer, and tells its coordinator of the first and the last.
func (f *simulation) recordEvent(e *simEngine, c *call) {
	at := f.now + messageDelay
	if c.eventsSent == 0 {
		c.firstEvent = at
		f.events.Schedule(at+messageDelay, func() {
			c.coordinator.board.Targets.RecordPrefillDone(c.attemptID(), f.time())
			f.dispatch(c.coordinator)
		})
	} else {
		c.longestGap = max(c.longestGap, at-c.lastEvent)
	}
	c.abandoned = c.abandoned || at-max(c.lastEvent, c.sentAt) > c.class.abandonAfter()
	c.lastEvent = at
	c.eventsSent++
	if c.eventsSent < c.events {
		return
	}
	c.completed = true
	for i, w := range e.decoding {
		if w == c {
			e.decoding = append(e.decoding[:i], e.decoding[i+1:]...)
			break
		}
	}
	f.events.Schedule(at+messageDelay, func() {
		c.coordinator.board.Targets.Finish(c.attemptID(), blackboard.CallSucceeded, f.time())
		f.dispatch(c.coordinator)
	})
}
