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
	// Tokens are the prompt tokens to be processed, and Cost what the account is charged when the
	// request is dispatched (see the function Cost); without it, the account is charged Tokens.
	Tokens int64
	Cost   float64
	// Long reports whether the request counts as a long prompt.
	Long bool
	// Retry reports whether the request has been placed at a target before.
	Retry bool
	// Arrived is the time at which the daemon received the request.
	Arrived time.Time
	// PrefillSeconds is the time that processing the prompt takes, in seconds; zero if unknown. Long
	// prompts of known prefill time go shortest first among those of accounts that have taken about
	// the same, since this answers the most prompts per second; each second that a prompt has waited
	// is subtracted from its prefill time. A prompt of known prefill time that finds no room does not
	// stop those behind it, since Dispatch has to offer each of them: each may be refused.
	PrefillSeconds float64

	// LatestStart is the time by which the request has to be placed to be answered in time;
	// zero if unknown. After it, the request goes behind all that can still be answered in
	// time: its answer is worth little whenever it comes, and if it went first, the others
	// would be late too.
	LatestStart time.Time

	// Value is the caller's own record of the request; the queue ignores it.
	Value any

	share   *accountShare // of the request's account, while it is queued
	refused bool          // whether Refuse was called
}

// cost returns what the request is charged.
func (it *Item) cost() float64 {
	if it.Cost > 0 {
		return it.Cost
	}
	return float64(it.Tokens)
}

// Queue holds the waiting requests of one pool. Requests are dispatched by priority level. Within a
// level, accounts share by cost (start-time fair queueing, see share.go), and the requests of an
// account go in order of arrival, long prompts of known prefill time shortest first. Each
// AgeingPerLevel of waiting raises a request by one level, up to level 0, where the fair order
// ensures that it is dispatched in the end.
type Queue struct {
	// AgeingPerLevel is the wait that raises a request by one level; zero disables ageing.
	AgeingPerLevel time.Duration

	flows       map[flowKey]*flow
	shares      [priorityLevels]levelShares
	dispatched  [2]uint64 // requests dispatched, by kind of prompt
	use         recentUse
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
	if it.shortestFirst() {
		key.requestID = it.ID
	}
	return key
}

// flow is the queue of one account at one level. Long prompts have a flow of their own, so
// that a long prompt that waits for memory does not block the short prompts of the same
// account.
type flow struct {
	key     flowKey
	items   []*Item
	skipped bool
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
	it.share = q.level(it).enter(it)
	if it.Retry {
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
	q.level(it).leave(it)
	if len(f.items) == 0 {
		delete(q.flows, f.key)
	}
}

// Refuse notes that a request is refused with a Retry-After that ends at the time until, zero if
// the queue was not the reason. Its account is not charged when Dispatch removes it, but pays for a
// repeat that arrives before that time.
func (q *Queue) Refuse(it *Item, until time.Time) {
	it.refused = true
	q.level(it).expectReturn(it, until)
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
	for level := range q.shares {
		if share := q.shares[level].accounts[account]; share != nil {
			n += share.waiting
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
// number of requests that are done waiting.
func (q *Queue) Dispatch(now time.Time, place func(*Item) bool) int {
	placed := 0
	stopShort, stopLong := int64(-1), int64(-1)
	q.collectActiveFlows(now)
	q.use.decay(now)
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
		q.level(it).charge(it)
		q.countDispatched(it)
		q.updateAfterRemoval(f, it)
	}
	return placed
}

// collectActiveFlows lists the flows with waiting requests and updates the virtual times.
func (q *Queue) collectActiveFlows(now time.Time) {
	q.activeFlows = q.activeFlows[:0]
	for _, f := range q.flows {
		f.skipped = false
		q.activeFlows = append(q.activeFlows, f)
		q.level(f.items[0]).observe(f.items[0], now)
	}
	for level := range q.shares {
		q.shares[level].advance()
		q.shares[level].decayKinds(now)
	}
}

// nextFlow returns the flow whose first request goes next, among those not skipped; nil if
// none.
func (q *Queue) nextFlow(now time.Time) *flow {
	var best [2]*flow // the best flow of short and of long prompts
	for _, f := range q.activeFlows {
		if f.skipped || len(f.items) == 0 {
			continue
		}
		b := &best[kindIndex(f.key.long)]
		if *b == nil || q.compare(f.items[0], (*b).items[0], now) < 0 {
			*b = f
		}
	}
	short, long := best[0], best[1]
	if short == nil || long != nil && q.compareKinds(long.items[0], short.items[0], now) < 0 {
		return long
	}
	return short
}

// compare orders two requests of one kind, both short or both long prompts, by the order of
// dispatch.
func (q *Queue) compare(x, y *Item, now time.Time) int {
	if order := q.compareUrgency(x, y, now); order != 0 {
		return order
	}
	if x.shortestFirst() && y.shortestFirst() {
		return cmp.Or(
			cmp.Compare(q.level(x).roundedLag(x), q.level(y).roundedLag(y)),
			comparePrefill(x, y, now),
			compareArrival(x, y),
		)
	}
	if x.shortestFirst() != y.shortestFirst() { // The engines' timing became known, or unknown, while they waited.
		return compareArrival(x, y)
	}
	return cmp.Or(cmp.Compare(q.level(x).lag(x), q.level(y).lag(y)), compareArrival(x, y))
}

// compareKinds orders the first requests of the two kinds by the order of dispatch.
func (q *Queue) compareKinds(x, y *Item, now time.Time) int {
	return cmp.Or(
		q.compareUrgency(x, y, now),
		q.compareBehind(x, y),
		cmp.Compare(q.level(x).roundedLag(x), q.level(y).roundedLag(y)),
		compareArrival(x, y),
	)
}

// compareBehind puts the request first whose kind of prompt is served at too low a rate.
func (q *Queue) compareBehind(x, y *Item) int {
	switch {
	case x.Level != y.Level:
		return 0
	case q.level(x).behind(kindIndex(x.Long)):
		return -1
	case q.level(y).behind(kindIndex(y.Long)):
		return 1
	}
	return 0
}

// compareUrgency puts requests of the more urgent level first, and those of one level that can
// still be answered in time.
func (q *Queue) compareUrgency(x, y *Item, now time.Time) int {
	return cmp.Or(cmp.Compare(q.agedLevel(x, now), q.agedLevel(y, now)), compareLateness(x, y, now))
}

func compareArrival(x, y *Item) int {
	return cmp.Or(x.Arrived.Compare(y.Arrived), cmp.Compare(x.ID, y.ID))
}

// InOrder returns all waiting requests in the order of dispatch.
func (q *Queue) InOrder(now time.Time) []*Item {
	var kinds [2][]*Item
	for _, f := range q.flows {
		k := kindIndex(f.key.long)
		kinds[k] = append(kinds[k], f.items...)
	}
	for _, list := range kinds {
		slices.SortFunc(list, func(x, y *Item) int { return q.compare(x, y, now) })
	}
	short, long := kinds[0], kinds[1]
	list := make([]*Item, 0, q.length)
	for len(short) > 0 && len(long) > 0 {
		first := &short
		if q.compareKinds(long[0], short[0], now) < 0 {
			first = &long
		}
		list = append(list, (*first)[0])
		*first = (*first)[1:]
	}
	return append(append(list, short...), long...)
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

// shortestFirst reports whether the request is a long prompt of known prefill time.
func (it *Item) shortestFirst() bool { return it.Long && it.PrefillSeconds > 0 }

// comparePrefill orders two long prompts of known prefill time.
func comparePrefill(x, y *Item, now time.Time) int {
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
