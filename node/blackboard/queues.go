package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/engine"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
)

// QueueTable holds the waiting requests of each pool.
type QueueTable struct {
	mu      Mutex
	pools   map[string]*poolQueue
	wakeups chan string
}

// poolQueue is the queue of one pool.
type poolQueue struct {
	queue        *admission.Queue
	wakeupQueued bool
	// nextDispatch is when a long queue may be dispatched again; throttled means that a timer
	// is waiting for that time.
	nextDispatch time.Time
	throttled    bool
	// reservedFor is the id of the long request for which a target is reserved.
	reservedFor string
}

// Ticket is a request that waits in the queue of a pool, with the input of its routing decision.
type Ticket struct {
	Item *admission.Item
	Pool *settings.ResolvedPool
	// Request is the input of routing; Attempt is the id of the call to be made.
	Request routing.Request
	Attempt string
	Holders []Holder
	// Deadline is when the request must be complete.
	Deadline time.Time
	// Params are the pool's routing parameters when the ticket was created.
	Params routing.Params
	// placed receives the placement, once.
	placed chan Placement
	// waitDecision is a recent decision to wait, with its candidates, and candidatesRecorded
	// when it was made.
	waitDecision       *routing.Decision
	candidatesRecorded time.Time
	dispatchAttempts   int
	noTargetSince      time.Time // when routing first found no target at all
}

// Placed returns the channel that delivers the ticket's placement.
func (t *Ticket) Placed() <-chan Placement { return t.placed }

// Cancel closes the Placed channel without a placement. The ticket must already be
// removed from its queue.
func (t *Ticket) Cancel() { close(t.placed) }

// maxWakeups bounds the pools that wait for a worker; each pool is queued at most once.
const maxWakeups = 1024

func newQueueTable() *QueueTable {
	return &QueueTable{mu: NewMutex(RankQueues), pools: map[string]*poolQueue{}, wakeups: make(chan string, maxWakeups)}
}

// Push adds a request to its pool's queue and wakes a worker.
func (t *QueueTable) Push(ticket *Ticket) {
	ticket.placed = make(chan Placement, 1)
	t.mu.Lock()
	p := t.pool(ticket.Pool.Name)
	p.queue.AgeingPerLevel = time.Duration(ticket.Pool.Policy.AgeingPerLevel)
	ticket.Item.Value = ticket
	p.queue.Push(ticket.Item)
	t.queueWakeup(ticket.Pool.Name, p)
	t.mu.Unlock()
}

// pool returns the queue of a pool and creates it if needed; the lock is held.
func (t *QueueTable) pool(name string) *poolQueue {
	p := t.pools[name]
	if p == nil {
		p = &poolQueue{queue: admission.NewQueue(0)}
		t.pools[name] = p
	}
	return p
}

// After the dispatch of a queue of throttleMinLength requests or more, the next dispatch
// waits for throttleInterval: each dispatch looks at every request, and under overload
// events arrive faster than such dispatches are done. The interval is short against the
// smallest first-event goal of callers, 300 ms.
const (
	throttleMinLength = 8
	throttleInterval  = 8 * time.Millisecond
)

// queueWakeup queues a pool for the workers, unless it is queued, throttled or has nothing to do; the lock is held.
func (t *QueueTable) queueWakeup(name string, p *poolQueue) {
	if p.wakeupQueued || p.throttled || p.queue.Len() == 0 && p.reservedFor == "" {
		return
	}
	if left := time.Until(p.nextDispatch); left > 0 {
		p.throttled = true
		time.AfterFunc(left, func() { t.endThrottle(name) })
		return
	}
	select {
	case t.wakeups <- name:
		p.wakeupQueued = true
	default:
	}
}

// endThrottle wakes a worker for the events that arrived while a pool was throttled.
func (t *QueueTable) endThrottle(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[pool]; p != nil {
		p.throttled = false
		t.queueWakeup(pool, p)
	}
}

// Wake wakes a worker for a pool in which capacity may have become free.
func (t *QueueTable) Wake(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[pool]; p != nil {
		t.queueWakeup(pool, p)
	}
}

// WakeAll wakes a worker for every pool with waiting requests.
func (t *QueueTable) WakeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.pools {
		t.queueWakeup(name, p)
	}
}

// Wakeups returns the channel that delivers the pools that a worker should dispatch.
func (t *QueueTable) Wakeups() <-chan string { return t.wakeups }

