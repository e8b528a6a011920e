// Package standin simulates the systems that doorstack talks to: a model engine with an
// explicit cost model, a plain service, and the platform with its configuration service
// and host list. Tests, measurements and "doorstack try" use them. Each can inject
// faults, such as late load reports, lost cache events, truncated streams, refusals,
// aborted connections and stale settings.
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

// CostModel determines how long each step of an engine with continuous batching takes:
//
//	FixedStepTime + PerPromptToken*(prompt tokens read) + PerStream*(streams) +
//	ContextPerMillion*(prompt tokens read)*(tokens before them, in millions)
//
// A step reads at most StepTokenBudget prompt tokens, those of the lowest level first.
type CostModel struct {
	// FixedStepTime is the part of a step's time that does not depend on its work.
	FixedStepTime time.Duration
	// PerPromptToken is the time for each prompt token read.
	PerPromptToken time.Duration
	// PerStream is the time for each stream that gets a token in the step.
	PerStream time.Duration
	// ContextPerMillion is the extra time for each prompt token that follows a million
	// others, for attention over those.
	ContextPerMillion time.Duration
	// StepTokenBudget is the maximum number of prompt tokens read in a step.
	StepTokenBudget int64
	// MemoryTokens is the memory for the KV caches of requests, in tokens. CacheTokens is
	// the maximum size of the prefix cache, which is counted separately.
	MemoryTokens int64
	CacheTokens  int64
}

// DefaultCostModel returns the costs of an engine that prefills about 20,000 tokens per
// second.
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

// Faults are the faults that an engine injects. The zero value injects none.
type Faults struct {
	// ReportLag is the age of each load report.
	ReportLag time.Duration
	// DropEveryNthEvent drops every Nth cache event; zero drops none.
	DropEveryNthEvent int
	// TruncateAfter ends each stream, without an end chunk, before the token with this
	// index in the answer; zero truncates no stream.
	TruncateAfter int64
	// ReorderChunks swaps adjacent chunks, DuplicateChunks sends each chunk twice.
	ReorderChunks, DuplicateChunks bool
	// OtherAttemptChunks inserts chunks of another attempt into each stream.
	OtherAttemptChunks bool
	// TokensWithoutEnd sends MaxEndlessText bytes of tokens in each stream, or as much as its caller reads.
	TokensWithoutEnd bool
	// RefusalCode refuses every call with this error code, unless it is empty.
	RefusalCode string
	// Stall accepts calls but makes no progress on them.
	Stall bool
	// Slowdown multiplies the time of a step; zero leaves it unchanged.
	Slowdown float64
	// IgnoreFencingToken applies orders with a stale fencing token.
	IgnoreFencingToken bool
	// Draining makes the load report say that the engine is draining.
	Draining bool
	// Hanging answers no call, makes no progress and keeps every connection open.
	Hanging bool
	// CrashText closes the connection of each call whose prompt contains it, as a crashing engine does, unless it is
	// empty.
	CrashText string
}

// sequence is a generate or prefill request in the engine's batch.
type sequence struct {
	attempt        string
	seed           uint64
	level          int
	arrival        int64
	promptTokens   int64  // prompt tokens to prefill
	prefilled      int64  // prompt tokens prefilled or found in the cache
	contextTokens  int64  // tokens of earlier parts of the prompt, stored in other engines
	memoryTokens   int64  // memory allocated without a reservation
	reservation    string // ID, or empty
	nextIndex      int64  // index of the next token to emit
	max            int64  // number of tokens of the answer, counted from index 0
	prefixHashes   []uint64
	ended          bool
	failure        string
	emitted        []string // texts of the generated tokens, from index firstIndex on
	firstIndex     int64
	changed        chan struct{} // closed and replaced at each change
	prefillOnly    bool          // reads a part of a prompt split over a group of engines; generates no token
	awaitingMemory bool          // no memory has been allocated yet
}

// Engine is a stand-in for a model engine.
type Engine struct {
	// Name identifies the engine. The engine itself does not use the name.
	Name string

	mu            sync.Mutex
	cost          CostModel
	faults        Faults
	crashes       int
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

// resumeWindow is how long a stream can still be resumed after its end.
const resumeWindow = 30 * time.Second

// NewEngine returns an idle engine that serves the given models. The engine makes steps
// while Run runs, or when Step is called.
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

// SetFaults replaces the faults that the engine injects.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	e.signalWork()
}

