package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/target"
)

// policy places requests of one daemon.
type policy interface {
	// offer takes a request that has arrived.
	enqueue(r *request)
	// place returns the requests that go to an engine now.
	place(now time.Time) []placement
	// started, ended and report tell what the daemon sees.
	recordFirstToken(r *request, now time.Time)
	recordCompleted(r *request, now time.Time)
	recordFailed(r *request, now time.Time)
	recordReport(engine int, load target.LoadReport, now time.Time)
	recordCacheEvents(engine int, e []target.CacheEvent)
	recordMissedReport(engine int, now time.Time)
}

// placement is a request and its engine.
type placement struct {
	request *request
	engine  int
}

// policyConstructor makes a policy of one daemon.
type policyConstructor func(daemon, engines int, tree *settings.Tree, seed uint64) policy

// Policies are those compared, doorstack's own first.
func Policies() []string {
	return []string{"doorstack", "round_robin", "fewest_in_flight", "two_choices", "prefix_only"}
}

func constructorOf(name string) policyConstructor {
	if name == "doorstack" {
		return newDoorstackPolicy
	}
	return func(daemon, engines int, _ *settings.Tree, seed uint64) policy {
		return &baselinePolicy{
			name: name, engines: engines, lastEngine: daemon, rng: rand.New(rand.NewPCG(seed, uint64(daemon))),
			inFlight: make([]int, engines), othersLoad: make([]int, engines), unavailable: make([]bool, engines),
			engineOf: map[int]int{}, prefixEngine: map[uint64]int{},
		}
	}
}

// doorstackPolicy is doorstack's policy as it runs in a daemon: the queue and the targets of
// its blackboard.
type doorstackPolicy struct {
	board       *blackboard.Blackboard
	pool        *settings.ResolvedPool
	tickets     map[int]*blackboard.Ticket
	engineIndex map[string]int
	seed        uint64
}

func newDoorstackPolicy(daemon, engines int, tree *settings.Tree, seed uint64) policy {
	o := &doorstackPolicy{
		board:       blackboard.New(blackboard.Identity{Name: fmt.Sprint("d", daemon), DataCentre: "dc"}, blackboard.DefaultLimits()),
		pool:        tree.Pool("llm"),
		tickets:     map[int]*blackboard.Ticket{},
		engineIndex: map[string]int{},
		seed:        seed + uint64(daemon)<<32,
	}
	var hosts []hostlist.Host
	for i := range engines {
		name := fmt.Sprint("e", i)
		o.engineIndex[name] = i
		hosts = append(hosts, hostlist.Host{ID: name, Role: hostlist.RoleTarget, Pool: "llm", DataCentre: "dc", State: hostlist.Live})
	}
	o.board.Targets.Sync(hosts, tree, time.Now())
	return o
}

func (o *doorstackPolicy) attemptID(r *request) string { return fmt.Sprint("a", r.id) }

func (o *doorstackPolicy) enqueue(r *request) {
	params := requestcontrol.RoutingParams(o.pool, o.board.Targets.Capacity("llm", time.Now()), daemonCount)
	ticket := &blackboard.Ticket{
		Pool: o.pool, Params: params, Attempt: o.attemptID(r),
		Holders: o.board.Prefixes.Lookup(r.prefixes),
		Request: routing.Request{ID: fmt.Sprint(r.id), PromptTokens: r.promptTokens, OutputTokens: r.outputTokens, DataCentre: "dc", Seed: o.seed + uint64(r.id)},
		Item: &admission.Item{
			ID: fmt.Sprint(r.id), Account: fmt.Sprint(r.account), Level: r.level, Tokens: r.promptTokens,
			Long: params.IsLong(r.promptTokens), Arrived: time.Now(),
		},
	}
	o.tickets[r.id] = ticket
	o.board.Queues.Push(ticket)
}

func (o *doorstackPolicy) place(now time.Time) []placement {
	if o.board.Queues.Dispatch("llm", o.board.Targets, now) == 0 {
		return nil
	}
	var list []placement
	for id, ticket := range o.tickets {
		select {
		case p := <-ticket.Placed():
			delete(o.tickets, id)
			list = append(list, placement{&request{id: id}, o.engineIndex[p.Decision.Chosen]})
		default:
		}
	}
	return list
}

