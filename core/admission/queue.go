package admission

import (
	"cmp"
	"slices"
	"time"
)

// Item is a request that waits.
type Item struct {
	// ID is the request id.
	ID string
	// Account is the path of its client account.
	Account string
	// Level is its priority level; lower goes first.
	Level int
	// Tokens is its cost: the prompt tokens to be read.
	Tokens int64
	// Long tells whether it counts as a long prompt.
	Long bool
	// Retry is true when it has been placed before.
	Retry bool
	// Arrived is when the request came to the daemon.
	Arrived time.Time
	// Work is the time, in seconds, that reading the prompt takes, where that is known.
	// Long prompts of known work go shortest first, whatever their account: the least
	// work earns the most for each second. A second of waiting counts as a second less.
	// None of known work holds up another, since each may be refused by itself.
	PrefillSeconds float64

	// Latest is when it has to be placed to be answered in time; zero where that is not known.
	// After that it goes behind all that can still be in time: its answer is worth little to
	// its caller whenever it comes, and theirs would be late too.
	LatestStart time.Time

	// Owner is the caller's own record of the request; the queue ignores it.
	Value any

	startTag float64 // fair-queueing tag
}

// Queue is the waiting line of one pool. Requests are served by priority level;
// within a level, accounts share by tokens (start-time fair queueing), and each
// account's requests go in order of arrival. Waiting lifts a request by one
// level each AgeingPerLevel, up to level 0, where the fair order makes sure that
// its turn comes.
type Queue struct {
	// AgeingPerLevel is the wait that lifts a request by one level.
	AgeingPerLevel time.Duration

	flows       map[flowKey]*flow
	virtualTime float64
	length      int
	tokens      [priorityLevels]int64
	activeFlows []*flow
}

// priorityLevels is the number of priority levels.
const priorityLevels = 10

type flowKey struct {
	account string
	level   int
	long    bool
	// item is set for prompts of known work, each of which is a line of its own.
	requestID string
}

func flowKeyOf(it *Item) flowKey {
	key := flowKey{account: it.Account, level: it.Level, long: it.Long}
	if it.PrefillSeconds > 0 && it.Long {
		key.requestID = it.ID
	}
	return key
}

// flow is the line of one account at one level. Long prompts have a line of
// their own, so that one that waits for memory does not stop the short ones of
// the same account.
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

// Len is the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Push puts a request at the end of its account's line.
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
		// It has had its turn once; it does not pay for it again.
		it.startTag = q.virtualTime
		f.items = slices.Insert(f.items, 0, it)
	} else {
		f.items = append(f.items, it)
	}
	q.length++
	q.tokens[it.Level] += it.Tokens
}

// Remove takes out a request that no longer waits. It tells whether it was there.
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

func (q *Queue) updateAfterRemoval(f *flow, it *Item) {
	q.length--
	q.tokens[it.Level] -= it.Tokens
	if len(f.items) == 0 && f.lastFinishTag <= q.virtualTime {
		delete(q.flows, f.key)
	}
}

// TokensAhead is the number of prompt tokens that wait at the level or before it.
func (q *Queue) TokensAhead(level int) int64 {
	sum := int64(0)
	for l := 0; l <= level; l++ {
		sum += q.tokens[l]
	}
	return sum
}

// Waiting counts the requests of an account that wait.
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

// maxDispatchAttempts bounds the requests looked at in one pass, so that a pass over a long
// queue of many accounts stays short; the next event looks again.
const maxDispatchAttempts = 64

// Dispatch offers requests in order to place, which takes one or says that there
// is no room. A short request that finds no room stops all short ones that are
// no smaller, a long one all long ones. It returns the number placed.
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

// first finds the head that goes next among those not skipped.
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

// compare orders two requests by their turns.
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

// InOrder lists all waiting requests by their turns.
func (q *Queue) InOrder(now time.Time) []*Item {
	list := make([]*Item, 0, q.length)
	for _, f := range q.flows {
		list = append(list, f.items...)
	}
	slices.SortFunc(list, func(x, y *Item) int { return q.compare(x, y, now) })
	return list
}

// late tells whether it is too late for an answer in time.
func (it *Item) pastLatestStart(now time.Time) bool {
	return !it.LatestStart.IsZero() && now.After(it.LatestStart)
}

// compareLateness puts requests that can be in time first.
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

// comparePrefill orders two prompts of known work; others are equal.
func comparePrefill(x, y *Item, now time.Time) int {
	if !x.Long || !y.Long || x.PrefillSeconds <= 0 || y.PrefillSeconds <= 0 {
		return 0
	}
	return cmp.Compare(x.PrefillSeconds-now.Sub(x.Arrived).Seconds(), y.PrefillSeconds-now.Sub(y.Arrived).Seconds())
}

// agedLevel is the item's level less one for each AgeingPerLevel it has waited. One that is late
// is not lifted.
func (q *Queue) agedLevel(it *Item, now time.Time) int {
	if q.AgeingPerLevel <= 0 || it.pastLatestStart(now) {
		return it.Level
	}
	return max(0, it.Level-int(now.Sub(it.Arrived)/q.AgeingPerLevel))
}

// Oldest returns the long request that has waited longest, or nil.
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
