// Package storeread decides how a store is read that may come back from an older copy.
//
// Such a return loses what was written last and gives revisions out again; the store counts
// its eras. Whoever wrote writes again, within some seconds. A Reader says, for each answer,
// whether it is taken, ignored or a reason to read the whole anew, and which position each of its
// items has:
//
//   - a change that a watch brings was made in the era of the answer;
//   - an item of a whole read may be as old as the copy, unless the era was read up to before its
//     revision; so until the era has settled it counts as of the era before, and what is
//     known from there by a higher revision goes before it;
//   - when the era has settled the whole is read once more, and that read counts in full: it is
//     what ends a belief of the era before that nobody has written again.
//
// The package is pure; the caller passes the time and makes the calls.
package storeread

import (
	"time"

	"doorstack.dev/core/hostlist"
)

// SettleTime is how long after a return from a copy what was lost may still be written again, and
// the leases of entries run that only the copy holds.
const SettleTime = 5 * time.Second

// Reader follows one store. The zero value has read nothing.
type Reader struct {
	era    int64
	cursor int64 // the revision read up to; zero where the whole has to be read
	// seen is the revision up to which the era was read, and before what it was before the
	// last read of the whole; zero where nothing of it was.
	readUpTo, readBefore int64
	// began is when the era was first seen, zero before the first answer.
	eraSeenAt time.Time
	// again tells that the whole is read once more when the era has settled.
	rereadPending bool
}

// Fresh tells whether nothing has been read yet.
func (r *Reader) Fresh() bool { return r.eraSeenAt.IsZero() }

// Plan is how the next call is made.
type Plan struct {
	// Whole asks for everything; otherwise changes after a revision are waited for.
	Full  bool
	After int64
	// Wait is how long at most.
	Wait time.Duration
}

// Next plans a call that may wait for so long.
func (r *Reader) NextCall(wait time.Duration, now time.Time) Plan {
	if r.cursor == 0 || r.rereadPending && r.settled(now) {
		return Plan{Full: true}
	}
	if r.rereadPending {
		wait = min(wait, r.eraSeenAt.Add(SettleTime).Sub(now))
	}
	return Plan{After: r.cursor, Wait: wait}
}

func (r *Reader) settled(now time.Time) bool { return now.Sub(r.eraSeenAt) >= SettleTime }

// Verdict is what an answer is good for.
type Verdict int

// The verdicts.
const (
	// Take means that the answer's items count.
	Accept Verdict = iota
	// Ignore means that the answer is of an era that has ended.
	Ignore
	// Anew means that the store has come back from a copy: the whole has to be read.
	Reread
)

// Watched takes in an answer to a watch: the era in which it was given and the revision up to
// which it is complete.
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

// HistoryGone takes in that the store no longer has the changes after the cursor.
func (r *Reader) HandleHistoryGone() { r.cursor = 0 }

// ReadWhole takes in an answer with everything, and tells whether it counts.
func (r *Reader) HandleFullRead(era, asOf int64, now time.Time) Verdict {
	switch {
	case era < r.era:
		return Ignore
	case era > r.era || r.eraSeenAt.IsZero():
		r.startEra(era, now)
	case r.settled(now):
		r.rereadPending = false
	}
	r.cursor, r.readUpTo, r.readBefore = asOf, asOf, r.readUpTo
	return Accept
}

// enter begins an era.
func (r *Reader) startEra(era int64, now time.Time) {
	*r = Reader{era: era, eraSeenAt: now, rereadPending: era > hostlist.FirstEra || !r.eraSeenAt.IsZero()}
}

// Changed is the position of a change that a watch brought.
func (r *Reader) ChangePosition(revision int64) hostlist.Position {
	return hostlist.NewPosition(r.era, revision)
}

// Listed is the position of an item of the last read of the whole.
func (r *Reader) ItemPosition(revision int64, now time.Time) hostlist.Position {
	if r.era == hostlist.FirstEra || r.settled(now) || r.readBefore > 0 && revision > r.readBefore {
		return hostlist.NewPosition(r.era, revision)
	}
	return hostlist.NewPosition(max(0, r.era-1), revision)
}

// Position is the position read up to, by an answer that counts; that of a whole read goes
// before what changes told up to there.
func (r *Reader) ReadPosition(whole bool, now time.Time) hostlist.Position {
	at := hostlist.NewPosition(r.era, r.cursor)
	if whole && r.settled(now) && r.era > hostlist.FirstEra {
		return at.AsSettled()
	}
	return at
}
