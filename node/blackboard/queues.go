package blackboard

import (
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
)

// QueueTable holds the waiting requests of each pool.
type QueueTable struct {
	mu      Mutex
	pools   map[string]*poolQueue
	wakeups chan string
}

type poolQueue struct {
	queue        *admission.Queue
	wakeupQueued bool
	// restUntil is when the next look at a long queue may be, and resting is true while
	// a timer waits for that.
	nextDispatch time.Time
	throttled    bool
	// reservedFor is the long request that a target is being emptied for.
	reservedFor string
}

// Ticket is a waiting request's place in a queue.
type Ticket struct {
	Item *admission.Item
	Pool *settings.ResolvedPool
	// Request is the input of routing; Attempt names the call to come.
	Request routing.Request
	Attempt string
	Holders []Holder
	// Deadline is when the request must have ended.
	Deadline time.Time
	// Params are the pool's policy at the time of the last look.
	Params routing.Params
	// placed receives the placement, once.
	placed chan Placement
	// waited is a late decision that found no room, with its candidates, and recorded
	// when it was made.
	waitDecision       *routing.Decision
	candidatesRecorded time.Time
	dispatchAttempts   int
	noTargetSince      time.Time // when the ticket began to find no target at all
}

// Placed delivers the ticket's placement.
func (t *Ticket) Placed() <-chan Placement { return t.placed }

// Drop tells whoever waits for the placement that there will be none. The ticket has
// been removed from its queue.
func (t *Ticket) Cancel() { close(t.placed) }

// maxWakeups bounds the pools that wait for a worker; each is in it once.
const maxWakeups = 1024

func newQueueTable() *QueueTable {
	return &QueueTable{mu: NewMutex(RankQueues), pools: map[string]*poolQueue{}, wakeups: make(chan string, maxWakeups)}
}

// Push puts a request into its pool's queue and calls for a worker.
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

func (t *QueueTable) pool(name string) *poolQueue {
	p := t.pools[name]
	if p == nil {
		p = &poolQueue{queue: admission.NewQueue(0)}
		t.pools[name] = p
	}
	return p
}

// A look at a queue of throttleMinLength requests or more is followed by a rest: each looks at
// every request, and under overload events come faster than that. The rest is short
// against the least goal of callers, 300 ms.
const (
	throttleMinLength = 8
	throttleInterval  = 8 * time.Millisecond
)

// mark puts a pool on the workers' list, unless it is there or rests; the lock is held.
func (t *QueueTable) queueWakeup(name string, p *poolQueue) {
	if p.wakeupQueued || p.throttled || p.queue.Len() == 0 {
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

// endRest calls for a worker, for the events of the time of rest.
func (t *QueueTable) endThrottle(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[pool]; p != nil {
		p.throttled = false
		t.queueWakeup(pool, p)
	}
}

// Wake calls for a worker, because room may have come free in a pool.
func (t *QueueTable) Wake(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[pool]; p != nil {
		t.queueWakeup(pool, p)
	}
}

// WakeAll calls for a worker for every pool with waiting requests.
func (t *QueueTable) WakeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.pools {
		t.queueWakeup(name, p)
	}
}

// Dirty delivers the pools that a worker should look at.
func (t *QueueTable) Wakeups() <-chan string { return t.wakeups }

// Remove takes a request out that no longer waits. It tells whether it waited;
// if not, its placement is in the ticket's channel.
func (t *QueueTable) Remove(ticket *Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool(ticket.Pool.Name).queue.Remove(ticket.Item)
}

// Waiting counts the requests of an account and the tokens before a level.
func (t *QueueTable) Waiting(pool, account string, level int) (requests int, tokensAhead int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.pool(pool).queue
	return q.Waiting(account), q.TokensAhead(level)
}

// Len is the number of waiting requests of a pool.
func (t *QueueTable) Len(pool string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool(pool).queue.Len()
}

// Lengths is the number of waiting requests by pool.
func (t *QueueTable) Lengths() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	lengths := map[string]int{}
	for name, p := range t.pools {
		lengths[name] = p.queue.Len()
	}
	return lengths
}

// noTargetGrace is how long a request waits while its pool has no target at all:
// longer than a target's restart on the host list usually shows, and short
// enough that the caller hears of it early.
const noTargetGrace = 3 * time.Second

