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

// CostModel is the cost model of an engine that batches continuously. A step takes
//
//	Base + Prefill*(prompt tokens read) + Decode*(streams) + Context*(prompt
//	tokens read)*(tokens before them, in millions)
//
// and reads at most Budget prompt tokens, those of urgent requests first.
type CostModel struct {
	// Base is the fixed time of a step.
	FixedStepTime time.Duration
	// Prefill is the time for each prompt token read.
	PerPromptToken time.Duration
	// Decode is the time for each stream that gets a token in the step.
	PerStream time.Duration
	// Context is the extra time for each prompt token read behind a million
	// others, for attention over what stands before.
	ContextPerMillion time.Duration
	// Budget is the most prompt tokens in a step.
	StepTokenBudget int64
	// Memory is the KV cache in tokens, Cache the part for idle prefixes.
	MemoryTokens int64
	CacheTokens  int64
}

// DefaultCostModel is an engine that reads about 20,000 tokens a second.
func DefaultCostModel() CostModel {
	return CostModel{
		FixedStepTime:     5 * time.Millisecond,
		PerPromptToken:    45 * time.Microsecond,
		PerStream:         50 * time.Microsecond,
		ContextPerMillion: 45 * time.Microsecond,
		StepTokenBudget:   2048,
		MemoryTokens:      450_000,
		CacheTokens:       200_000,
	}
}

// Faults are the ways in which an engine misbehaves. The zero value is healthy.
type Faults struct {
	// ReportLag is the age of each load report.
	ReportLag time.Duration
	// DropEvents leaves out every Nth cache event.
	DropEveryNthEvent int
	// TruncateAfter ends each stream without its end mark after so many tokens.
	TruncateAfter int64
	// ReorderChunks swaps neighbours, DuplicateChunks sends each twice.
	ReorderChunks, DuplicateChunks bool
	// ForeignChunks mixes in chunks of another attempt.
	OtherAttemptChunks bool
	// Refuse turns every call away with this code.
	RefusalCode string
	// RefuseAfterRun does the work and then claims a refusal that says so.
	Stall bool
	// Slow multiplies the time of a step.
	Slowdown float64
	// IgnoreFence carries out orders with an old fencing number.
	IgnoreFencingToken bool
	// Leaving is what the load report says.
	Draining bool
	// Frozen answers nothing and keeps every connection open.
	Hanging bool
}

// sequence is a request inside the engine.
type sequence struct {
	attempt        string
	seed           uint64
	level          int
	arrival        int64
	promptTokens   int64 // tokens to read
	prefilled      int64 // tokens read
	contextTokens  int64 // tokens of earlier parts, held by other engines
	memoryTokens   int64 // memory taken
	reservation    string
	nextIndex      int64 // index of the next token to emit
	max            int64
	prefixHashes   []uint64
	ended          bool
	failure        string
	emitted        []string // emitted, from index first on
	firstIndex     int64
	changed        chan struct{} // closed and replaced at each change
	prefillOnly    bool          // a part of a group: nothing is emitted
	awaitingMemory bool          // not yet admitted to memory
}

// Engine is a stand-in for a model engine.
type Engine struct {
	// Name appears in reports; Models are what it serves.
	Name string

	mu            sync.Mutex
	cost          CostModel
	faults        Faults
	models        []string
	byAttempt     map[string]*sequence
	queue         []*sequence
	reservations  map[string]target.Reservation
	cache         prefixCache
	usedTokens    int64
	counter       int64
	fencingToken  int64
	orders        []target.Order
	reportHistory []target.LoadReport
	cacheEvents   []target.CacheEvent
	wake          chan struct{}
	executed      map[string]int
	resumeWindow  time.Duration
	steps         int64
}

// resumeWindow is how long an ended stream can still be resumed.
const resumeWindow = 30 * time.Second

// NewEngine returns an idle engine; Run makes it work.
func NewEngine(name string, cost CostModel, models ...string) *Engine {
	return &Engine{
		Name:         name,
		cost:         cost,
		models:       models,
		byAttempt:    map[string]*sequence{},
		reservations: map[string]target.Reservation{},
		cache:        prefixCache{maxTokens: cost.CacheTokens, tokens: map[uint64]int64{}},
		wake:         make(chan struct{}, 1),
		executed:     map[string]int{},
		resumeWindow: resumeWindow,
	}
}

// SetFaults changes how the engine misbehaves from now on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	e.signalWork()
}

// UsedTokens is the memory in use now, without lag.
func (e *Engine) UsedTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedTokens
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

