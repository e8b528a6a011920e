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

// policy decides for one daemon which engine gets a request, and when. It is informed of what the
// daemon observes.
type policy interface {
	// enqueue accepts a request that has arrived, or that failed at an engine.
	enqueue(r *request)
	// place returns the requests that are sent to an engine now.
	place(now time.Time) []placement
	// The methods below record the progress of placed requests and the state of engines.
	recordFirstToken(r *request, now time.Time)
	recordCompleted(r *request, now time.Time)
	recordFailed(r *request, now time.Time)
	recordReport(engine int, load target.LoadReport, now time.Time)
	recordCacheEvents(engine int, e []target.CacheEvent)
	recordMissedReport(engine int, now time.Time)
}

// placement is a request and the engine it is sent to. Only the request's ID must be set.
type placement struct {
	request *request
	engine  int
}

// policyConstructor creates the policy of one daemon, given the daemon's index and the number of
// engines.
type policyConstructor func(daemon, engines int, tree *settings.Tree, seed uint64) policy

// Policies returns the names of the compared policies, doorstack's own first.
func Policies() []string {
	return []string{"doorstack", "round_robin", "fewest_in_flight", "two_choices", "prefix_only"}
}

// constructorOf returns the constructor of the policy with the given name.
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

// doorstackPolicy is doorstack's policy as it runs in a daemon, with the queue and the target table
// of the daemon's blackboard.
type doorstackPolicy struct {
	board       *blackboard.Blackboard
	pool        *settings.ResolvedPool
	tickets     map[int]*blackboard.Ticket
	engineIndex map[string]int
	seed        uint64
}

func newDoorstackPolicy(daemon, engines int, tree *settings.Tree, seed uint64) policy {
	p := &doorstackPolicy{
		board:       blackboard.New(blackboard.Identity{Name: fmt.Sprint("d", daemon), DataCentre: "dc"}, blackboard.DefaultLimits()),
		pool:        tree.Pool("llm"),
		tickets:     map[int]*blackboard.Ticket{},
		engineIndex: map[string]int{},
		seed:        seed + uint64(daemon)<<32,
	}
	var hosts []hostlist.Host
	for i := range engines {
		name := fmt.Sprint("e", i)
		p.engineIndex[name] = i
		hosts = append(hosts, hostlist.Host{ID: name, Role: hostlist.RoleTarget, Pool: "llm", DataCentre: "dc", State: hostlist.Live})
	}
	p.board.Targets.Sync(hosts, tree, time.Now())
	return p
}

func (p *doorstackPolicy) attemptID(r *request) string { return fmt.Sprint("a", r.id) }

func (p *doorstackPolicy) enqueue(r *request) {
	params := requestcontrol.RoutingParams(p.pool, p.board.Targets.Capacity("llm", time.Now()), daemonCount)
	ticket := &blackboard.Ticket{
		Pool: p.pool, Params: params, Attempt: p.attemptID(r),
		Holders: p.board.Prefixes.Lookup(r.prefixes),
		Request: routing.Request{ID: fmt.Sprint(r.id), PromptTokens: r.promptTokens, OutputTokens: r.outputTokens, DataCentre: "dc", Seed: p.seed + uint64(r.id)},
		Item: &admission.Item{
			ID: fmt.Sprint(r.id), Account: fmt.Sprint(r.account), Level: r.level, Tokens: r.promptTokens,
			Long: params.IsLong(r.promptTokens), Arrived: time.Now(),
		},
	}
	p.tickets[r.id] = ticket
	p.board.Queues.Push(ticket)
}

func (p *doorstackPolicy) place(now time.Time) []placement {
	if p.board.Queues.Dispatch("llm", p.board.Targets, now) == 0 {
		return nil
	}
	var list []placement
	for id, ticket := range p.tickets {
		select {
		case placed := <-ticket.Placed():
			delete(p.tickets, id)
			list = append(list, placement{&request{id: id}, p.engineIndex[placed.Decision.Chosen]})
		default:
		}
	}
	return list
}

func (p *doorstackPolicy) recordFirstToken(r *request, now time.Time) {
	p.board.Targets.RecordPrefillDone(p.attemptID(r), now)
}

func (p *doorstackPolicy) recordCompleted(r *request, now time.Time) {
	p.board.Targets.Finish(p.attemptID(r), blackboard.CallSucceeded, now)
}

func (p *doorstackPolicy) recordFailed(r *request, now time.Time) {
	p.board.Targets.Finish(p.attemptID(r), blackboard.CallFailed, now)
}

func (p *doorstackPolicy) recordReport(engine int, load target.LoadReport, now time.Time) {
	p.board.Targets.RecordReport(fmt.Sprint("e", engine), load, now)
}

func (p *doorstackPolicy) recordCacheEvents(engine int, events []target.CacheEvent) {
	for _, e := range events {
		p.board.Prefixes.Stored(fmt.Sprint("e", engine), e.Stored)
		p.board.Prefixes.Evicted(fmt.Sprint("e", engine), e.Evicted)
	}
}

func (p *doorstackPolicy) recordMissedReport(engine int, now time.Time) {
	p.board.Targets.RecordMissedReport(fmt.Sprint("e", engine), now)
}

// baselinePolicy is one of the simple policies, chosen by name. It sends every request to an engine
// at once, so that requests queue at the engines.
type baselinePolicy struct {
	name         string
	engines      int
	lastEngine   int // counter for round_robin; the engine's index is its remainder by engines
	rng          *rand.Rand
	inFlight     []int
	othersLoad   []int // requests of other daemons, by engine
	unavailable  []bool
	engineOf     map[int]int    // by request ID
	prefixEngine map[uint64]int // last engine that got the prefix
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

// load returns the number of requests at an engine, and a very large number for an unavailable one.
func (s *baselinePolicy) load(engine int) int {
	if s.unavailable[engine] {
		return 1 << 30
	}
	return s.inFlight[engine] + s.othersLoad[engine]
}

// choose returns the engine for a request by the policy's rule.
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
	default: // round_robin
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

// recordReport estimates the load that other daemons put on an engine: the reported requests beyond
// this daemon's own.
func (s *baselinePolicy) recordReport(engine int, load target.LoadReport, _ time.Time) {
	s.unavailable[engine] = false
	s.othersLoad[engine] = max(0, load.Running+load.Waiting-s.inFlight[engine])
}

func (s *baselinePolicy) recordCacheEvents(int, []target.CacheEvent) {}

func (s *baselinePolicy) recordMissedReport(engine int, _ time.Time) { s.unavailable[engine] = true }
