package standin

import (
	"time"

	"doorstack.dev/node/target"
)

// Job is a request given to an engine in the same process, by its lengths alone,
// so that a measurement of many long prompts needs no long texts.
type Job struct {
	Attempt      string
	PromptTokens int64
	OutputTokens int64
	Level        int
	Prefixes     []uint64
}

// Running is a job inside an engine.
type Running struct {
	engine *Engine
	s      *sequence
}

// Submit gives an engine a job. It returns nil when the job can never fit.
func (e *Engine) Submit(j Job) *Running {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.PromptTokens+j.OutputTokens > e.cost.Memory {
		return nil
	}
	e.counter++
	s := &sequence{
		attempt: j.Attempt, level: j.Level, order: e.counter, prompt: j.PromptTokens, max: j.OutputTokens,
		prefixes: j.Prefixes, changed: make(chan struct{}), waiting: true,
	}
	e.queue = append(e.queue, s)
	return &Running{e, s}
}

// Step does one step of the batch. It returns how long the step takes, and false
// when there is nothing to do.
func (e *Engine) Step() (time.Duration, bool) { return e.step() }

// Started tells whether the job has its first token.
func (r *Running) Started() bool { return r.s.next > 0 }

// Ended tells whether the job is done.
func (r *Running) Ended() bool { return r.s.ended }

// EventsAfter lists the cache events after a sequence number.
func (e *Engine) EventsAfter(after int64) []target.CacheEvent { return e.eventsAfter(after) }
