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
	offer(r *request)
	// place returns the requests that go to an engine now.
	place(now time.Time) []placed
	// started, ended and report tell what the daemon sees.
	started(r *request, now time.Time)
	ended(r *request, now time.Time)
	failed(r *request, now time.Time)
	report(engine int, load target.LoadReport, now time.Time)
	events(engine int, e []target.CacheEvent)
	silent(engine int, now time.Time)
}

// placed is a request and its engine.
type placed struct {
	r      *request
	engine int
}

// newPolicy makes a policy of one daemon.
type newPolicy func(daemon, engines int, tree *settings.Tree, seed uint64) policy

// Policies are those compared, doorstack's own first.
func Policies() []string {
	return []string{"doorstack", "round_robin", "fewest_in_flight", "two_choices", "prefix_only"}
}

func policyNamed(name string) newPolicy {
	if name == "doorstack" {
		return newOwn
	}
	return func(daemon, engines int, _ *settings.Tree, seed uint64) policy {
		return &simple{
			name: name, engines: engines, next: daemon, rng: rand.New(rand.NewPCG(seed, uint64(daemon))),
			inFlight: make([]int, engines), reported: make([]int, engines), dead: make([]bool, engines),
			at: map[int]int{}, holders: map[uint64]int{},
		}
	}
}

// own is doorstack's policy as it runs in a daemon: the queue and the targets of
// its blackboard.
type own struct {
	board   *blackboard.Blackboard
	pool    *settings.ResolvedPool
	tickets map[int]*blackboard.Ticket
	names   map[string]int
	bySeed  uint64
}

func newOwn(daemon, engines int, tree *settings.Tree, seed uint64) policy {
	o := &own{
		board:   blackboard.New(blackboard.Identity{Name: fmt.Sprint("d", daemon), DataCentre: "dc"}, blackboard.DefaultLimits()),
		pool:    tree.Pool("llm"),
		tickets: map[int]*blackboard.Ticket{},
		names:   map[string]int{},
		bySeed:  seed + uint64(daemon)<<32,
	}
	var hosts []hostlist.Host
	for i := range engines {
		name := fmt.Sprint("e", i)
		o.names[name] = i
		hosts = append(hosts, hostlist.Host{ID: name, Role: hostlist.RoleTarget, Pool: "llm", DataCentre: "dc", State: hostlist.Live})
	}
	o.board.Targets.Sync(hosts, tree, time.Now())
	return o
}

func (o *own) attempt(r *request) string { return fmt.Sprint("a", r.id) }

func (o *own) offer(r *request) {
	params := requestcontrol.RoutingParams(o.pool, o.board.Targets.Capacity("llm", time.Now()), daemons)
	ticket := &blackboard.Ticket{
		Pool: o.pool, Params: params, Attempt: o.attempt(r),
		Holders: o.board.Prefixes.Lookup(r.prefixes),
		Request: routing.Request{ID: fmt.Sprint(r.id), PromptTokens: r.prompt, OutputTokens: r.output, DataCentre: "dc", Seed: o.bySeed + uint64(r.id)},
		Item: &admission.Item{
			ID: fmt.Sprint(r.id), Account: fmt.Sprint(r.account), Level: r.level, Tokens: r.prompt,
			Long: params.IsLong(r.prompt), Arrived: time.Now(),
		},
	}
	o.tickets[r.id] = ticket
	o.board.Queues.Push(ticket)
}

func (o *own) place(now time.Time) []placed {
	if o.board.Queues.Dispatch("llm", o.board.Targets, now) == 0 {
		return nil
	}
	var list []placed
	for id, ticket := range o.tickets {
		select {
		case p := <-ticket.Placed():
			delete(o.tickets, id)
			list = append(list, placed{&request{id: id}, o.names[p.Decision.Chosen]})
		default:
		}
	}
	return list
}

func (o *own) started(r *request, now time.Time) {
	o.board.Targets.RecordPrefillDone(o.attempt(r), now)
}

func (o *own) ended(r *request, now time.Time) {
	o.board.Targets.Finish(o.attempt(r), blackboard.CallSucceeded, now)
}

func (o *own) failed(r *request, now time.Time) {
	o.board.Targets.Finish(o.attempt(r), blackboard.CallFailed, now)
}

func (o *own) report(engine int, load target.LoadReport, now time.Time) {
	o.board.Targets.RecordReport(fmt.Sprint("e", engine), load, now)
}

func (o *own) events(engine int, events []target.CacheEvent) {
	for _, e := range events {
		o.board.Prefixes.Stored(fmt.Sprint("e", engine), e.Stored)
		o.board.Prefixes.Evicted(fmt.Sprint("e", engine), e.Evicted)
	}
}

func (o *own) silent(engine int, now time.Time) {
	o.board.Targets.RecordMissedReport(fmt.Sprint("e", engine), now)
}

// simple is a baseline: it sends every request on at once and lets engines queue.
type simple struct {
	name     string
	engines  int
	next     int
	rng      *rand.Rand
	inFlight []int
	reported []int
	dead     []bool
	at       map[int]int
	holders  map[uint64]int
	waiting  []*request
}

func (s *simple) offer(r *request) { s.waiting = append(s.waiting, r) }

func (s *simple) place(time.Time) []placed {
	var list []placed
	for _, r := range s.waiting {
		engine := s.choose(r)
		s.inFlight[engine]++
		s.at[r.id] = engine
		for _, h := range r.prefixes {
			s.holders[h] = engine
		}
		list = append(list, placed{r, engine})
	}
	s.waiting = s.waiting[:0]
	return list
}

func (s *simple) load(engine int) int {
	if s.dead[engine] {
		return 1 << 30
	}
	return s.inFlight[engine] + s.reported[engine]
}

func (s *simple) choose(r *request) int {
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
		return s.better(s.rng.IntN(s.engines), s.rng.IntN(s.engines))
	case "prefix_only":
		for i := len(r.prefixes) - 1; i >= 0; i-- {
			if engine, ok := s.holders[r.prefixes[i]]; ok && !s.dead[engine] {
				return engine
			}
		}
		return s.better(s.rng.IntN(s.engines), s.rng.IntN(s.engines))
	default:
		for {
			s.next++
			if !s.dead[s.next%s.engines] {
				return s.next % s.engines
			}
		}
	}
}

func (s *simple) better(a, b int) int {
	if s.load(b) < s.load(a) {
		return b
	}
	return a
}

func (s *simple) started(*request, time.Time) {}

func (s *simple) ended(r *request, _ time.Time) { s.inFlight[s.at[r.id]]-- }

func (s *simple) failed(r *request, now time.Time) { s.ended(r, now) }

// report takes over what the others run at an engine, as far as it shows.
func (s *simple) report(engine int, load target.LoadReport, _ time.Time) {
	s.dead[engine] = false
	s.reported[engine] = max(0, load.Running+load.Waiting-s.inFlight[engine])
}

func (s *simple) events(int, []target.CacheEvent) {}

func (s *simple) silent(engine int, _ time.Time) { s.dead[engine] = true }
