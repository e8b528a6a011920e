// Package coordbench plays a pool of model engines in virtual time, whose calls are placed by
// one coordinator that knows all engines, or by several that know a part of them each. Queue
// and placement are the daemon's own (blackboard, core/routing); engines and callers are
// played. The same seed gives the same figures.
//
// It answers what a pool's callers lose when several daemons coordinate it, and how a caller's
// daemon should choose among them. What several coordinators save in processor and bytes is
// measured elsewhere (docs/CAPACITY.md).
package coordbench

import (
	"time"

	"doorstack.dev/core/engine"
)

// simEngine is an engine that works in passes, as the package engine describes them: a pass
// with writers has Stride steps, each of which may read a chunk of prompts besides, and one
// without writers has a single step.
type simEngine struct {
	timing *engine.Timing
	// chunk is the most prompt tokens that a step reads.
	chunkTokens int64
	// parts are what it has to read, the first of them now: parts of prompts that several
	// engines read go before whole prompts, and the newest of them first.
	parts    []*promptPart
	decoding []*call
	busy     bool
}

// promptPart is what an engine reads of a prompt.
type promptPart struct {
	call   *call
	tokens int64
	// perToken is the time to read a token of it, in seconds.
	secondsPerToken float64
	split           bool
}

// give adds a part to what is to be read.
func (e *simEngine) addPart(p *promptPart) {
	if p.split {
		e.parts = append([]*promptPart{p}, e.parts...)
		return
	}
	e.parts = append(e.parts, p)
}

// pass works out the next pass: how long it takes and which parts it reads to their ends. It
// is zero where there is nothing to do. A prompt that a pass with writers has read to its end
// writes in the same pass.
func (e *simEngine) nextPass() (length time.Duration, read []*promptPart) {
	if len(e.decoding) == 0 && len(e.parts) == 0 {
		return 0, nil
	}
	seconds, budget := e.timing.Step, e.chunkTokens
	if len(e.decoding) > 0 {
		contexts := int64(0)
		for _, w := range e.decoding {
			contexts += w.promptTokens
		}
		seconds, budget = e.timing.PassTime(len(e.decoding), contexts), e.timing.StepsPerPass*e.chunkTokens
	}
	for budget > 0 && len(e.parts) > 0 {
		p := e.parts[0]
		n := min(budget, p.tokens)
		seconds += float64(n) * p.secondsPerToken
		p.tokens -= n
		budget -= n
		if p.tokens == 0 {
			e.parts = e.parts[1:]
			read = append(read, p)
		}
	}
	return engine.Duration(seconds), read
}