// Remove removes a request from its queue and reports whether it was still waiting;
// if not, its placement is in the ticket's channel.
func (t *QueueTable) Remove(ticket *Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(ticket.Pool.Name)
	removed := p.queue.Remove(ticket.Item)
	if removed && p.reservedFor == ticket.Item.ID {
		t.queueWakeup(ticket.Pool.Name, p) // The next dispatch ends the reservation.
	}
	return removed
}

// Waiting returns the number of waiting requests of an account and the number of tokens queued ahead of a priority level.
func (t *QueueTable) Waiting(pool, account string, level int) (requests int, tokensAhead int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.pool(pool).queue
	return q.Waiting(account), q.TokensAhead(level)
}

// Len returns the number of waiting requests of a pool.
func (t *QueueTable) Len(pool string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool(pool).queue.Len()
}

// Lengths returns the number of waiting requests by pool.
func (t *QueueTable) Lengths() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	lengths := map[string]int{}
	for name, p := range t.pools {
		lengths[name] = p.queue.Len()
	}
	return lengths
}

// Stats returns the figures of the queues by pool.
func (t *QueueTable) Stats(at time.Time) map[string]admission.QueueStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := map[string]admission.QueueStats{}
	for name, p := range t.pools {
		stats[name] = p.queue.Stats(at)
	}
	return stats
}

// LargestShares returns for each account the largest part of a pool's cost dispatched lately, and the
// pool. Only the pools that this daemon places calls for count.
func (t *QueueTable) LargestShares(at time.Time) map[string]PoolShare {
	t.mu.Lock()
	defer t.mu.Unlock()
	largest := map[string]PoolShare{}
	for name, p := range t.pools {
		for account, share := range p.queue.AccountShares(at) {
			if old := largest[account]; share > old.Share || share == old.Share && name < old.Pool {
				largest[account] = PoolShare{Pool: name, Share: share}
			}
		}
	}
	return largest
}

// PoolShare is the part of a pool's dispatched cost that an account took lately.
type PoolShare struct {
	Pool  string  `json:"pool"`
	Share float64 `json:"share"`
}

// noTargetGrace is how long a request waits while its pool has no target at all:
// longer than a target's restart usually shows on the host list, and short enough that
// the caller gets the error early.
const noTargetGrace = 3 * time.Second

// Dispatch offers the waiting requests of a pool to its targets, delivers each placement
// to its ticket, and returns their number. It holds the lock of the queues and takes the
// lock of the targets inside.
func (t *QueueTable) Dispatch(pool string, targets *TargetTable, at time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(pool)
	p.wakeupQueued = false
	t.reserveTargetForOldest(p, pool, targets, at)
	defer func() {
		if p.queue.Len() >= throttleMinLength {
			p.nextDispatch = at.Add(throttleInterval)
		}
	}()
	ahead := 0.0 // prefill time of the long prompts that wait ahead of the next one, in seconds
	placed := p.queue.Dispatch(at, func(it *admission.Item) bool {
		ticket := it.Value.(*Ticket)
		ticket.Request.PrefillAhead = ahead
		if d, done := place(ticket, targets, at); done {
			switch d.Verdict {
			case routing.Refuse:
				p.queue.Refuse(it, at.Add(admission.RefusalRetryAfter(engine.Duration(d.RetryAfter), it.Long, ticket.Deadline.Sub(at))))
			case routing.None:
				p.queue.Refuse(it, time.Time{})
			}
			return true
		}
		if it.Long {
			ahead += it.PrefillSeconds
		}
		return false
	})
	p.refuseRateLimited(targets.AllRateLimited(pool, at), at)
	if p.reservedFor != "" {
		// The request may have been placed. A group that it runs on needs all targets, and there may be no further dispatch.
		t.reserveTargetForOldest(p, pool, targets, at)
	}
	return placed
}

// refuseRateLimited refuses the waiting requests that would be sent too late, if all targets of the pool
// have declared rate limits.
func (p *poolQueue) refuseRateLimited(limited []routing.Target, at time.Time) {
	if len(limited) == 0 {
		return
	}
	ahead := 0
	for _, it := range p.queue.InOrder(at) {
		ticket := it.Value.(*Ticket)
		r := &ticket.Request
		r.Waited, r.UntilDeadline = at.Sub(it.Arrived).Seconds(), ticket.Deadline.Sub(at).Seconds()
		d, refused := routing.RefuseRateLimited(r, ahead, limited)
		if !refused {
			ahead++
			r.AllowedToWait = true
			continue
		}
		p.queue.Remove(it)
		ticket.placed <- Placement{Decision: d, Attempt: ticket.Attempt, DecidedAt: at}
	}
}

