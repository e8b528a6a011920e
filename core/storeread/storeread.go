// Package storeread decides how to read a store that may be restored from an older copy.
//
// A restore loses the latest writes, and the store gives their revisions to other writes; it
// counts its eras, one more with each restore. The writers repeat lost writes within some seconds.
// For each answer of the store, a Reader decides whether to accept it, to ignore it or to read
// the full list again, and which position each of its items has:
//
//   - a change from a watch was made in the era of the answer;
//   - an item of a full read may be as old as the copy, unless an earlier read of this era ended at
//     a lower revision, which shows that the item was written since. Until the era has settled,
//     an item that may be as old has a position in the previous era, where an item known at a
//     higher revision is newer;
//   - once the era has settled the full list is read again, and its items have positions in
//     the era. They override what is known from the previous era and was not written again.
//
// The package is pure logic; the caller passes the time and makes the calls.
package storeread

import (
	"time"

	"doorstack.dev/core/hostlist"
	"github.com/go-faster/errors"
)

// ErrConnectionLost means that a call failed over a connection that had worked before. It says nothing of the store:
// a connection may stop delivering, or be cut, while new ones work. The call has to be repeated over a new one, and only
// if that fails too is the store unavailable.
var ErrConnectionLost = errors.New("the connection to the store was lost")

// SettleTime is how long after a restore an era takes to settle: until then lost writes may still
// be made again, and the leases of entries that only the copy has may still run.
const SettleTime = 5 * time.Second

// Reader tracks the reading of one store. The zero value has read nothing.
type Reader struct {
	era int64
	// cursor is the revision read up to; hasCursor is false if a full read is due. An empty store is at
	// revision zero.
	cursor    int64
	hasCursor bool
	// readUpTo is the revision up to which the era was read, and readBefore its value before the
	// last full read; notRead if nothing of the era was read. Zero is the revision of an empty
	// store.
	readUpTo, readBefore int64
	// eraSeenAt is when the era was first seen; zero before the first answer.
	eraSeenAt time.Time
	// rereadPending is true if a full read is due when the era has settled.
	rereadPending bool
}

// notRead is the readUpTo of an era of which nothing was read.
const notRead = -1

// Fresh reports whether nothing has been read yet.
func (r *Reader) Fresh() bool { return r.eraSeenAt.IsZero() }

// RereadPending reports whether a full read is due when the era has settled.
func (r *Reader) RereadPending() bool { return r.rereadPending }

// Plan describes the next call of the store.
type Plan struct {
	// Full asks for a full read; otherwise the call waits for changes after revision After.
	Full  bool
	After int64
	// Wait is the longest time to wait for a change.
	Wait time.Duration
}

// NextCall plans the next call, which may wait for changes for up to wait.
func (r *Reader) NextCall(wait time.Duration, now time.Time) Plan {
	if !r.hasCursor || r.rereadPending && r.settled(now) {
		return Plan{Full: true}
	}
	if r.rereadPending {
		wait = min(wait, r.eraSeenAt.Add(SettleTime).Sub(now))
	}
	return Plan{After: r.cursor, Wait: wait}
}

// settled reports whether the era has settled.
func (r *Reader) settled(now time.Time) bool { return now.Sub(r.eraSeenAt) >= SettleTime }

// Verdict is what the caller has to do with an answer.
type Verdict int

// The verdicts on an answer.
const (
	// Accept means that the answer's items are to be used.
	Accept Verdict = iota
	// Ignore means that the answer is of an era that has ended.
	Ignore
	// Reread means that the store was restored and the full list has to be read.
	Reread
)

// HandleWatch records the answer to a watch, given its era and the revision up to which it is
// complete, and returns the verdict on it.
func (r *Reader) HandleWatch(era, asOf int64, now time.Time) Verdict {
	switch {
	case era < r.era:
		return Ignore
	case era > r.era:
		r.startEra(era, now)
		return Reread
	}
	r.cursor, r.readUpTo = asOf, asOf
	return Accept
}

// HandleHistoryGone records that the store no longer has the changes after the last read.
func (r *Reader) HandleHistoryGone() { r.hasCursor = false }

// HandleFullRead records the answer to a full read and returns the verdict on it.
func (r *Reader) HandleFullRead(era, asOf int64, now time.Time) Verdict {
	switch {
	case era < r.era:
		return Ignore
	case era > r.era || r.eraSeenAt.IsZero():
		r.startEra(era, now)
	case r.settled(now):
		r.rereadPending = false
	}
	r.cursor, r.hasCursor = asOf, true
	r.readUpTo, r.readBefore = asOf, r.readUpTo
	return Accept
}

// startEra resets the reader to the start of an era.
func (r *Reader) startEra(era int64, now time.Time) {
	*r = Reader{era: era, readUpTo: notRead, readBefore: notRead, eraSeenAt: now, rereadPending: era > hostlist.FirstEra || !r.eraSeenAt.IsZero()}
}

// ChangePosition returns the position of a change from a watch.
func (r *Reader) ChangePosition(revision int64) hostlist.Position {
	return hostlist.NewPosition(r.era, revision)
}

// ItemPosition returns the position of an item of the last full read.
func (r *Reader) ItemPosition(revision int64, now time.Time) hostlist.Position {
	if r.era == hostlist.FirstEra || r.settled(now) || r.readBefore != notRead && revision > r.readBefore {
		return hostlist.NewPosition(r.era, revision)
	}
	return hostlist.NewPosition(max(0, r.era-1), revision)
}

// ReadPosition returns the position up to which the store has been read. If full is true, the last
// call of the store was a full read. After a full read of a settled era the position is above those
// of all changes up to the same revision.
func (r *Reader) ReadPosition(full bool, now time.Time) hostlist.Position {
	at := hostlist.NewPosition(r.era, r.cursor)
	if full && r.settled(now) && r.era > hostlist.FirstEra {
		return at.AsSettled()
	}
	return at
}
