package standin

import (
	"slices"
	"time"

	"doorstack.dev/node/target"
)

// report makes a load report of this moment.
func (e *Engine) report() target.LoadReport {
	r := target.LoadReport{
		CreatedAt:    time.Now(),
		MemoryTokens: e.cost.Memory,
		UsedTokens:   e.used,
		Draining:     e.faults.Leaving,
		Models:       slices.Clone(e.models),
		FencingToken: e.fence,
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
	for len(e.history) > 1 && e.history[1].CreatedAt.Before(oldest) {
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
		if r.CreatedAt.After(wanted) {
			break
		}
		found = r
	}
	found.Age = now.Sub(found.CreatedAt)
	found.Draining = e.faults.Leaving
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
