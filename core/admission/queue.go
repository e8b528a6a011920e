package admission

import (
	"cmp"
	"slices"
	"time"
)

// Item is a request in a Queue.
type Item struct {
	// ID is the request ID.
	ID string
	// Account is the path of the client account.
	Account string
	// Level is the priority level; lower levels go first.
	Level int
	// Tokens is the cost of the request: its prompt tokens to be processed.
	Tokens int64
	// Long reports whether the request counts as a long prompt.
	Long bool
	// Retry reports whether the request has been placed at a target before.
	Retry bool
	// Arrived is the time at which the daemon received the request.
	Arrived time.Time
	// PrefillSeconds is the time that processing the prompt takes, in seconds; zero if
	// unknown. Long prompts of known prefill time go shortest first, whatever their account,
	// since this answers the most prompts per second; each second that a prompt has waited is
	// subtracted from its prefill time. A prompt of known prefill time that finds no room does
	// not stop those behind it, since Dispatch has to offer each of them: each may be refused.
	PrefillSeconds float64

	// LatestStart is the time by which the request has to be placed to be answered in time;
	// zero if unknown. After it, the request goes behind all that can still be answered in
	// time: its answer is worth little whenever it comes, and if it went first, the others
	// would be late too.
	LatestStart time.Time

	// Value is the caller's own record of the request; the queue ignores it.
	Value any

	startTag float64 // start tag of start-time fair queueing, in tokens
}

// Queue holds the waiting requests of one pool. Requests are dispatched by priority level.
// Within a level, accounts share by tokens (start-time fair queueing), and the requests of an
// account go in order of arrival. Each AgeingPerLevel of waiting raises a request by one
// level, up to level 0, where the fair order ensures that it is dispatched in the end.
type Queue struct {
	// AgeingPerLevel is the wait that raises a request by one level; zero disables ageing.
	AgeingPerLevel time.Duration

	flows       map[flowKey]*flow
	virtualTime float64
	length      int
	tokens      [priorityLevels]int64
	activeFlows []*flow
}

// priorityLevels is the number of priority levels.
const priorityLevels = 10

// flowKey identifies a flow.
type flowKey struct {
	account string
	level   int
	long    bool
	// requestID is set for long prompts of known prefill time, each of which has a flow of its
	// own.
	requestID string
}

func flowKeyOf(it *Item) flowKey {
	key := flowKey{account: it.Account, level: it.Level, long: it.Long}
	if it.PrefillSeconds > 0 && it.Long {
		key.requestID = it.ID
	}
	return key
}

// flow is the queue of one account at one level. Long prompts have a flow of their own, so
// that a long prompt that waits for memory does not block the short prompts of the same
// account.
type flow struct {
	key           flowKey
	items         []*Item
	lastFinishTag float64
	skipped       bool
}

