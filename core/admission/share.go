package admission

import (
	"math"
	"slices"
	"time"
)

// levelShares is the state of start-time fair queueing of the requests of one level. An account's tag
// is the sum of the costs of its dispatched requests, but at least the virtual time when it begins to
// wait. The virtual time is the smallest tag of an account that waits, so that an account that asks
// for nothing saves up no claim, and one that finds no other waiting pays nothing later.
type levelShares struct {
	accounts    map[string]*accountShare
	virtualTime float64
	// meanCost is a moving average of the cost of the dispatched long prompts.
	meanCost float64
	// smallestTag and smallestLateTag are the smallest tags seen by observe since the last call of
	// advance, of the accounts with a request that can be answered in time and of the others.
	smallestTag, smallestLateTag float64
	observed                     bool
	// kinds are the counts of short and long prompts.
	kinds     [2]kindCount
	lastDecay time.Time
	// returns are the times at which the Retry-After of refused calls ends, the earliest first.
	returns map[callKey][]time.Time
	// nextSweep is the earliest time of the next search of returns for outdated entries.
	nextSweep time.Time
}

// kindCount counts the requests of one kind of prompt. Offered and dispatched are decaying counts.
type kindCount struct {
	waiting             int
	offered, dispatched float64
}

// rate returns the part of the offered requests that is dispatched.
func (c *kindCount) rate() float64 { return (c.dispatched + 1) / (c.offered + 1) }

const (
	// kindMemory is the time constant with which the counts of the kinds decay, about the time for
	// which callers wait.
	kindMemory = 5 * time.Second
	// minKindRate is the smallest rate of a kind, as a part of the other's, while both wait. The bound
	// of half is kept with a margin, since the order of dispatch acts with delay.
	minKindRate = 0.6
)

// decayKinds lets the counts of the kinds decay.
func (l *levelShares) decayKinds(now time.Time) {
	if passed := now.Sub(l.lastDecay); passed > 0 {
		factor := math.Exp(-passed.Seconds() / kindMemory.Seconds())
		for i := range l.kinds {
			l.kinds[i].offered *= factor
			l.kinds[i].dispatched *= factor
		}
		l.lastDecay = now
	}
}

// behind reports whether requests of the kind wait and are served at too low a rate beside those of
// the other kind, which wait too.
func (l *levelShares) behind(kind int) bool {
	this, other := &l.kinds[kind], &l.kinds[1-kind]
	return this.waiting > 0 && other.waiting > 0 && this.rate() < minKindRate*other.rate()
}

// accountShare is an account's part of a level's capacity.
type accountShare struct {
	tag     float64
	waiting int
}

// kindIndex returns the index of a kind of prompt: 0 for short, 1 for long.
func kindIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

func (q *Queue) level(it *Item) *levelShares { return &q.shares[it.Level] }

// enter counts a waiting request and returns its account's share.
func (l *levelShares) enter(it *Item) *accountShare {
	kind := &l.kinds[kindIndex(it.Long)]
	kind.waiting++
	early := l.takeEarlyRepeat(it)
	if !it.Retry && !early { // An early repeat must not make its kind appear short of service.
		kind.offered++
	}
	share := l.accounts[it.Account]
	if share == nil {
		if l.accounts == nil {
			l.accounts = map[string]*accountShare{}
		}
		share = &accountShare{tag: l.virtualTime}
		l.accounts[it.Account] = share
	}
	if share.waiting == 0 {
		share.tag = max(share.tag, l.virtualTime)
	}
	share.waiting++
	if early {
		share.tag = max(share.tag, min(share.tag+it.cost(), l.virtualTime+maxRepeatCharges*it.cost()))
	}
	return share
}

// leave counts a request that no longer waits.
func (l *levelShares) leave(it *Item) {
	l.kinds[kindIndex(it.Long)].waiting--
	it.share.waiting--
}

// observe notes the tag of the account of a waiting request. Accounts whose requests are all too
// late do not hold back the virtual time: they go last, whatever their tags.
func (l *levelShares) observe(it *Item, now time.Time) {
	if !l.observed {
		l.smallestTag, l.smallestLateTag, l.observed = math.Inf(1), math.Inf(1), true
	}
	if it.pastLatestStart(now) {
		l.smallestLateTag = min(l.smallestLateTag, it.share.tag)
	} else {
		l.smallestTag = min(l.smallestTag, it.share.tag)
	}
}

