package admission

import (
	"math"
	"time"
)

// QueueStats are the figures of a queue for its operators.
type QueueStats struct {
	Short, Long KindStats
	// LargestShare is the largest part of the cost dispatched lately that a single account took.
	LargestShare float64
}

// KindStats are the figures of the short, or of the long, prompts in a queue.
type KindStats struct {
	Waiting int
	// Dispatched counts the requests dispatched since the queue exists, without those refused.
	Dispatched uint64
}

// recentUse is the cost of the dispatched requests by account. It decays with useMemory.
type recentUse struct {
	byAccount map[string]float64
	total     float64
	decayed   time.Time
}

const (
	// useMemory is the time constant with which the use of accounts decays, long against the calls'
	// time in an engine.
	useMemory = 30 * time.Second
	// minUse is the part of the total below which an account is forgotten; a total of less than one
	// prompt token counts as one, so that the use of an idle queue is forgotten too.
	minUse = 1e-4
)

// decay lets the use decay, at most once per second.
func (u *recentUse) decay(now time.Time) {
	passed := now.Sub(u.decayed)
	if passed < time.Second {
		return
	}
	u.decayed = now
	factor, total := math.Exp(-passed.Seconds()/useMemory.Seconds()), 0.0
	for account, cost := range u.byAccount {
		if cost < minUse*max(u.total, 1) {
			delete(u.byAccount, account)
			continue
		}
		u.byAccount[account] = cost * factor
		total += cost * factor
	}
	u.total = total
}

func (u *recentUse) add(account string, cost float64) {
	if u.byAccount == nil {
		u.byAccount = map[string]float64{}
	}
	u.byAccount[account] += cost
	u.total += cost
}

// share returns the part that a cost is of the total.
func (u *recentUse) share(cost float64) float64 {
	if u.total <= 0 {
		return 0
	}
	return cost / u.total
}

// Stats returns the queue's figures.
func (q *Queue) Stats(now time.Time) QueueStats {
	q.use.decay(now)
	s := QueueStats{Short: KindStats{Dispatched: q.dispatched[0]}, Long: KindStats{Dispatched: q.dispatched[1]}}
	for level := range q.shares {
		s.Short.Waiting += q.shares[level].kinds[0].waiting
		s.Long.Waiting += q.shares[level].kinds[1].waiting
	}
	for _, cost := range q.use.byAccount {
		s.LargestShare = max(s.LargestShare, q.use.share(cost))
	}
	return s
}

// AccountShares returns the parts of the cost dispatched lately that the accounts took.
func (q *Queue) AccountShares(now time.Time) map[string]float64 {
	q.use.decay(now)
	shares := make(map[string]float64, len(q.use.byAccount))
	for account, cost := range q.use.byAccount {
		shares[account] = q.use.share(cost)
	}
	return shares
}

// countDispatched counts a dispatched request.
func (q *Queue) countDispatched(it *Item) {
	if it.refused {
		return
	}
	q.dispatched[kindIndex(it.Long)]++
	if !it.Retry {
		q.use.add(it.Account, it.cost())
	}
}