// NewQueue returns an empty queue.
func NewQueue(ageingPerLevel time.Duration) *Queue {
	return &Queue{AgeingPerLevel: ageingPerLevel, flows: map[flowKey]*flow{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Push appends a request to its account's flow; a retry goes to the front.
func (q *Queue) Push(it *Item) {
	key := flowKeyOf(it)
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key}
		q.flows[key] = f
	}
	it.startTag = max(q.virtualTime, f.lastFinishTag)
	f.lastFinishTag = it.startTag + float64(it.Tokens)
	if it.Retry {
		// The request was charged when it was dispatched first; a retry costs nothing more.
		it.startTag = q.virtualTime
		f.items = slices.Insert(f.items, 0, it)
	} else {
		f.items = append(f.items, it)
	}
	q.length++
	q.tokens[it.Level] += it.Tokens
}

// Remove removes a request that no longer waits and reports whether it was queued.
func (q *Queue) Remove(it *Item) bool {
	f := q.flows[flowKeyOf(it)]
	if f == nil {
		return false
	}
	at := slices.Index(f.items, it)
	if at < 0 {
		return false
	}
	f.items = slices.Delete(f.items, at, at+1)
	q.updateAfterRemoval(f, it)
	return true
}

// updateAfterRemoval updates the counts for a request that was removed from a flow.
func (q *Queue) updateAfterRemoval(f *flow, it *Item) {
	q.length--
	q.tokens[it.Level] -= it.Tokens
	if len(f.items) == 0 && f.lastFinishTag <= q.virtualTime {
		delete(q.flows, f.key)
	}
}

// TokensAhead returns the number of prompt tokens that wait at the level and at those that go
// before it.
func (q *Queue) TokensAhead(level int) int64 {
	sum := int64(0)
	for l := 0; l <= level; l++ {
		sum += q.tokens[l]
	}
	return sum
}

// Waiting returns the number of waiting requests of an account.
func (q *Queue) Waiting(account string) int {
	n := 0
	for level := range priorityLevels {
		for _, long := range [...]bool{false, true} {
			if f := q.flows[flowKey{account: account, level: level, long: long}]; f != nil {
				n += len(f.items)
			}
		}
	}
	for key, f := range q.flows {
		if key.requestID != "" && key.account == account {
			n += len(f.items)
		}
	}
	return n
}

// maxDispatchAttempts bounds the requests that one call of Dispatch tries, so that it stays
// short for a long queue of many accounts; the next event calls Dispatch again.
const maxDispatchAttempts = 64

// Dispatch calls place for one request after the other, in the order of dispatch; place reports
// whether it placed the request or found no room. After a short request that finds no room,
// short requests of the same or a larger cost are not tried, and likewise for long ones. Retries
// and requests of known prefill time that find no room have no such effect. Dispatch returns the
// number of requests placed.
func (q *Queue) Dispatch(now time.Time, place func(*Item) bool) int {
	placed := 0
	stopShort, stopLong := int64(-1), int64(-1)
	q.collectActiveFlows()
	for range maxDispatchAttempts {
		f := q.nextFlow(now)
		if f == nil {
			break
		}
		it := f.items[0]
		stop := &stopShort
		if it.Long {
			stop = &stopLong
		}
		if *stop >= 0 && it.Tokens >= *stop {
			f.skipped = true
			continue
		}
		if !place(it) {
			f.skipped = true
			if !it.Retry && it.PrefillSeconds <= 0 {
				*stop = it.Tokens
			}
			continue
		}
		placed++
		f.items = f.items[1:]
		q.virtualTime = max(q.virtualTime, it.startTag)
		q.updateAfterRemoval(f, it)
	}
	return placed
}

func (q *Queue) collectActiveFlows() {
	q.activeFlows = q.activeFlows[:0]
	for key, f := range q.flows {
		if len(f.items) == 0 {
			if f.lastFinishTag <= q.virtualTime {
				delete(q.flows, key)
			}
			continue
		}
		f.skipped = false
		q.activeFlows = append(q.activeFlows, f)
	}
}

// nextFlow returns the flow whose first request goes next, among those not skipped; nil if
// none.
func (q *Queue) nextFlow(now time.Time) *flow {
	var best *flow
	for _, f := range q.activeFlows {
		if f.skipped || len(f.items) == 0 {
			continue
		}
		if best == nil || q.precedes(f, best, now) {
			best = f
		}
	}
	return best
}

func (q *Queue) precedes(a, b *flow, now time.Time) bool {
	return q.compare(a.items[0], b.items[0], now) < 0
}

// compare orders two requests by the order of dispatch.
func (q *Queue) compare(x, y *Item, now time.Time) int {
	return cmp.Or(
		cmp.Compare(q.agedLevel(x, now), q.agedLevel(y, now)),
		compareLateness(x, y, now),
		comparePrefill(x, y, now),
		cmp.Compare(x.startTag, y.startTag),
		x.Arrived.Compare(y.Arrived),
		cmp.Compare(x.ID, y.ID),
	)
}

// InOrder returns all waiting requests in the order of dispatch.
func (q *Queue) InOrder(now time.Time) []*Item {
	list := make([]*Item, 0, q.length)
	for _, f := range q.flows {
		list = append(list, f.items...)
	}
	slices.SortFunc(list, func(x, y *Item) int { return q.compare(x, y, now) })
	return list
}

// pastLatestStart reports whether it is too late to answer the request in time.
func (it *Item) pastLatestStart(now time.Time) bool {
	return !it.LatestStart.IsZero() && now.After(it.LatestStart)
}

// compareLateness puts requests that can still be answered in time first.
func compareLateness(x, y *Item, now time.Time) int {
	switch {
	case x.pastLatestStart(now) == y.pastLatestStart(now):
		return 0
	case x.pastLatestStart(now):
		return 1
	default:
		return -1
	}
}

// comparePrefill orders two long prompts of known prefill time; other pairs compare as equal.
func comparePrefill(x, y *Item, now time.Time) int {
	if !x.Long || !y.Long || x.PrefillSeconds <= 0 || y.PrefillSeconds <= 0 {
		return 0
	}
	return cmp.Compare(x.PrefillSeconds-now.Sub(x.Arrived).Seconds(), y.PrefillSeconds-now.Sub(y.Arrived).Seconds())
}

// agedLevel returns the request's level less one for each AgeingPerLevel that it has waited. A
// request that is past its latest start is not raised.
func (q *Queue) agedLevel(it *Item, now time.Time) int {
	if q.AgeingPerLevel <= 0 || it.pastLatestStart(now) {
		return it.Level
	}
	return max(0, it.Level-int(now.Sub(it.Arrived)/q.AgeingPerLevel))
}

// Oldest returns the request that arrived first among the heads of the flows of long prompts,
// or of short prompts if long is false; nil if there are none.
func (q *Queue) Oldest(long bool) *Item {
	var oldest *Item
	for _, f := range q.flows {
		if f.key.long != long || len(f.items) == 0 {
			continue
		}
		if it := f.items[0]; oldest == nil || it.Arrived.Before(oldest.Arrived) {
			oldest = it
		}
	}
	return oldest
}
