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

// Choice is how the daemon that received a call chooses the coordinator that places it.
type Choice string

const (
	// HomeDataCentre chooses the home coordinator, that of the daemon's own data centre. If there
	// are fewer coordinators than data centres, some data centres share one.
	HomeDataCentre Choice = "home"
	// Random chooses a coordinator at random.
	Random Choice = "any"
	// BetterOfTwo chooses the less loaded of the home coordinator and a random one.
	BetterOfTwo Choice = "two"
	// LeastLoaded chooses the least loaded of all coordinators.
	LeastLoaded Choice = "least"
)

// Setup holds the parameters of a simulation.
type Setup struct {
	Workload             *Workload
	Engines, DataCentres int
	// Coordinators is the number of coordinators; each knows an equal part of the engines.
	Coordinators int
	Choice       Choice
	// Load is a factor of the workload's call rates.
	Load float64
	// MoveCallers reports whether half of the callers move to one data centre, halfway through.
	MoveCallers bool
	// Duration is the virtual time in which calls arrive.
	Duration time.Duration
	Seed     uint64
	// Accounts are the numbers of calls of the client accounts, relative to each other. Without
	// them, calls are spread evenly over 40 accounts.
	Accounts []float64
	// RepeatingAccount is the index of an account whose callers ignore the advised wait: they
	// repeat a refused call after repeatDelay, up to maxRepeats times. Negative means none; it is
	// only used with Accounts.
	RepeatingAccount int
}

const (
	// messageDelay is the one-way delay between two daemons, or a daemon and an engine.
	messageDelay = time.Millisecond
	// loadReportInterval is how often coordinators report their load to all daemons.
	loadReportInterval = 250 * time.Millisecond
	// dispatchInterval is how often a coordinator dispatches its queue even if no call arrives
	// or makes progress.
	dispatchInterval = 20 * time.Millisecond
	// drainTime is the time after Setup.Duration in which answers may still complete.
	drainTime = 20 * time.Second
)

// simulation is the state of a simulation.
type simulation struct {
	setup        Setup
	pool         *settings.ResolvedPool
	start        time.Time
	now          time.Duration // virtual time since start
	events       vtime.Queue
	engines      map[string]*simEngine
	coordinators []*coordinator
	calls        []*call
	rng          *rand.Rand
}

// coordinator places calls on its part of the pool's engines.
type coordinator struct {
	board   *blackboard.Blackboard
	waiting []*waitingCall
	// reportedLoad is the load last reported to the daemons: the share of an engine's slots
	// in use plus the seconds of its pending prefill, as a mean over the engines.
	reportedLoad float64
	// lastDispatch is the time of the last dispatch of the queue.
	lastDispatch time.Duration
}

// waitingCall is a call in a coordinator's queue.
type waitingCall struct {
	call   *call
	ticket *blackboard.Ticket
}

// Simulate runs a simulation and returns its outcome. It returns an error if the workload's
// settings are invalid.
func Simulate(s Setup) (*Result, error) {
	tree, err := s.Workload.settings()
	if err != nil {
		return nil, err
	}
	sim := &simulation{
		setup: s, pool: tree.Pool("llm"), start: time.Unix(1_000_000_000, 0),
		engines: map[string]*simEngine{}, calls: generateCalls(&s), rng: rand.New(rand.NewPCG(s.Seed, 2)),
	}
	sim.addCoordinators(tree)
	for _, c := range sim.calls {
		sim.events.Schedule(c.arrival, func() { sim.requestPlacement(c) })
	}
	sim.scheduleEvery(loadReportInterval, sim.reportLoads)
	sim.scheduleEvery(dispatchInterval, func() {
		for _, c := range sim.coordinators {
			sim.dispatch(c)
		}
	})
	sim.run()
	return sim.summarize(), nil
}

// addCoordinators creates the engines and divides them among the coordinators.
func (sim *simulation) addCoordinators(tree *settings.Tree) {
	hosts := make([][]hostlist.Host, sim.setup.Coordinators)
	for i := range sim.setup.Engines {
		name := fmt.Sprint("e", i)
		sim.engines[name] = &simEngine{timing: sim.pool.Timing, chunkTokens: sim.setup.Workload.Engine.ChunkTokens}
		part := i % sim.setup.Coordinators
		hosts[part] = append(hosts[part], hostlist.Host{ID: name, Role: hostlist.RoleTarget, Pool: "llm", DataCentre: "dc", State: hostlist.Live, Slots: int(sim.setup.Workload.Engine.Slots)})
	}
	for part := range sim.setup.Coordinators {
		board := blackboard.New(blackboard.Identity{Name: fmt.Sprint("c", part), DataCentre: "dc"}, blackboard.DefaultLimits())
		board.Targets.Sync(hosts[part], tree, sim.start)
		sim.coordinators = append(sim.coordinators, &coordinator{board: board})
	}
}

