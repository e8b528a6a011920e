// Package blackboard is the shared state of a daemon: tables that controllers
// fill, that workers and requests read, and that decisions are made from.
//
// Each table has one lock. The lock order is stated once, by the Rank constants:
// a goroutine that holds a table's lock takes only locks of a higher rank. The
// only places where two are held together are a worker that places waiting
// requests (queues, then targets) and SyncTargets, whose lock comes first. Controllers copy out of one table before they
// write to the next. Settings are read through an atomic pointer without a lock.
package blackboard

import (
	"sync/atomic"
	"time"
)

// Identity is who a daemon is.
type Identity struct {
	// Name is the host's id on the platform's list.
	Name string
	// Incarnation is the start of the process, in milliseconds since 1970; a
	// restarted daemon has a higher one.
	Incarnation int64
	// DataCentre and Region say where the daemon stands.
	DataCentre, Region string
	// Peer is the address of its listener for peers.
	PeerAddress string
	// Cores is how much of a processor the host gives the daemon, in cores; zero where that
	// is not known.
	Cores float64
}

// Phase is how far a daemon is in its life.
type Phase int32

// The phases of a daemon.
const (
	// Starting daemons have no settings that they may trust yet.
	Starting Phase = iota
	// Serving daemons take requests.
	Serving
	// Draining daemons finish what they have and take nothing new.
	Draining
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining"}[p]
}

// Blackboard is all the shared state.
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

	syncMu        Mutex // makes SyncTargets one step
	phase         atomic.Int32
	reachedStages stageSet
	processStart  time.Time     // when the process started
	started       chan struct{} // closed at the end of Starting
	inFlight      atomic.Int64
	forwardClosed atomic.Bool
}

// Limits bound the memory of the blackboard.
type Limits struct {
	// DecisionBytes bounds the records kept for explanations.
	DecisionBytes int64
	// PrefixEntries bounds the prefixes remembered for routing.
	PrefixEntries int
}

// DefaultLimits bounds the tables to some 24 MB.
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
		processStart: time.Now(),
		started:      make(chan struct{}),
	}
}

// SyncTargets puts the host list and the settings in force together. It is one
// step: two of them, after a list and after settings that came at one time, must
// not end with the older one's view.
func (b *Blackboard) SyncTargets() {
	b.syncMu.Lock()
	defer b.syncMu.Unlock()
	view := b.Settings.Current()
	if view == nil {
		return
	}
	list, _ := b.Members.Hosts()
	b.Targets.Sync(list.Hosts, view.Tree, time.Now())
	b.Queues.WakeAll()
}

// Phase is the current phase.
func (b *Blackboard) Phase() Phase { return Phase(b.phase.Load()) }

// Serve moves a starting daemon to Serving. It does nothing once it drains.
func (b *Blackboard) Serve() {
	if b.phase.CompareAndSwap(int32(Starting), int32(Serving)) {
		close(b.started)
	}
}

// Drain moves the daemon to Draining for good.
func (b *Blackboard) Drain() {
	if Phase(b.phase.Swap(int32(Draining))) == Starting {
		close(b.started)
	}
}

// Started is closed once the daemon is no longer Starting.
func (b *Blackboard) Started() <-chan struct{} { return b.started }

// Age is how long ago the process started.
func (b *Blackboard) Age() time.Duration { return time.Since(b.processStart) }

// Begin counts a request in, unless the daemon takes nothing new. Each Begin
// that returned true needs one End.
func (b *Blackboard) BeginRequest() bool {
	b.inFlight.Add(1)
	if b.Phase() == Serving {
		return true
	}
	b.inFlight.Add(-1)
	return false
}

// BeginForward counts a forwarded call in. A leaving daemon still takes those, until
// it is closed: its callers learn only with their next answer that it leaves. One that was
// told to leave before it had any settings takes none. Each BeginForward that returned true
// needs one End.
func (b *Blackboard) BeginForward() bool {
	b.inFlight.Add(1)
	if b.Phase() != Starting && !b.forwardClosed.Load() && b.Settings.Current() != nil {
		return true
	}
	b.inFlight.Add(-1)
	return false
}

// CloseForward makes a leaving daemon refuse forwarded calls.
func (b *Blackboard) CloseForward() { b.forwardClosed.Store(true) }

// End counts a request out.
func (b *Blackboard) EndRequest() { b.inFlight.Add(-1) }

// InFlight is the number of requests between Begin and End.
func (b *Blackboard) InFlight() int64 { return b.inFlight.Load() }
