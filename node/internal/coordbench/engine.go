// Package coordbench simulates a pool of model engines in virtual time. A coordinator is a daemon
// that queues the pool's calls and places them on engines. Either one coordinator knows all engines,
// or several each know a part of them. Queueing and placement are the daemon's own code (blackboard,
// core/routing); engines and callers are simulated. The same seed gives the same results.
//
// The simulation measures how much worse a pool's calls are served when several daemons coordinate
// the pool, and compares the ways in which a daemon can choose among the coordinators. The
// processor time and bandwidth that several coordinators save are measured elsewhere
// (docs/CAPACITY.md).
package coordbench

import (
	"time"

	"doorstack.dev/core/engine"
)

// simEngine simulates an engine that works in passes, as package engine describes them: a pass
// with decoding requests has Timing.StepsPerPass steps, each of which may also prefill a chunk of
// prompt tokens; a pass without them has a single step.
type simEngine struct {
	timing *engine.Timing
	// chunkTokens is the maximum number of prompt tokens that a step prefills.
	chunkTokens int64
	// parts are the pending prefills, in order: first the parts of split prompts, from the newest
	// to the oldest, then the whole prompts, from the oldest to the newest.
	parts    []*promptPart
	decoding []*call
	busy     bool
}

// promptPart is the part of a prompt that one engine prefills.
type promptPart struct {
	call   *call
	tokens int64
	// secondsPerToken is the time to prefill a token of the part.
	secondsPerToken float64
	split           bool // whether several engines prefill the prompt
}

// addPart adds a part to the pending prefills.
func (e *simEngine) addPart(p *promptPart) {
	if p.split {
		e.parts = append([]*promptPart{p}, e.parts...)
		return
	}
	e.parts = append(e.parts, p)
}

// nextPass returns the length of the next pass and the parts whose prefill it completes. The
// length is zero if there is nothing to do. A whole prompt has its first event at the end of the
// pass that completes its prefill if that pass has decoding requests, else at the end of the next
// pass. For split prompts see finishPart.
func (e *simEngine) nextPass() (length time.Duration, prefilled []*promptPart) {
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
			prefilled = append(prefilled, p)
		}
	}
	return engine.Duration(seconds), prefilled
}