// advance moves the virtual time to the smallest observed tag, and forgets the accounts that have
// nothing waiting and no tag above it.
func (l *levelShares) advance() {
	if !l.observed {
		return
	}
	l.observed = false
	smallest := l.smallestTag
	if math.IsInf(smallest, 1) {
		smallest = l.smallestLateTag
	}
	if smallest <= l.virtualTime {
		return
	}
	l.virtualTime = smallest
	for account, share := range l.accounts {
		if share.waiting == 0 && share.tag <= l.virtualTime {
			delete(l.accounts, account)
		}
	}
}

// meanCostWeight is the weight of the latest request in levelShares.meanCost.
const meanCostWeight = 0.05

// charge charges a dispatched request to its account, unless it was refused. A retry was charged when
// it was dispatched first.
func (l *levelShares) charge(it *Item) {
	if it.Retry || it.refused {
		return
	}
	l.kinds[kindIndex(it.Long)].dispatched++
	cost := it.cost()
	it.share.tag = max(it.share.tag, l.virtualTime) + cost
	if !it.Long {
		return
	}
	if l.meanCost == 0 {
		l.meanCost = cost
	}
	l.meanCost += meanCostWeight * (cost - l.meanCost)
}

// lag returns by how much the request's account is ahead of its fair share; a retry counts as not
// ahead.
func (l *levelShares) lag(it *Item) float64 {
	if it.Retry {
		return 0
	}
	return max(0, it.share.tag-l.virtualTime)
}

// lagStep is the unit, in long prompts of mean cost, in which the lags of long prompts are compared,
// and those of long with those of short ones: of the long prompts of accounts in one step the shortest
// goes first.
const lagStep = 2

// roundedLag returns the lag in whole steps.
func (l *levelShares) roundedLag(it *Item) float64 {
	cost := l.meanCost
	if cost <= 0 { // No long prompt has been dispatched yet.
		cost = it.cost()
	}
	return math.Floor(l.lag(it) / (lagStep * cost))
}

// callKey identifies a call among those refused. A repeat may have another ID, but its prompt has
// the same length, which two calls of one account seldom share.
type callKey struct {
	account string
	long    bool
	tokens  int64
}

func callKeyOf(it *Item) callKey { return callKey{it.Account, it.Long, it.Tokens} }

const (
	// minRepeatTokens is the length from which prompts are distinguished by it. Calls of plain services
	// have no prompt.
	minRepeatTokens = 100
	// maxReturns bounds the refused calls of a level that are remembered, about ten seconds of refusals
	// at 100 per second.
	maxReturns = 1024
	// sweepInterval is the least time between two searches of a full list for outdated entries, so that
	// refusals do not each take longer when there are most of them.
	sweepInterval = 100 * time.Millisecond
	// returnMemory is how long after its Retry-After a call is still taken for a repeat.
	returnMemory = time.Second
	// maxRepeatCharges bounds the lag that repeats cause, in costs of the call: the other callers of
	// the account are not kept out for long after the repeats have ended.
	maxRepeatCharges = 8
)

// expectReturn remembers a refused call until its caller may come back.
func (l *levelShares) expectReturn(it *Item, until time.Time) {
	if until.IsZero() || it.Tokens < minRepeatTokens {
		return
	}
	if l.returns == nil {
		l.returns = map[callKey][]time.Time{}
	}
	if len(l.returns) >= maxReturns {
		now := it.Arrived // At most the time of the refusal, so that no entry is dropped too early.
		if now.Before(l.nextSweep) {
			return
		}
		l.nextSweep = now.Add(sweepInterval)
		for key, times := range l.returns {
			if times[len(times)-1].Add(returnMemory).Before(now) {
				delete(l.returns, key)
			}
		}
		if len(l.returns) >= maxReturns {
			return
		}
	}
	key := callKeyOf(it)
	if times := l.returns[key]; len(times) < maxReturnsPerKey {
		at, _ := slices.BinarySearchFunc(times, until, time.Time.Compare)
		l.returns[key] = slices.Insert(times, at, until)
	}
}

// maxReturnsPerKey bounds the refused calls of an account that have prompts of one length.
const maxReturnsPerKey = 16

// takeEarlyRepeat reports whether an arriving call is the repeat of a refused one that comes before the
// first of the times until which the callers of such prompts were told to wait.
func (l *levelShares) takeEarlyRepeat(it *Item) bool {
	key := callKeyOf(it)
	times := l.returns[key]
	if it.Retry || len(times) == 0 {
		return false
	}
	for len(times) > 0 && times[0].Add(returnMemory).Before(it.Arrived) {
		times = times[1:]
	}
	early := len(times) > 0 && it.Arrived.Before(times[0])
	if len(times) <= 1 {
		delete(l.returns, key)
	} else {
		l.returns[key] = times[1:]
	}
	return early
}
