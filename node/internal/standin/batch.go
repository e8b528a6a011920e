package standin

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/node/target"
)

// step does one step of the batch and returns how long it takes.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stall || e.faults.Frozen {
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