// scheduleEvery schedules do once each period until the end of the simulation.
func (sim *simulation) scheduleEvery(period time.Duration, do func()) {
	sim.events.Schedule(sim.now+period, func() {
		do()
		if sim.now < sim.setup.Duration+drainTime {
			sim.scheduleEvery(period, do)
		}
	})
}

// run executes events until none are left.
func (sim *simulation) run() {
	for {
		at, do, ok := sim.events.Next()
		if !ok {
			return
		}
		sim.now = at
		do()
	}
}

// time returns the current virtual time.
func (sim *simulation) time() time.Time { return sim.start.Add(sim.now) }

// reportLoads reports the coordinators' loads to all daemons.
func (sim *simulation) reportLoads() {
	for _, c := range sim.coordinators {
		views := c.board.Targets.Views("llm", sim.time())
		load := 0.0
		for i := range views {
			load += float64(views[i].Load.Requests)/float64(sim.setup.Workload.Engine.Slots) + views[i].PendingPrefill
		}
		load /= float64(len(views))
		sim.events.Schedule(sim.now+messageDelay, func() { c.reportedLoad = load })
	}
}

// requestPlacement sends a call's placement request to a coordinator.
func (sim *simulation) requestPlacement(c *call) {
	c.coordinator = sim.chooseCoordinator(c)
	sim.events.Schedule(sim.now+messageDelay, func() { sim.enqueue(c) })
}

// chooseCoordinator returns the coordinator for a call, by Setup.Choice.
func (sim *simulation) chooseCoordinator(c *call) *coordinator {
	home := sim.coordinators[c.dataCentre%len(sim.coordinators)]
	drawn := sim.coordinators[sim.rng.IntN(len(sim.coordinators))]
	switch sim.setup.Choice {
	case Random:
		return drawn
	case BetterOfTwo:
		if drawn.reportedLoad < home.reportedLoad {
			return drawn
		}
	case LeastLoaded:
		for _, other := range sim.coordinators {
			if other.reportedLoad < home.reportedLoad {
				home = other
			}
		}
	case HomeDataCentre:
	}
	return home
}

// enqueue handles a placement request at its coordinator.
func (sim *simulation) enqueue(c *call) {
	now := sim.time()
	capacity := c.coordinator.board.Targets.Capacity("llm", now)
	params := requestcontrol.RoutingParams(sim.pool, capacity, 1)
	id := c.attemptID()
	output := int64(c.events) * sim.pool.Timing.StepsPerPass
	ticket := &blackboard.Ticket{
		Pool: sim.pool, Params: params, Attempt: id, Deadline: sim.start.Add(c.arrival + c.class.Timeout),
		Request: routing.Request{
			ID: id, PromptTokens: c.promptTokens, OutputTokens: output, DataCentre: "dc",
			Goal: c.class.Goal.Seconds(), GapGoal: c.class.GapGoal.Seconds(), Seed: rendezvous.Score("llm", id),
		},
		Item: &admission.Item{
			ID: id, Account: fmt.Sprint(c.account), Tokens: c.promptTokens,
			Cost: admission.Cost(sim.pool.Timing, capacity.Size(), c.promptTokens, output), Long: params.IsLong(c.promptTokens),
			Arrived: sim.start.Add(c.sentAt), PrefillSeconds: requestcontrol.PrefillSeconds(&params, c.promptTokens),
			LatestStart: requestcontrol.LatestStart(&params, c.promptTokens, sim.start.Add(c.sentAt), c.class.Goal.Seconds(), false),
		},
	}
	c.coordinator.board.Queues.Push(ticket)
	c.coordinator.waiting = append(c.coordinator.waiting, &waitingCall{c, ticket})
	sim.dispatch(c.coordinator)
}

// A queue of throttleMinLength calls or more is dispatched only if throttleInterval has passed since
// the last dispatch, much as in the daemon, which counts the calls that the last dispatch left.
const (
	throttleMinLength = 8
	throttleInterval  = 8 * time.Millisecond
)

