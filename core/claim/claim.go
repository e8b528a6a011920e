// Package claim makes sure that a call with an idempotency key is sent at most
// once in the whole fleet, without a store.
//
// A daemon that wants to send such a call claims its key at witnesses: the first
// few daemons of the key's rendezvous order over the published host list. Each
// witness grants a key to one attempt, once, in memory only. The daemon sends
// the call when a majority granted it. Two majorities of one set of witnesses
// have a member in common, and that member granted only one of them.
//
// What could break this, and the rule against each:
//
//   - Host lists that differ. Two claims of a key must share a set of witnesses.
//     A claim therefore needs a majority in every set that was in force between
//     the key's birth (less the time in which all daemons have read a new list)
//     and now; see History. The set at the birth is in all of them. A daemon
//     whose list is not confirmed for longer than that time claims nothing.
//   - A witness that restarted and forgot. It grants only keys that it knows to
//     be younger than itself: a UUIDv7 carries its time, and for other keys it
//     waits out the time in which a retry may come; see Witness.
//   - A claimer that was paused and wakes with an old permit. The permit ends
//     long before any witness forgets the key, and is checked last thing before
//     the send; see Claimer.MaySend.
//   - A claimer that gave up. Giving up is final: it never sends under that
//     attempt, so its witnesses may grant the key to another one.
//   - A claimer that dies after it was granted. Its key stays taken until it is
//     forgotten; duplicates hear "unknown", never a second run.
//
// model/claim.pml is the specification that is checked exhaustively; each rule
// has a switch there without which the checker finds two sends.
//
// Everything is plain state that takes the time as a value. Durations are
// measured on the monotonic clock where the values carry one.
package claim

import (
	"time"

	"github.com/google/uuid"
)

// The times of the protocol.
const (
	// Settle is the time within which every daemon that may claim has read a
	// new host list.
	HostListPropagation = 15 * time.Second
	// Skew bounds the difference of two clocks in the fleet or at a caller.
	MaxClockSkew = 2 * time.Second
	// Window is how long after its birth a dated key can be claimed.
	ClaimWindow = 30 * time.Minute
	// RetryWindow is how long after the first call a key without a date may be
	// sent again and still find it. Witnesses younger than that do not grant
	// such keys.
	RetryWindow = 5 * time.Minute
	// PermitTTL is how long a permit to send lasts.
	PermitTTL = 2 * time.Second
	// Witnesses is the number of witnesses of a key, where there are so many.
	WitnessCount = 5
)

// CreationTime is when a key was made, as far as the key tells.
type CreationTime struct {
	// Dated is true for a UUIDv7; At is then the time in it.
	Known bool
	At    time.Time
}

// uuidVersion is the version of UUID that carries a time.
const uuidVersion = 7

// CreationTimeOf reads the time out of a caller's key.
func CreationTimeOf(key string) CreationTime {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion {
		return CreationTime{}
	}
	seconds, nanos := id.Time().UnixTime()
	return CreationTime{Known: true, At: time.Unix(seconds, nanos)}
}

// Answer is what a witness says to a claim.
type Answer uint8

// The answers of a witness.
const (
	// Granted gives the key to the attempt.
	Granted Answer = iota + 1
	// Taken means that another attempt has the key.
	Taken
	// Young means that the witness may have forgotten the key.
	WitnessTooNew
	// KeyTooOld means that the key's time is over.
	KeyTooOld
	// Future means that the key's birth lies ahead.
	KeyFromFuture
)

// String names the answer.
func (a Answer) String() string {
	names := [...]string{"none", "granted", "taken", "young", "too_old", "future"}
	if int(a) >= len(names) {
		return "unknown"
	}
	return names[a]
}

// Request claims a key for an attempt.
type Request struct {
	// Key is the caller's key with the account and route that it belongs to.
	Key string
	// Attempt names the claim; Holder is the daemon that makes it.
	Attempt, Holder string
	// Birth is the key's birth.
	Created CreationTime
}

// Reply is a witness's answer.
type Reply struct {
	Answer Answer
	// Attempt and Holder are those that have the key, when it is taken.
	Attempt, Holder string
}