// place tries to place a ticket and returns the decision and whether the ticket is done waiting.
func place(ticket *Ticket, targets *TargetTable, at time.Time) (*routing.Decision, bool) {
	params := ticket.Params
	params.LongTargets += ageingSteps(ticket, at)
	ticket.Request.Waited = at.Sub(ticket.Item.Arrived).Seconds()
	ticket.Request.OmitCandidates = at.Sub(ticket.candidatesRecorded) < candidateRecordInterval
	placement := targets.Place(ticket.Pool.Name, ticket.Attempt, &ticket.Request, &params, ticket.Holders, at)
	ticket.dispatchAttempts++
	switch placement.Decision.Verdict {
	case routing.Wait:
		ticket.recordWait(&placement.Decision, at)
		ticket.noTargetSince = time.Time{}
		return &placement.Decision, false
	case routing.None:
		ticket.recordWait(&placement.Decision, at)
		if ticket.noTargetSince.IsZero() {
			ticket.noTargetSince = at
		}
		if at.Sub(ticket.noTargetSince) < noTargetGrace && !placement.Decision.Blocked() {
			return &placement.Decision, false
		}
	case routing.Place, routing.Group, routing.Refuse:
	}
	ticket.placed <- placement
	return &placement.Decision, true
}

// candidateRecordInterval is the least time between two decisions to wait of a ticket whose candidates
// are recorded. Not all are recorded, since every event of the pool leads to a new decision.
const candidateRecordInterval = 100 * time.Millisecond

// recordWait keeps a decision to wait, for the explanation, if its candidates are recorded or
// if it is the ticket's first.
func (t *Ticket) recordWait(d *routing.Decision, at time.Time) {
	if !t.Request.OmitCandidates || t.waitDecision == nil {
		t.waitDecision, t.candidatesRecorded = d, at
	}
}

// ageingSteps returns how many ageing steps a ticket has waited. Each step allows its long
// prompt one more target, which bounds the wait where the capacity reserved for short
// prompts leaves too little for long ones.
func ageingSteps(ticket *Ticket, at time.Time) int {
	step := time.Duration(ticket.Pool.Policy.AgeingPerLevel)
	if step <= 0 {
		return 0
	}
	return int(at.Sub(ticket.Item.Arrived) / step)
}

// reserveAfterSteps is how many ageing steps a long request waits before a target is
// reserved for it.
const reserveAfterSteps = 2

// reserveTargetForOldest reserves a target for the longest-waiting long request once that
// request has waited for reserveAfterSteps ageing steps. Otherwise new short requests could
// take all free capacity before it forever. One target of a pool is reserved at a time.
func (t *QueueTable) reserveTargetForOldest(p *poolQueue, pool string, targets *TargetTable, at time.Time) {
	oldest := p.queue.Oldest(true)
	if oldest == nil || p.queue.AgeingPerLevel <= 0 || at.Sub(oldest.Arrived) < reserveAfterSteps*p.queue.AgeingPerLevel {
		if p.reservedFor != "" {
			targets.Unreserve(p.reservedFor, at)
			p.reservedFor = ""
		}
		return
	}
	if p.reservedFor == oldest.ID {
		return
	}
	targets.Unreserve(p.reservedFor, at)
	p.reservedFor = oldest.ID
	homes := oldest.Value.(*Ticket).Request.Homes
	if id := mostFreeMemory(targets.Views(pool, at), homes); id != "" {
		targets.Reserve(id, oldest.ID, at)
	}
}

// mostFreeMemory returns the id of the live target with the most free memory in the given regions, or
// in any if there are none.
func mostFreeMemory(views []routing.Target, homes []string) string {
	best, free := "", int64(-1)
	for i := range views {
		v := &views[i]
		if v.State != routing.Live || v.BreakerOpen || v.Unloaded || len(homes) > 0 && !slices.Contains(homes, v.Region) {
			continue
		}
		if left := v.MemoryTokens - v.Load.MemoryTokens; left > free {
			best, free = v.ID, left
		}
	}
	return best
}

// WaitDecision returns the last recorded decision to wait, nil if there is none; it is at most
// candidateRecordInterval older than the latest. The ticket's owner calls it after the ticket was
// placed or removed.
func (t *Ticket) WaitDecision() *routing.Decision { return t.waitDecision }

// DispatchAttempts returns how often routing tried to place the ticket.
func (t *Ticket) DispatchAttempts() int { return t.dispatchAttempts }