// dispatch places a coordinator's waiting calls on its engines and refuses those whose deadline
// has passed.
func (sim *simulation) dispatch(c *coordinator) {
	if len(c.waiting) == 0 || len(c.waiting) >= throttleMinLength && sim.now < c.lastDispatch+throttleInterval {
		return
	}
	c.lastDispatch = sim.now
	c.board.Queues.Dispatch("llm", c.board.Targets, sim.time())
	still := c.waiting[:0]
	for _, w := range c.waiting {
		select {
		case p := <-w.ticket.Placed():
			sim.sendToEngines(w.call, &p)
		default:
			if sim.time().Before(w.ticket.Deadline) {
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

// sendToEngines sends a placed call to its engines, by way of the daemon that requested the
// placement. If the coordinator refused the call, the caller may retry it (see retryOrRefuse).
func (sim *simulation) sendToEngines(c *call, p *blackboard.Placement) {
	if p.Decision.Verdict != routing.Place {
		sim.retryOrRefuse(c)
		return
	}
	prefillers := append([]string{p.Decision.Chosen}, p.Decision.Helpers...)
	c.engine, c.pendingParts = sim.engines[p.Decision.Chosen], len(prefillers)
	tokens := c.promptTokens / int64(len(prefillers))
	sim.events.Schedule(sim.now+2*messageDelay, func() {
		for _, name := range prefillers {
			e := sim.engines[name]
			e.addPart(&promptPart{call: c, tokens: tokens, secondsPerToken: p.Decision.PrefillTime / float64(c.promptTokens), split: len(prefillers) > 1})
			sim.startPass(e)
		}
	})
}

const (
	// maxRetries is how often a caller retries a refused call.
	maxRetries = 1
	// maxRepeats is how often a caller of Setup.RepeatingAccount repeats a refused call, and
	// repeatDelay the time after which it does.
	maxRepeats  = 20
	repeatDelay = 20 * time.Millisecond
)

// retryOrRefuse schedules the retry of a refused call, or refuses it for good after maxRetries.
func (sim *simulation) retryOrRefuse(c *call) {
	repeats := sim.setup.Accounts != nil && c.account == sim.setup.RepeatingAccount
	limit := maxRetries
	if repeats {
		limit = maxRepeats
	}
	if c.attempt >= limit {
		c.refused = true
		return
	}
	c.attempt++
	long := c.promptTokens >= sim.pool.Policy.LongPromptTokens
	c.sentAt = sim.now + admission.BusyRetryAfter(long, c.arrival+c.class.Timeout-sim.now)
	if repeats {
		c.sentAt = sim.now + repeatDelay
	}
	sim.events.Schedule(c.sentAt, func() { sim.requestPlacement(c) })
}

// attemptID returns an ID of the call's current attempt.
func (c *call) attemptID() string { return fmt.Sprint(c.id, "-", c.attempt) }

// startPass starts an engine's next pass, unless one is in progress.
func (sim *simulation) startPass(e *simEngine) {
	if e.busy {
		return
	}
	length, prefilled := e.nextPass()
	if length == 0 {
		return
	}
	e.busy = true
	decoding := append([]*call(nil), e.decoding...)
	sim.events.Schedule(sim.now+length, func() {
		for _, w := range decoding {
			sim.recordEvent(e, w)
		}
		for _, p := range prefilled {
			sim.finishPart(p.call, p.split)
			if len(decoding) > 0 && !p.split {
				sim.recordEvent(e, p.call)
			}
		}
		e.busy = false // Cleared last: finishPart must not start the next pass before all prefilled prompts are decoding.
		sim.startPass(e)
	})
}

// finishPart records that a part of a call's prompt has been prefilled; after the last part the
// call decodes. If the prompt is split among engines, the first event is sent when the last part is
// done, on whichever engine, and the second after the next pass of the engine that decodes.
func (sim *simulation) finishPart(c *call, split bool) {
	c.pendingParts--
	if c.pendingParts > 0 {
		return
	}
	c.engine.decoding = append(c.engine.decoding, c)
	if split {
		sim.recordEvent(c.engine, c)
	}
	sim.startPass(c.engine)
}

// recordEvent records an event of a call's answer, and informs its coordinator of the first event
// and of the end.
func (sim *simulation) recordEvent(e *simEngine, c *call) {
	at := sim.now + messageDelay
	if c.eventsSent == 0 {
		c.firstEvent = at
		sim.events.Schedule(at+messageDelay, func() {
			c.coordinator.board.Targets.RecordPrefillDone(c.attemptID(), sim.time())
			sim.dispatch(c.coordinator)
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
	sim.events.Schedule(at+messageDelay, func() {
		c.coordinator.board.Targets.Finish(c.attemptID(), blackboard.CallSucceeded, sim.time())
		sim.dispatch(c.coordinator)
	})
}