// UsedTokens returns the memory in use in tokens, without the lag of load reports.
func (e *Engine) UsedTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedTokens
}

// Executed returns how often each attempt was started.
func (e *Engine) Executed() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.executed))
	for k, v := range e.executed {
		counts[k] = v
	}
	return counts
}

// Orders returns the orders that the engine has applied, the oldest first.
func (e *Engine) Orders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// signalWork wakes Run.
func (e *Engine) signalWork() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run makes steps in real time until ctx ends.
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

// TokenText returns the text of the token at an index of the answer to a prompt with the
// given seed. It depends on nothing else, so that tests can check whole answers.
func TokenText(seed uint64, index int64) string {
	return fmt.Sprintf(" w%x.%d", seed&0xfff, index)
}

// AnswerSeed returns the seed that determines the answer to a prompt.
func AnswerSeed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Answer returns the complete answer to a prompt, with the given number of tokens.
func Answer(prompt string, tokens int64) string {
	var text []byte
	for i := range tokens {
		text = append(text, TokenText(AnswerSeed(prompt), i)...)
	}
	return string(text)
}

// injectedRefusal returns the refusal set by SetFaults, or nil; the lock is held.
func (e *Engine) injectedRefusal() *target.ErrorAnswer {
	if e.faults.RefusalCode != "" {
		return &target.ErrorAnswer{Code: e.faults.RefusalCode, Message: "the stand-in is set to refuse calls"}
	}
	return nil
}

// startGenerate adds a generate request to the batch, or returns the refusal.
func (e *Engine) startGenerate(g *target.GenerateRequest) (*sequence, *target.ErrorAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.injectedRefusal(); r != nil {
		return nil, r
	}
	if e.byAttempt[g.Attempt] != nil {
		return nil, &target.ErrorAnswer{Code: target.CodeDuplicateAttempt, Message: "the attempt has already been started", Ran: true}
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

// newSequence returns a sequence for a prompt, not yet in the batch; the lock is held.
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

// checkMemory assigns a reservation to the sequence. Without a reservation it only
// refuses a sequence that can never fit into the engine's memory.
func (e *Engine) checkMemory(s *sequence, reservation string, context []target.KVRef) *target.ErrorAnswer {
	if reservation == "" {
		if s.promptTokens+s.max > e.cost.MemoryTokens {
			return &target.ErrorAnswer{Code: target.CodeNoMemory, Message: "the prompt and its answer need more memory than the engine has"}
		}
		return nil
	}
	r, ok := e.reservations[reservation]
	if !ok {
		return &target.ErrorAnswer{Code: target.CodeUnknownID, Message: "unknown reservation"}
	}
	if s.promptTokens+s.max > r.Tokens {
		return &target.ErrorAnswer{Code: target.CodeNoMemory, Message: "the part of the prompt and its answer need more memory than the reservation"}
	}
	s.awaitingMemory = false
	s.reservation = reservation
	for _, ref := range context {
		s.contextTokens += ref.Tokens
	}
	return nil
}

// startPrefill adds a prefill request to the batch, or returns the refusal.
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

// cancel ends and removes an attempt, if it exists.
func (e *Engine) cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.byAttempt[attempt]; s != nil {
		e.end(s, "cancelled")
		delete(e.byAttempt, attempt)
	}
	e.signalWork()
}

// reserve reserves memory. Repeating a request with the same ID has no effect.
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
		return &target.ErrorAnswer{Code: target.CodeNoMemory, Message: "not enough free memory for the reservation"}
	}
	e.usedTokens += r.Tokens
	e.reservations[r.ID] = r
	return nil
}

// release frees a reservation and ends the sequences that use it.
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

// applyOrder replaces the loaded models, unless the order's fencing token is stale.
func (e *Engine) applyOrder(o target.Order) *target.ErrorAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.fencingToken && !e.faults.IgnoreFencingToken {
		return &target.ErrorAnswer{Code: target.CodeStaleFencingToken, Message: fmt.Sprintf("fencing token %d is older than %d", o.FencingToken, e.fencingToken)}
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.models = slices.Clone(o.Models)
	e.orders = append(e.orders, o)
	return nil
}
