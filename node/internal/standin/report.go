package standin

import (
	"slices"
	"time"

	"doorstack.dev/node/target"
)

// currentReport returns a load report of the current state; the lock is held.
func (e *Engine) currentReport() target.LoadReport {
	r := target.LoadReport{
		CreatedAt:    time.Now(),
		MemoryTokens: e.cost.MemoryTokens,
		UsedTokens:   e.usedTokens,
		Draining:     e.faults.Draining,
		Models:       slices.Clone(e.models),
		FencingToken: e.fencingToken,
	}
	for _, s := range e.queue {
		left := s.promptTokens - s.prefilled
		r.BacklogTokens += left
		if left >= target.LongPrefillTokens {
			r.LongPrefills++
		}
		if s.awaitingMemory {
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

// recordReport adds a report to the history, in which Report looks for one as old as the lag.
// Of the reports older than twice the lag it keeps only the newest; the lock is held.
func (e *Engine) recordReport() {
	if e.faults.ReportLag == 0 {
		e.reportHistory = nil
		return
	}
	e.reportHistory = append(e.reportHistory, e.currentReport())
	oldest := time.Now().Add(-2 * e.faults.ReportLag)
	for len(e.reportHistory) > 1 && e.reportHistory[1].CreatedAt.Before(oldest) {
		e.reportHistory = e.reportHistory[1:]
	}
}

// Report returns the load report that the engine publishes, with the injected lag.
func (e *Engine) Report() target.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.faults.ReportLag == 0 || len(e.reportHistory) == 0 {
		return e.currentReport()
	}
	wanted := now.Add(-e.faults.ReportLag)
	found := e.reportHistory[0]
	for _, r := range e.reportHistory {
		if r.CreatedAt.After(wanted) {
			break
		}
		found = r
	}
	found.Age = now.Sub(found.CreatedAt)
	found.Draining = e.faults.Draining
	return found
}

// cacheEventsAfter returns the cache events after a sequence number.
func (e *Engine) cacheEventsAfter(after int64) []target.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := len(e.cacheEvents)
	for at > 0 && e.cacheEvents[at-1].Sequence > after {
		at--
	}
	return slices.Clone(e.cacheEvents[at:])
}
