package blackboard

import (
	"time"

	"doorstack.dev/core/admission"
)

// maxTimedRoutes bounds the routes whose answers are timed: new settings may bring new ones again and again.
const maxTimedRoutes = 512

// AnswerTimeTable has the times that the calls of path routes take, by the name of the route.
type AnswerTimeTable struct {
	mu     Mutex
	routes map[string]*admission.AnswerTimes
}

func newAnswerTimeTable() *AnswerTimeTable {
	return &AnswerTimeTable{mu: NewMutex(RankAnswerTimes), routes: map[string]*admission.AnswerTimes{}}
}

// Add adds the time that a call took from its placement to the end of its answer.
func (t *AnswerTimeTable) Add(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.routes[route]
	if times == nil {
		t.makeRoom()
		times = &admission.AnswerTimes{}
		t.routes[route] = times
	}
	times.Add(took)
}

// makeRoom forgets a route if there are too many. The lock is held.
func (t *AnswerTimeTable) makeRoom() {
	if len(t.routes) < maxTimedRoutes {
		return
	}
	for route := range t.routes {
		delete(t.routes, route)
		return
	}
}

// LatestSend returns the latest time at which a call of the route may be sent (see admission.AnswerTimes).
func (t *AnswerTimeTable) LatestSend(route string, c admission.Closing) (latest time.Time, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.routes[route]
	if times == nil {
		times = &admission.AnswerTimes{}
	}
	return times.LatestSend(c)
}
