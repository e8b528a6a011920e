// Package standin holds small stand-ins for what doorstack talks to: a model
// engine with a stated cost model, a plain service, and the platform with its
// configuration service and host list. They exist for tests, measurements and
// "doorstack try"; they can lag, drop, truncate, refuse, die and lie.
package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"doorstack.dev/node/target"
	"github.com/cespare/xxhash/v2"
)

// Cost is the cost model of an engine that batches continuously. A step takes
//
//	Base + Prefill*(prompt tokens read) + Decode*(streams) + Context*(prompt
//	tokens read)*(tokens before them, in millions)
//
// and reads at most Budget prompt tokens, those of urgent requests first.
type Cost struct {
	// Base is the fixed time of a step.
	Base time.Duration
	// Prefill is the time for each prompt token read.
	Prefill time.Duration
	// Decode is the time for each stream that gets a token in the step.
	Decode time.Duration
	// Context is the extra time for each prompt token read behind a million
	// others, for attention over what stands before.
	Context time.Duration
	// Budget is the most prompt tokens in a step.
	Budget int64
	// Memory is the KV cache in tokens, Cache the part for idle prefixes.
	Memory int64
	Cache  int64
}

// DefaultCost is an engine that reads about 20,000 tokens a second.
func DefaultCost() Cost {
	return Cost{
		Base:    5 * time.Millisecond,
		Prefill: 45 * time.Microsecond,
		Decode:  50 * time.Microsecond,
		Context: 45 * time.Microsecond,
		Budget:  2048,
		Memory:  450_000,
		Cache:   200_000,
	}
}

// Faults are the ways in which an engine misbehaves. The zero value is healthy.
type Faults struct {
	// ReportLag is the age of each load report.
	ReportLag time.Duration
	// DropEvents leaves out every Nth cache event.
	DropEvents int
	// TruncateAfter ends each stream without its end mark after so many tokens.
	TruncateAfter int64
	// ReorderChunks swaps neighbours, DuplicateChunks sends each twice.
	ReorderChunks, DuplicateChunks bool
	// ForeignChunks mixes in chunks of another attempt.
	ForeignChunks bool
	// Refuse turns every call away with this code.
	Refuse string
	// RefuseAfterRun does the work and then claims a refusal that says so.
	Stall bool
	// Slow multiplies the time of a step.
	Slow float64
	// IgnoreFence carries out orders with an old fencing number.
	IgnoreFence bool
	// Leaving is what the load report says.
	Leaving bool
	// Frozen answers nothing and keeps every connection open.
	Frozen bool
}

// sequence is a request inside the engine.
type sequence struct {
	attempt  string
	seed     uint64
	level    int
	order    int64
	prompt   int64 // tokens to read
	read     int64 // tokens read
	before   int64 // tokens of earlier parts, held by other engines
	held     int64 // memory taken
	reserved string
	next     int64 // index of the next token to emit
	max      int64
	prefixes []uint64
	ended    bool
	failed   string
	tokens   []string // emitted, from index first on
	first    int64
	changed  chan struct{} // closed and replaced at each change
	prefill  bool          // a part of a group: nothing is emitted
	waiting  bool          // not yet admitted to memory
}

// Engine is a stand-in for a model engine.
type Engine struct {
	// Name appears in reports; Models are what it serves.
	Name string

	mu           sync.Mutex
	cost         Cost
	faults       Faults
	models       []string
	sequences    map[string]*sequence
	queue        []*sequence
	reservations map[string]target.Reservation
	cache        prefixCache
	used         int64
	counter      int64
	fence        int64
	orders       []target.Order
	history      []target.LoadReport
	events       []target.CacheEvent
	wake         chan struct{}
	executed     map[string]int
	resumable    time.Duration
	steps        int64
}

// resumeWindow is how long an ended stream can still be resumed.
const resumeWindow = 30 * time.Second

// NewEngine returns an idle engine; Run makes it work.
func NewEngine(name string, cost Cost, models ...string) *Engine {
	return &Engine{
		Name:         name,
		cost:         cost,
		models:       models,
		sequences:    map[string]*sequence{},
		reservations: map[string]target.Reservation{},
		cache:        prefixCache{limit: cost.Cache, tokens: map[uint64]int64{}},
		wake:         make(chan struct{}, 1),
		executed:     map[string]int{},
		resumable:    resumeWindow,
	}
}

// SetFaults changes how the engine misbehaves from now on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	e.poke()
}

// UsedTokens is the memory in use now, without lag.
func (e *Engine) UsedTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used
}

// Executed counts how often each attempt was started.
func (e *Engine) Executed() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.executed))
	for k, v := range e.executed {
		counts[k] = v
	}
	return counts
}