func (o *doorstackPolicy) recordFirstToken(r *request, now time.Time) {
	o.board.Targets.RecordPrefillDone(o.attemptID(r), now)
}

func (o *doorstackPolicy) recordCompleted(r *request, now time.Time) {
	o.board.Targets.Finish(o.attemptID(r), blackboard.CallSucceeded, now)
}

func (o *doorstackPolicy) recordFailed(r *request, now time.Time) {
	o.board.Targets.Finish(o.attemptID(r), blackboard.CallFailed, now)
}

func (o *doorstackPolicy) recordReport(engine int, load target.LoadReport, now time.Time) {
	o.board.Targets.RecordReport(fmt.Sprint("e", engine), load, now)
}

func (o *doorstackPolicy) recordCacheEvents(engine int, events []target.CacheEvent) {
	for _, e := range events {
		o.board.Prefixes.Stored(fmt.Sprint("e", engine), e.Stored)
		o.board.Prefixes.Evicted(fmt.Sprint("e", engine), e.Evicted)
	}
}

func (o *doorstackPolicy) recordMissedReport(engine int, now time.Time) {
	o.board.Targets.RecordMissedReport(fmt.Sprint("e", engine), now)
}

// baselinePolicy is a baseline: it sends every request on at once and lets engines queue.
type baselinePolicy struct {
	name         string
	engines      int
	lastEngine   int
	rng          *rand.Rand
	inFlight     []int
	othersLoad   []int
	unavailable  []bool
	engineOf     map[int]int
	prefixEngine map[uint64]int
	waiting      []*request
}

func (s *baselinePolicy) enqueue(r *request) { s.waiting = append(s.waiting, r) }

func (s *baselinePolicy) place(time.Time) []placement {
	var list []placement
	for _, r := range s.waiting {
		engine := s.choose(r)
		s.inFlight[engine]++
		s.engineOf[r.id] = engine
		for _, h := range r.prefixes {
			s.prefixEngine[h] = engine
		}
		list = append(list, placement{r, engine})
	}
	s.waiting = s.waiting[:0]
	return list
}

func (s *baselinePolicy) load(engine int) int {
	if s.unavailable[engine] {
		return 1 << 30
	}
	return s.inFlight[engine] + s.othersLoad[engine]
}

func (s *baselinePolicy) choose(r *request) int {
	switch s.name {
	case "fewest_in_flight":
		best := s.rng.IntN(s.engines)
		for i := range s.engines {
			if s.load(i) < s.load(best) {
				best = i
			}
		}
		return best
	case "two_choices":
		return s.lessLoaded(s.rng.IntN(s.engines), s.rng.IntN(s.engines))
	case "prefix_only":
		for i := len(r.prefixes) - 1; i >= 0; i-- {
			if engine, ok := s.prefixEngine[r.prefixes[i]]; ok && !s.unavailable[engine] {
				return engine
			}
		}
		return s.lessLoaded(s.rng.IntN(s.engines), s.rng.IntN(s.engines))
	default:
		for {
			s.lastEngine++
			if !s.unavailable[s.lastEngine%s.engines] {
				return s.lastEngine % s.engines
			}
		}
	}
}

func (s *baselinePolicy) lessLoaded(a, b int) int {
	if s.load(b) < s.load(a) {
		return b
	}
	return a
}

func (s *baselinePolicy) recordFirstToken(*request, time.Time) {}

func (s *baselinePolicy) recordCompleted(r *request, _ time.Time) { s.inFlight[s.engineOf[r.id]]-- }

func (s *baselinePolicy) recordFailed(r *request, now time.Time) { s.recordCompleted(r, now) }

// report takes over what the others run at an engine, as far as it shows.
func (s *baselinePolicy) recordReport(engine int, load target.LoadReport, _ time.Time) {
	s.unavailable[engine] = false
	s.othersLoad[engine] = max(0, load.Running+load.Waiting-s.inFlight[engine])
}

func (s *baselinePolicy) recordCacheEvents(int, []target.CacheEvent) {}

func (s *baselinePolicy) recordMissedReport(engine int, _ time.Time) { s.unavailable[engine] = true }
