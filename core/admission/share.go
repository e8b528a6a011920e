package admission

import (
	"math"
	"time"
)

// levelShares is the state of start-time fair queueing of the requests of one level. An account's tag is the sum of the costs of its dispatched requests, but at least the
// virtual time when it begins to wait. The virtual time is the smallest tag of an account that
// waits, so that an account that asks for nothing saves up no claim, and one that finds no
// other waiting pays nothing later.
type levelShares struct {
	accounts    map[string]*accountShare
	virtualTime float64
	// meanCost is a moving average of the cost of the dispatched long prompts.
	meanCost float64
	// smallestTag and smallestLateTag are the smallest tags seen by observe since the last call of
	// advance, of the accounts with a request that can be answered in time and of the others.
	smallestTag, smallestLateTag float64
	observed                     bool
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

// enter counts a waiting request of an account and returns the account's share.
func (l *levelShares) enter(account string) *accountShare {
	share := l.accounts[account]
	if share == nil {
		if l.accounts == nil {
			l.accounts = map[string]*accountShare{}
		}
		share = &accountShare{tag: l.virtualTime}
		l.accounts[account] = share
	}
	if share.waiting == 0 {
		share.tag = max(share.tag, l.virtualTime)
	}
	share.waiting++
	return share
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
	if l.meanCost <= 0 {
		return 0
	}
	return math.Floor(l.lag(it) / (lagStep * l.meanCost))
}
