package blackboard

import "sync"

// Rank is a lock's position in the lock order.
type Rank int

// The lock order: a goroutine that holds a table's lock may take only locks of
// a higher rank. Builds with the race detector check this at run time.
const (
	RankSync Rank = iota + 1
	RankQueues
	RankTargets
	RankAccounts
	RankRepeats
	RankPrefixes
	RankSettings
	RankDirectory
	RankMembers
	RankClaims
	RankShares
	RankLeases
	RankDecisions
	RankLag
	RankPoison
	RankSingleSends
	RankAnswerTimes
	RankStoreReads
)

// Mutex is a mutex with a rank in the lock order.
type Mutex struct {
	rank Rank
	mu   sync.Mutex
}

// NewMutex returns an unlocked mutex of the given rank.
func NewMutex(rank Rank) Mutex { return Mutex{rank: rank} }

// Lock locks m. In builds with the race detector it panics when the goroutine
// already holds a lock of the same or a higher rank.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks m.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}