// Orders lists the orders carried out.
func (e *Engine) Orders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run makes steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, work := e.step()
		if !work {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// TokenText is the text of a token of the answer to a prompt with this seed. It
// depends on nothing else, so that tests can tell a whole answer from a wrong one.
func TokenText(seed uint64, index int64) string {
	return fmt.Sprintf(" w%x.%d", seed&0xfff, index)
}

// Seed is the seed of a prompt's answer.
func Seed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Answer is the whole answer to a prompt.
func Answer(prompt string, tokens int64) string {
	var text []byte
	for i := range tokens {
		text = append(text, TokenText(Seed(prompt), i)...)
	}
	return string(text)
}

// refuse checks the faults and limits that turn a call away.
func (e *Engine) refuse() *target.ErrorAnswer {
	if e.faults.Refuse != "" {
		return &target.ErrorAnswer{Code: e.faults.Refuse, Message: "told to refuse"}
	}
	return nil
}

// start puts a generate request into the batch.
func (e *Engine) start(g *target.GenerateRequest) (*sequence, *target.ErrorAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.refuse(); r != nil {
		return nil, r
	}
	if e.sequences[g.Attempt] != nil {
		return nil, &target.ErrorAnswer{Code: target.CodeDuplicateAttempt, Message: "this attempt is known already", Ran: true}
	}
	if !slices.Contains(e.models, g.Model) {
		return nil, &target.ErrorAnswer{Code: target.CodeModelNotLoaded, Message: "model " + g.Model + " is not loaded"}
	}
	s := e.newSequence(g.Attempt, g.Prompt, g.Level)
	s.max = g.MaxTokens
	s.first, s.next = g.FirstIndex, g.FirstIndex
	if answer := e.takeMemory(s, g.Reservation, g.Context); answer != nil {
		return nil, answer
	}
	e.executed[g.Attempt]++
	e.sequences[g.Attempt] = s
	e.queue = append(e.queue, s)
	e.poke()
	return s, nil
}

func (e *Engine) newSequence(attempt, prompt string, level int) *sequence {
	e.counter++
	return &sequence{
		attempt:  attempt,
		seed:     Seed(prompt),
		level:    level,
		order:    e.counter,
		prompt:   target.EstimateTokens(len(prompt)),
		prefixes: target.PrefixHashes(prompt),
		changed:  make(chan struct{}),
		waiting:  true,
	}
}

// takeMemory uses a reservation, or refuses what can never fit.
func (e *Engine) takeMemory(s *sequence, reservation string, context []target.KVRef) *target.ErrorAnswer {
	if reservation == "" {
		if s.prompt+s.max > e.cost.Memory {
			return &target.ErrorAnswer{Code: target.CodeNoMemory, Message: "the prompt is larger than the engine's memory"}
		}
		return nil
	}
	r, ok := e.reservations[reservation]
	if !ok {
		return &target.ErrorAnswer{Code: target.CodeUnknownID, Message: "there is no such reservation"}
	}
	if s.prompt+s.max > r.Tokens {
		return &target.ErrorAnswer{Code: target.CodeNoMemory, Message: "the part is larger than its reservation"}
	}
	s.waiting = false
	s.reserved = reservation
	for _, ref := range context {
		s.before += ref.Tokens
	}
	return nil
}

func (e *Engine) startPrefill(p *target.PrefillRequest) (*sequence, *target.ErrorAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.refuse(); r != nil {
		return nil, r
	}
	s := e.newSequence("prefill/"+p.Reservation, p.Prompt, p.Level)
	s.prefill = true
	if answer := e.takeMemory(s, p.Reservation, p.Context); answer != nil {
		return nil, answer
	}
	e.queue = append(e.queue, s)
	e.poke()
	return s, nil
}

func (e *Engine) cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sequences[attempt]; s != nil {
		e.end(s, "cancelled")
		delete(e.sequences, attempt)
	}
	e.poke()
}

func (e *Engine) reserve(r target.Reservation) *target.ErrorAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answer := e.refuse(); answer != nil {
		return answer
	}
	if _, known := e.reservations[r.ID]; known {
		return nil
	}
	if e.used+r.Tokens > e.cost.Memory {
		return &target.ErrorAnswer{Code: target.CodeNoMemory, Message: "there is not so much free memory"}
	}
	e.used += r.Tokens
	e.reservations[r.ID] = r
	return nil
}

func (e *Engine) release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, known := e.reservations[id]
	if !known {
		return
	}
	delete(e.reservations, id)
	e.used -= r.Tokens
	for _, s := range e.queue {
		if s.reserved == id {
			e.end(s, "the reservation was released")
		}
	}
	e.poke()
}

func (e *Engine) order(o target.Order) *target.ErrorAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.fence && !e.faults.IgnoreFence {
		return &target.ErrorAnswer{Code: target.CodeStaleFencingToken, Message: fmt.Sprintf("the number %d is older than %d", o.FencingToken, e.fence)}
	}
	e.fence = max(e.fence, o.FencingToken)
	e.models = slices.Clone(o.Models)
	e.orders = append(e.orders, o)
	return nil
}
