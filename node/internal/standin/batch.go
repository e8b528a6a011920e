package standin

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/node/target"
)

// step performs one step of the batch and returns its duration. It reports false if no
// request is left to process.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stall || e.faults.Hanging {
		return e.cost.FixedStepTime, len(e.queue) > 0
	}
	e.admitWaiting()
	if len(e.queue) == 0 {
		return 0, false
	}
	e.steps++
	duration := e.cost.FixedStepTime
	read, weighted := e.prefillPrompts()
	duration += time.Duration(read)*e.cost.PerPromptToken + time.Duration(weighted*float64(e.cost.ContextPerMillion))
	duration += time.Duration(e.emitTokens()) * e.cost.PerStream
	if e.faults.Slowdown > 0 {
		duration = time.Duration(float64(duration) * e.faults.Slowdown)
	}
	e.queue = slices.DeleteFunc(e.queue, func(s *sequence) bool { return s.ended })
	e.recordReport()
	return duration, true
}

// admitWaiting allocates memory to waiting sequences, by priority level and then by
// arrival. A sequence that does not fit does not block those after it.
func (e *Engine) admitWaiting() {
	slices.SortStableFunc(e.queue, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.arrival, b.arrival))
	})
	for _, s := range e.queue {
		if !s.awaitingMemory || s.ended {
			continue
		}
		need := s.promptTokens + s.max
		if e.usedTokens+need > e.cost.MemoryTokens {
			continue
		}
		e.usedTokens += need
		s.memoryTokens = need
		s.awaitingMemory = false
		s.prefilled = min(s.promptTokens-1, e.cache.matchedTokens(s.prefixHashes))
		s.prefilled = max(0, s.prefilled)
	}
}

// prefillPrompts prefills prompts up to the step's token budget. It returns the number of
// prompt tokens read and, for the cost of attention, this number weighted: each token counts
// as many times as there are millions of prompt tokens before the part read in this step.
func (e *Engine) prefillPrompts() (read int64, weighted float64) {
	const million = 1e6
	budget := e.cost.StepTokenBudget
	for _, s := range e.queue {
		if s.awaitingMemory || s.prefilled >= s.promptTokens || budget == 0 {
			continue
		}
		n := min(budget, s.promptTokens-s.prefilled)
		weighted += float64(n) * float64(s.contextTokens+s.prefilled) / million
		s.prefilled += n
		budget -= n
		read += n
		if s.prefilled == s.promptTokens {
			e.finishPrefill(s)
		}
	}
	return read, weighted
}

// finishPrefill stores the prompt's prefixes in the cache, records the cache event and
// ends a sequence that is only prefilled.
func (e *Engine) finishPrefill(s *sequence) {
	stored, evicted := e.cache.add(s.prefixHashes)
	if len(stored)+len(evicted) > 0 {
		e.counter++
		if e.faults.DropEveryNthEvent == 0 || e.counter%int64(e.faults.DropEveryNthEvent) != 0 {
			e.cacheEvents = append(e.cacheEvents, target.CacheEvent{Sequence: int64(len(e.cacheEvents) + 1), Stored: stored, Evicted: evicted})
		}
	}
	if s.prefillOnly {
		e.end(s, "")
	}
}

// emitTokens generates one token for each running stream and returns the number of
// those streams.
func (e *Engine) emitTokens() int {
	n := 0
	for _, s := range e.queue {
		if s.awaitingMemory || s.ended || s.prefilled < s.promptTokens {
			continue
		}
		n++
		if s.nextIndex < s.max {
			s.emitted = append(s.emitted, TokenText(s.seed, s.nextIndex))
			s.nextIndex++
		}
		if s.nextIndex >= s.max {
			e.end(s, "")
		}
		s.notify()
	}
	return n
}

// end finishes a sequence and frees the memory allocated to it, but not its reservation.
// The sequence can be resumed for the resume window.
func (e *Engine) end(s *sequence, failure string) {
	if s.ended {
		return
	}
	s.ended = true
	s.failure = failure
	e.usedTokens -= s.memoryTokens
	s.memoryTokens = 0
	s.notify()
	time.AfterFunc(e.resumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.byAttempt[s.attempt] == s {
			delete(e.byAttempt, s.attempt)
		}
	})
}

// notify wakes all goroutines that wait for a change of the sequence.
func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
