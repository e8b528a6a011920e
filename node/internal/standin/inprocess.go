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

// RunningJob is a job inside an engine.
type RunningJob struct {
	engine *Engine
	seq    *sequence
}

// Submit gives an engine a job. It returns nil when the job can never fit.
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

// Step does one step of the batch. It returns how long the step takes, and false
// when there is nothing to do.
func (e *Engine) Step() (time.Duration, bool) { return e.step() }

// Started tells whether the job has its first token.
func (r *RunningJob) HasFirstToken() bool { return r.seq.nextIndex > 0 }

// Ended tells whether the job is done.
func (r *RunningJob) Ended() bool { return r.seq.ended }

// EventsAfter lists the cache events after a sequence number.
func (e *Engine) CacheEventsAfter(after int64) []target.CacheEvent { return e.cacheEventsAfter(after) }
