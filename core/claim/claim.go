// Package claim ensures that a call with an idempotency key is sent to a target at most once
// in the whole fleet, without a store.
//
// A daemon that wants to send such a call claims its key at the key's witnesses: the first few
// daemons in the rendezvous order of the key over the published host list. A witness grants a
// key to one attempt only, and keeps the grant in memory. The daemon sends the call when a
// majority of the witnesses granted the key. Two majorities of one set of witnesses have a
// member in common, and that member granted only one of them.
//
// These conditions could break the guarantee; each has a rule against it:
//
//   - Daemons with different host lists. Two claims of a key must share a set of
//     witnesses. A claim therefore needs a majority in every set that was in force
//     since HostListPropagation before the creation of the key; see History. Every
//     claim of the key thus includes the set at its creation. A daemon whose list
//     has not been confirmed for longer than HostListPropagation claims nothing.
//   - A witness that restarted and lost its grants. It grants only keys that it
//     knows to be younger than itself: a UUIDv7 carries its creation time; before it
//     grants other keys, the witness waits for the time in which a retry may come;
//     see Witness.
//   - A claimer that was paused and resumes with an old permit. The permit expires
//     long before any witness removes the key, and is checked immediately before
//     the send; see Claimer.MaySend.
//   - A claimer that gave up. Giving up is final: it never sends under that
//     attempt, so its witnesses may grant the key to another attempt.
//   - A claimer that dies after the grant. Its key stays taken until it is removed;
//     duplicates are answered with an unknown outcome and never run.
//
// model/claim.pml is the specification, which is checked exhaustively. Each rule has a switch
// there that removes it; the checker then finds two sends.
//
// The types hold plain state and take the current time as an argument. Durations are measured
// on the monotonic clock where the values carry one.
package claim

import (
	"time"

	"github.com/google/uuid"
)

// The times and sizes of the protocol.
const (
	// HostListPropagation is the time within which every daemon that may claim has read a new
	// host list.
	HostListPropagation = 15 * time.Second
	// MaxClockSkew bounds the difference between two clocks in the fleet or at a caller.
	MaxClockSkew = 2 * time.Second
	// ClaimWindow is the time after its creation in which a key with a known creation time can
	// be claimed.
	ClaimWindow = 30 * time.Minute
	// RetryWindow is the time after the first call in which a retry with a key of unknown
	// creation time still finds that call's grant. Witnesses that started more recently do not
	// grant such keys.
	RetryWindow = 5 * time.Minute
	// PermitTTL is the time for which a permit to send is valid.
	PermitTTL = 2 * time.Second
	// WitnessCount is the number of witnesses of a key; with fewer hosts, all are witnesses.
	WitnessCount = 5
)

// CreationTime is the creation time of a key, as far as the key tells it.
type CreationTime struct {
	// Known reports whether the key is a UUIDv7; At is then the time in it.
	Known bool
	At    time.Time
}

// uuidVersion is the version of UUID that carries a time.
const uuidVersion = 7

// CreationTimeOf reads the creation time from a caller's key.
func CreationTimeOf(key string) CreationTime {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion {
		return CreationTime{}
	}
	seconds, nanos := id.Time().UnixTime()
	return CreationTime{Known: true, At: time.Unix(seconds, nanos)}
}

// Answer is the result of a claim at a witness.
type Answer uint8

// The answers of a witness.
const (
	// Granted means that the attempt holds the key.
	Granted Answer = iota + 1
	// Taken means that another attempt holds the key.
	Taken
	// WitnessTooNew means that the witness may have lost an earlier grant of the key in a
	// restart.
	WitnessTooNew
	// KeyTooOld means that the key is older than ClaimWindow.
	KeyTooOld
	// KeyFromFuture means that the creation time of the key lies in the future.
	KeyFromFuture
)

// String returns the name of the answer.
func (a Answer) String() string {
	names := [...]string{"none", "granted", "taken", "young", "too_old", "future"}
	if int(a) >= len(names) {
		return "unknown"
	}
	return names[a]
}

// Request claims a key for an attempt.
type Request struct {
	// Key is the caller's key together with the account and route that it belongs to.
	Key string
	// Attempt identifies the claim; Holder is the daemon that makes it.
	Attempt, Holder string
	// Created is the creation time of the key.
	Created CreationTime
}

// Reply is a witness's reply to a claim.
type Reply struct {
	Answer Answer
	// Attempt and Holder identify the claim that holds the key, if it is taken.
	Attempt, Holder string
}