// Dispatch offers the waiting requests of a pool to its targets and delivers
// each placement to its ticket. It holds the queues' lock and takes the
// targets' lock inside.
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
	ahead := 0.0 // reading time of the long prompts that wait before the next one
	placed := p.queue.Dispatch(at, func(it *admission.Item) bool {
		ticket := it.Value.(*Ticket)
		ticket.Request.PrefillAhead = ahead
		if place(ticket, targets, at) {
			return true
		}
		if it.Long {
			ahead += it.PrefillSeconds
		}
		return false
	})
	p.refuseRateLimited(targets.AllRateLimited(pool, at), at)
	return placed
}

// refuseExhausted refuses the waiting requests whose turn comes too late, where all targets of the pool
// have named limits.
func (p *poolQueue) refuseRateLimited(limited []routing.Target, at time.Time) {
	if len(limited) == 0 {
		return
	}
	before := 0
	for _, it := range p.queue.InOrder(at) {
		ticket := it.Value.(*Ticket)
		r := &ticket.Request
		r.Waited, r.UntilDeadline = at.Sub(it.Arrived).Seconds(), ticket.Deadline.Sub(at).Seconds()
		d, refused := routing.RefuseRateLimited(r, before, limited)
		if !refused {
			before++
			r.WaitAccepted = true
			continue
		}
		p.queue.Remove(it)
		ticket.placed <- Placement{Decision: d, Attempt: ticket.Attempt, DecidedAt: at}
	}
}

// place asks for a target and tells whether the ticket is done waiting.
func place(ticket *Ticket, targets *TargetTable, at time.Time) bool {
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
		return false
	case routing.None:
		ticket.recordWait(&placement.Decision, at)
		if ticket.noTargetSince.IsZero() {
			ticket.noTargetSince = at
		}
		if at.Sub(ticket.noTargetSince) < noTargetGrace {
			return false
		}
	case routing.Place, routing.Group:
	}
	ticket.placed <- placement
	return true
}

// candidateRecordInterval is how often the candidates of a decision to wait are recorded: a ticket is
// looked at with each event of its pool.
const candidateRecordInterval = 100 * time.Millisecond

// note keeps a decision to wait that has its candidates, for the explanation.
func (t *Ticket) recordWait(d *routing.Decision, at time.Time) {
	if !t.Request.OmitCandidates || t.waitDecision == nil {
		t.waitDecision, t.candidatesRecorded = d, at
	}
}

// ageingSteps is how many ageing steps a ticket has waited. Each lets its long
// prompt go to one more target, so that its wait is bounded where the room kept for
// short prompts leaves too little for the long ones.
func ageingSteps(ticket *Ticket, at time.Time) int {
	step := time.Duration(ticket.Pool.Policy.AgeingPerLevel)
	if step <= 0 {
		return 0
	}
	return int(at.Sub(ticket.Item.Arrived) / step)
}

// reserveAfterSteps is how many ageing steps a long request waits before a target is
// emptied for it.
const reserveAfterSteps = 2

// emptyTargetForOldest keeps a target free of new short requests once the
// longest-waiting long request has waited too long, so that short ones cannot
// fill every gap before it for ever. One target a pool is emptied at a time.
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
	if id := mostFreeMemory(targets.Views(pool, at)); id != "" {
		targets.Reserve(id, oldest.ID, at)
	}
}

// mostFreeMemory finds the live target with the most free memory.
func mostFreeMemory(views []routing.Target) string {
	best, free := "", int64(-1)
	for i := range views {
		v := &views[i]
		if v.State != routing.Live || v.BreakerOpen || v.Unloaded {
			continue
		}
		if left := v.MemoryTokens - v.Load.MemoryTokens; left > free {
			best, free = v.ID, left
		}
	}
	return best
}

// Waited is a late decision that found no room, at most candidateRecordInterval before the last. It is read by the ticket's
// owner after the ticket was placed or removed.
func (t *Ticket) WaitDecision() *routing.Decision { return t.waitDecision }

// Looks is how often targets were looked at for the ticket.
func (t *Ticket) DispatchAttempts() int { return t.dispatchAttempts }
