// Package standin holds small stand-ins for what doorstack talks to: a model
// engine with a stated cost model, a plain service, and the platform with its
// configuration service and host list. They exist for tests, measurements and
// "doorstack try"; they can lag, drop, truncate, refuse, die and lie.
package standin

import (
	"cmp"
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

// step does one step of the batch and returns how long it takes.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stall {
		return e.cost.Base, len(e.queue) > 0
	}
	e.admit()
	if len(e.queue) == 0 {
		return 0, false
	}
	e.steps++
	duration := e.cost.Base
	read, weighted := e.readPrompts()
	duration += time.Duration(read)*e.cost.Prefill + time.Duration(weighted*float64(e.cost.Context))
	duration += time.Duration(e.emitTokens()) * e.cost.Decode
	if e.faults.Slow > 0 {
		duration = time.Duration(float64(duration) * e.faults.Slow)
	}
	e.queue = slices.DeleteFunc(e.queue, func(s *sequence) bool { return s.ended })
	e.remember()
	return duration, true
}

// admit gives memory to waiting sequences in order of urgency.
func (e *Engine) admit() {
	slices.SortStableFunc(e.queue, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.order, b.order))
	})
	for _, s := range e.queue {
		if !s.waiting || s.ended {
			continue
		}
		need := s.prompt + s.max
		if e.used+need > e.cost.Memory {
			continue
		}
		e.used += need
		s.held = need
		s.waiting = false
		s.read = min(s.prompt-1, e.cache.match(s.prefixes))
		s.read = max(0, s.read)
	}
}

// readPrompts spends the step's token budget. The second result is the tokens
// read times the millions of tokens that stand before them.
func (e *Engine) readPrompts() (read int64, weighted float64) {
	const million = 1e6
	budget := e.cost.Budget
	for _, s := range e.queue {
		if s.waiting || s.read >= s.prompt || budget == 0 {
			continue
		}
		n := min(budget, s.prompt-s.read)
		weighted += float64(n) * float64(s.before+s.read) / million
		s.read += n
		budget -= n
		read += n
		if s.read == s.prompt {
			e.promptRead(s)
		}
	}
	return read, weighted
}

func (e *Engine) promptRead(s *sequence) {
	stored, evicted := e.cache.store(s.prefixes)
	if len(stored)+len(evicted) > 0 {
		e.counter++
		if e.faults.DropEvents == 0 || e.counter%int64(e.faults.DropEvents) != 0 {
			e.events = append(e.events, target.CacheEvent{Sequence: int64(len(e.events) + 1), Stored: stored, Evicted: evicted})
		}
	}
	if s.prefill {
		e.end(s, "")
	}
}

// emitTokens gives each running stream one token and returns their number.
func (e *Engine) emitTokens() int {
	n := 0
	for _, s := range e.queue {
		if s.waiting || s.ended || s.read < s.prompt {
			continue
		}
		n++
		if s.next < s.max {
			s.tokens = append(s.tokens, TokenText(s.seed, s.next))
			s.next++
		}
		if s.next >= s.max {
			e.end(s, "")
		}
		s.notify()
	}
	return n
}

// end finishes a sequence and gives back its memory. A reservation stays.
func (e *Engine) end(s *sequence, failure string) {
	if s.ended {
		return
	}
	s.ended = true
	s.failed = failure
	e.used -= s.held
	s.held = 0
	s.notify()
	time.AfterFunc(e.resumable, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.sequences[s.attempt] == s {
			delete(e.sequences, s.attempt)
		}
	})
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
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
		return nil, &target.ErrorAnswer{Code: target.CodeDuplicate, Message: "this attempt is known already", Ran: true}
	}
	if !slices.Contains(e.models, g.Model) {
		return nil, &target.ErrorAnswer{Code: target.CodeBadModel, Message: "model " + g.Model + " is not loaded"}
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
		return &target.ErrorAnswer{Code: target.CodeUnknown, Message: "there is no such reservation"}
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
	if o.Fence < e.fence && !e.faults.IgnoreFence {
		return &target.ErrorAnswer{Code: target.CodeOldFence, Message: fmt.Sprintf("the number %d is older than %d", o.Fence, e.fence)}
	}
	e.fence = max(e.fence, o.Fence)
	e.models = slices.Clone(o.Models)
	e.orders = append(e.orders, o)
	return nil
}

// report makes a load report of this moment.
func (e *Engine) report() target.LoadReport {
	r := target.LoadReport{
		At:           time.Now(),
		MemoryTokens: e.cost.Memory,
		UsedTokens:   e.used,
		Leaving:      e.faults.Leaving,
		Models:       slices.Clone(e.models),
		Fence:        e.fence,
	}
	for _, s := range e.queue {
		left := s.prompt - s.read
		r.BacklogTokens += left
		if left >= target.LongPrefillTokens {
			r.LongPrefills++
		}
		if s.waiting {
			r.Waiting++
		} else {
			r.Running++
		}
	}
	for _, res := range e.reservations {
		r.Reservations = append(r.Reservations, res)
	}
	return r
}

// remember keeps reports while they are young enough to be served with the lag.
func (e *Engine) remember() {
	if e.faults.ReportLag == 0 {
		e.history = nil
		return
	}
	e.history = append(e.history, e.report())
	oldest := time.Now().Add(-2 * e.faults.ReportLag)
	for len(e.history) > 1 && e.history[1].At.Before(oldest) {
		e.history = e.history[1:]
	}
}

// Report is the load report as published, with its lag.
func (e *Engine) Report() target.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.faults.ReportLag == 0 || len(e.history) == 0 {
		return e.report()
	}
	wanted := now.Add(-e.faults.ReportLag)
	found := e.history[0]
	for _, r := range e.history {
		if r.At.After(wanted) {
			break
		}
		found = r
	}
	found.Age = now.Sub(found.At)
	found.Leaving = e.faults.Leaving
	return found
}

// eventsAfter lists cache events after a sequence number.
func (e *Engine) eventsAfter(after int64) []target.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := len(e.events)
	for at > 0 && e.events[at-1].Sequence > after {
		at--
	}
	return slices.Clone(e.events[at:])
}

// prefixCache holds prefixes of finished prompts, the least recently used going
// first. An entry stands for the tokens between it and the prefix before it.
type prefixCache struct {
	limit  int64
	total  int64
	tokens map[uint64]int64
	recent []uint64
}

// match returns how many tokens of a prompt are held.
func (c *prefixCache) match(prefixes []uint64) int64 {
	held := int64(0)
	for i, p := range prefixes {
		if _, ok := c.tokens[p]; !ok {
			break
		}
		held = target.PrefixTokens(i)
		c.touch(p)
	}
	return held
}

func (c *prefixCache) touch(p uint64) {
	if at := slices.Index(c.recent, p); at >= 0 {
		c.recent = append(slices.Delete(c.recent, at, at+1), p)
	}
}

func (c *prefixCache) store(prefixes []uint64) (stored, evicted []uint64) {
	before := int64(0)
	for i, p := range prefixes {
		upto := target.PrefixTokens(i)
		if upto > c.limit {
			break
		}
		if _, ok := c.tokens[p]; !ok {
			c.tokens[p] = upto - before
			c.total += upto - before
			c.recent = append(c.recent, p)
			stored = append(stored, p)
		}
		before = upto
	}
	for c.total > c.limit {
		oldest := c.recent[0]
		c.recent = c.recent[1:]
		c.total -= c.tokens[oldest]
		delete(c.tokens, oldest)
		evicted = append(evicted, oldest)
	}
	return stored, evicted
}
