package standin

import (
	"time"

	"doorstack.dev/node/target"
)

// Job is a request to an engine in the same process. It has lengths instead of texts, so
// that a measurement with many long prompts needs little memory.
type Job struct {
	Attempt      string
	PromptTokens int64
	OutputTokens int64
	Level        int
	Prefixes     []uint64
}

// RunningJob is a job submitted to an engine. Its methods take no lock: call them only from
// the goroutine that calls the engine's Step.
type RunningJob struct {
	engine *Engine
	seq    *sequence
}

// Submit adds a job to the batch. It returns nil if the job can never fit into the
// engine's memory.
func (e *Engine) Submit(j Job) *RunningJob {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.PromptTokens+j.OutputTokens > e.cost.MemoryTokens {
		return nil
	}
	e.counter++
	s := &sequence{
		attempt: j.Attempt, level: j.Level, arrival: e.counter, promptTokens: j.PromptTokens, max: j.OutputTokens,
		prefixHashes: j.Prefixes, changed: make(chan struct{}), awaitingMemory: true,
	}
	e.queue = append(e.queue, s)
	return &RunningJob{e, s}
}

// Step performs one step of the batch without waiting. It returns the step's duration,
// and false if no request is left to process.
func (e *Engine) Step() (time.Duration, bool) { return e.step() }

// HasFirstToken reports whether the job's first token has been generated.
func (r *RunningJob) HasFirstToken() bool { return r.seq.nextIndex > 0 }

// Ended reports whether the job has ended.
func (r *RunningJob) Ended() bool { return r.seq.ended }

// CacheEventsAfter returns the cache events after a sequence number.
func (e *Engine) CacheEventsAfter(after int64) []target.CacheEvent { return e.cacheEventsAfter(after) }