func (e *Engine) signalWork() {
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

// AnswerSeed is the seed of a prompt's answer.
func AnswerSeed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Answer is the whole answer to a prompt.
func Answer(prompt string, tokens int64) string {
	var text []byte
	for i := range tokens {
		text = append(text, TokenText(AnswerSeed(prompt), i)...)
	}
	return string(text)
}

// refuse checks the faults and limits that turn a call away.
func (e *Engine) injectedRefusal() *target.ErrorAnswer {
	if e.faults.RefusalCode != "" {
		return &target.ErrorAnswer{Code: e.faults.RefusalCode, Message: "told to refuse"}
	}
	return nil
}

// start puts a generate request into the batch.
func (e *Engine) startGenerate(g *target.GenerateRequest) (*sequence, *target.ErrorAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.injectedRefusal(); r != nil {
		return nil, r
	}
	if e.byAttempt[g.Attempt] != nil {
		return nil, &target.ErrorAnswer{Code: target.CodeDuplicateAttempt, Message: "this attempt is known already", Ran: true}
	}
	if !slices.Contains(e.models, g.Model) {
		return nil, &target.ErrorAnswer{Code: target.CodeModelNotLoaded, Message: "model " + g.Model + " is not loaded"}
	}
	s := e.newSequence(g.Attempt, g.Prompt, g.Level)
	s.max = g.MaxTokens
	s.firstIndex, s.nextIndex = g.FirstIndex, g.FirstIndex
	if answer := e.checkMemory(s, g.Reservation, g.Context); answer != nil {
		return nil, answer
	}
	e.executed[g.Attempt]++
	e.byAttempt[g.Attempt] = s
	e.queue = append(e.queue, s)
	e.signalWork()
	return s, nil
}

func (e *Engine) newSequence(attempt, prompt string, level int) *sequence {
	e.counter++
	return &sequence{
		attempt:        attempt,
		seed:           AnswerSeed(prompt),
		level:          level,
		arrival:        e.counter,
		promptTokens:   target.EstimateTokens(len(prompt)),
		prefixHashes:   target.PrefixHashes(prompt),
		changed:        make(chan struct{}),
		awaitingMemory: true,
	}
}

// takeMemory uses a reservation, or refuses what can never fit.
func (e *Engine) checkMemory(s *sequence, reservation string, context []target.KVRef) *target.ErrorAnswer {
	if reservation == "" {
		if s.promptTokens+s.max > e.cost.MemoryTokens {
			return &target.ErrorAnswer{Code: target.CodeNoMemory, Message: "the prompt is larger than the engine's memory"}
		}
		return nil
	}
	r, ok := e.reservations[reservation]
	if !ok {
		return &target.ErrorAnswer{Code: target.CodeUnknownID, Message: "there is no such reservation"}
	}
	if s.promptTokens+s.max > r.Tokens {
		return &target.ErrorAnswer{Code: target.CodeNoMemory, Message: "the part is larger than its reservation"}
	}
	s.awaitingMemory = false
	s.reservation = reservation
	for _, ref := range context {
		s.contextTokens += ref.Tokens
	}
	return nil
}

func (e *Engine) startPrefill(p *target.PrefillRequest) (*sequence, *target.ErrorAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.injectedRefusal(); r != nil {
		return nil, r
	}
	s := e.newSequence("prefill/"+p.Reservation, p.Prompt, p.Level)
	s.prefillOnly = true
	if answer := e.checkMemory(s, p.Reservation, p.Context); answer != nil {
		return nil, answer
	}
	e.queue = append(e.queue, s)
	e.signalWork()
	return s, nil
}

func (e *Engine) cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.byAttempt[attempt]; s != nil {
		e.end(s, "cancelled")
		delete(e.byAttempt, attempt)
	}
	e.signalWork()
}

func (e *Engine) reserve(r target.Reservation) *target.ErrorAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answer := e.injectedRefusal(); answer != nil {
		return answer
	}
	if _, known := e.reservations[r.ID]; known {
		return nil
	}
	if e.usedTokens+r.Tokens > e.cost.MemoryTokens {
		return &target.ErrorAnswer{Code: target.CodeNoMemory, Message: "there is not so much free memory"}
	}
	e.usedTokens += r.Tokens
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
	e.usedTokens -= r.Tokens
	for _, s := range e.queue {
		if s.reservation == id {
			e.end(s, "the reservation was released")
		}
	}
	e.signalWork()
}

func (e *Engine) applyOrder(o target.Order) *target.ErrorAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.fencingToken && !e.faults.IgnoreFencingToken {
		return &target.ErrorAnswer{Code: target.CodeStaleFencingToken, Message: fmt.Sprintf("the number %d is older than %d", o.FencingToken, e.fencingToken)}
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.models = slices.Clone(o.Models)
	e.orders = append(e.orders, o)
	return nil
}
