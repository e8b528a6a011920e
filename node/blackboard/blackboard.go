// Package blackboard is the shared in-memory state of a daemon: tables of queued
// requests, targets, client accounts, settings, fleet members and more. Controllers
// fill them from the platform, the targets and the other daemons; workers and request
// handlers read them to admit requests and to choose targets.
//
// Each table has one lock. The Rank constants define the lock order: a goroutine that
// holds a table's lock takes only locks of a higher rank. Two locks are held together
// in two places only: by a worker that places waiting requests (queues, then targets),
// and by SyncTargets, whose lock comes first. Controllers copy data out of one table
// before they write to the next. Settings are read through an atomic pointer without a lock.
package blackboard

import (
	"sync/atomic"
	"time"
)

// Identity describes a daemon.
type Identity struct {
	// Name is the host's id on the platform's host list.
	Name string
	// Incarnation is the start time of the process in Unix milliseconds; a restarted
	// daemon has a higher one.
	Incarnation int64
	// DataCentre and Region locate the daemon.
	DataCentre, Region string
	// PeerAddress is the address of the daemon's listener for peers.
	PeerAddress string
	// Cores is the daemon's CPU allowance in cores; zero if it is not known.
	Cores float64
}

// Phase is a phase of the daemon's life cycle.
type Phase int32

// The phases of a daemon.
const (
	// Starting daemons have no settings yet, or still compare theirs with those of their peers.
	Starting Phase = iota
	// Serving daemons accept requests.
	Serving
	// Draining daemons finish their requests and accept no new ones.
	Draining
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining"}[p]
}

// Blackboard holds all tables and the daemon's life-cycle state.
type Blackboard struct {
	Self      Identity
	Queues    *QueueTable
	Targets   *TargetTable
	Accounts  *AccountTable
	Repeats   *RepeatTable
	Prefixes  *PrefixTable
	Settings  *SettingsTable
	Directory *DirectoryTable
	Members   *MemberTable
	Claims    *ClaimTable
	Shares    *ShareTable
	Leases    *LeaseTable
	Decisions *DecisionTable
	Lag       *LagTable
	Poison    *PoisonTable
	// SingleSends are the requests that may run once and were sent.
	SingleSends *SingleSendTable
	// AnswerTimes are the times that calls take.
	AnswerTimes *AnswerTimeTable
	// StoreReads decides whether this daemon reads the platform's store.
	StoreReads *StoreReadTable
	// Shutdown is the end of the calls of a draining daemon.
	Shutdown *Shutdown

	syncMu        Mutex // serializes SyncTargets
	phase         atomic.Int32
	reachedStages stageSet
	processStart  time.Time
	started       chan struct{} // closed when the phase leaves Starting
	inFlight      atomic.Int64
	forwardClosed atomic.Bool
}

// Limits bounds the memory of the blackboard.
type Limits struct {
	// DecisionBytes bounds the memory of decision records kept for explanations.
	DecisionBytes int64
	// PrefixEntries bounds the number of prompt prefixes kept for routing.
	PrefixEntries int
}

// DefaultLimits returns limits under which the decision and prefix tables take some 24 MB.
func DefaultLimits() Limits {
	return Limits{DecisionBytes: 16 << 20, PrefixEntries: 100_000}
}

// New returns an empty blackboard for a daemon that is starting.
func New(self Identity, limits Limits) *Blackboard {
	return &Blackboard{
		syncMu:       NewMutex(RankSync),
		Self:         self,
		Queues:       newQueueTable(),
		Targets:      newTargetTable(),
		Accounts:     newAccountTable(),
		Repeats:      newRepeatTable(),
		Prefixes:     newPrefixTable(limits.PrefixEntries),
		Settings:     newSettingsTable(),
		Directory:    newDirectoryTable(),
		Members:      newMemberTable(self),
		Claims:       newClaimTable(time.Now()),
		Shares:       newShareTable(),
		Leases:       newLeaseTable(time.Now()),
		Decisions:    newDecisionTable(limits.DecisionBytes),
		Lag:          newLagTable(),
		Poison:       newPoisonTable(),
		SingleSends:  newSingleSendTable(),
		AnswerTimes:  newAnswerTimeTable(),
		StoreReads:   newStoreReadTable(self.Name),
		Shutdown:     newShutdown(),
		processStart: time.Now(),
		started:      make(chan struct{}),
	}
}

// SyncTargets applies the current host list and settings to the target table. The lock
// makes reading and applying them atomic. Otherwise, of two concurrent calls, the one that
// read an older list or older settings could apply them last.
func (b *Blackboard) SyncTargets() {
	b.syncMu.Lock()
	defer b.syncMu.Unlock()
	view := b.Settings.Current()
	if view == nil {
		return
	}
	b.Targets.Sync(b.ListedHosts(), view.Tree, time.Now())
	b.Queues.WakeAll()
}

// Phase returns the current phase.
func (b *Blackboard) Phase() Phase { return Phase(b.phase.Load()) }

// Serve moves a starting daemon to Serving. It does nothing if the daemon is draining.
func (b *Blackboard) Serve() {
	if b.phase.CompareAndSwap(int32(Starting), int32(Serving)) {
		close(b.started)
	}
}

// Drain moves the daemon to Draining permanently.
func (b *Blackboard) Drain() {
	if Phase(b.phase.Swap(int32(Draining))) == Starting {
		close(b.started)
	}
}

// Started returns a channel that is closed once the daemon is no longer Starting.
func (b *Blackboard) Started() <-chan struct{} { return b.started }

// Age returns the time since the process started.
func (b *Blackboard) Age() time.Duration { return time.Since(b.processStart) }

// BeginRequest counts a new request as in flight and reports whether the daemon accepts
// it. Each call that returned true needs one EndRequest.
func (b *Blackboard) BeginRequest() bool {
	b.inFlight.Add(1)
	if b.Phase() == Serving {
		return true
	}
	b.inFlight.Add(-1)
	return false
}

// BeginForward counts a forwarded call (which the daemon passes on unchanged to a target) as
// in flight and reports whether the daemon accepts it. A draining daemon accepts forwarded
// calls until CloseForward, since the senders of these calls learn only from its next answer
// to them that it is draining. A daemon that was drained before it had any settings accepts
// none. Each call that returned true needs one EndRequest.
func (b *Blackboard) BeginForward() bool {
	b.inFlight.Add(1)
	if b.Phase() != Starting && !b.forwardClosed.Load() && b.Settings.Current() != nil {
		return true
	}
	b.inFlight.Add(-1)
	return false
}

// CloseForward makes a draining daemon refuse forwarded calls.
func (b *Blackboard) CloseForward() { b.forwardClosed.Store(true) }

// EndRequest ends a request that BeginRequest or BeginForward counted.
func (b *Blackboard) EndRequest() { b.inFlight.Add(-1) }

// InFlight returns the number of requests that have begun and not ended.
func (b *Blackboard) InFlight() int64 { return b.inFlight.Load() }
