// Package once remembers which requests that may run once have been sent to a target, so that a request which comes again is not
// sent a second time: the library of a caller, or a proxy before the daemons, may send a request again, under its id, if the
// connection ends before the answer.
//
// Each daemon keeps a Ledger of the claims to what it sends itself, and to what other daemons send that have asked it to hold a claim. Decide
// tells from the answers of these holders whether a request may be sent. A ledger is lost with its process, so that a repeat
// is sent after all holders of the claim to the first have ended.
//
// The package does no I/O and reads no clock.
package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key identifies a request by its id and its content.
type Key struct {
	ID, Content [8]byte
}

// KeyOf returns the key of a request with the id that its caller gave it, computed from the parts that identify its content.
// Callers are to give each request an id of its own; those that reuse one for different requests are served.
func KeyOf(id string, content ...[]byte) Key {
	return Key{digest([]byte(id)), digest(content...)}
}

// digest returns the first bytes of a hash of a list of parts.
func digest(parts ...[]byte) [8]byte {
	h := sha256.New()
	for _, part := range parts { // The length keeps different lists of parts apart.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // hash.Hash.Write never returns an error.
		_, _ = h.Write(part)
	}
	return [8]byte(h.Sum(nil))
}

// Owner is a random number that identifies one arrival of a request at a daemon.
type Owner uint64

// Claim is an owner's claim to be the only one that sends a request.
type Claim struct {
	Key   Key
	Owner Owner
	// Expires is when no repeat of the request is expected any more.
	Expires time.Time
	// withdrawn marks the claim of an owner that has withdrawn it before it was made.
	withdrawn bool
}

// A request is remembered for callerTimes of its caller's times, since a repeat of a long call leaves within one and may be held up
// for as long again, and for minRetention at least: libraries with several attempts and growing pauses send the last one a minute or
// two after the first, however short the time of each is.
const (
	callerTimes  = 2
	minRetention = 5 * time.Minute
)

// NewClaim returns the claim of a request that arrived at a time and whose caller waits that long.
func NewClaim(k Key, o Owner, arrived time.Time, callerWaits time.Duration) Claim {
	return Claim{Key: k, Owner: o, Expires: arrived.Add(max(callerTimes*callerWaits, minRetention))}
}

// maxClaims bounds the claims of a ledger: two hundred requests that may run once a second are remembered for minRetention, a
// thousand a second for a minute.
const maxClaims = 1 << 16

// Ledger holds the claims to requests that have been sent, or may be at any moment. It is not safe for concurrent use.
type Ledger struct {
	claims map[Key]Claim
	// byID counts the claims to requests with each id.
	byID map[[8]byte]int
	// order lists the claims as they were made; those that were withdrawn or made again are in it too.
	order []Claim
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{claims: map[Key]Claim{}, byID: map[[8]byte]int{}} }

// Begin claims a request and reports whether that is allowed: no other owner has a claim to it.
func (l *Ledger) Begin(c Claim, now time.Time) bool {
	l.removeExpired(now)
	if l.ClaimedByOther(c, now) {
		return false
	}
	if earlier := l.claims[c.Key]; earlier.withdrawn && earlier.Owner == c.Owner {
		return true // Its owner does not send the request.
	}
	l.remove(c.Key)
	l.add(c)
	return true
}

func (l *Ledger) add(c Claim) {
	l.claims[c.Key] = c
	l.order = append(l.order, c)
	if !c.withdrawn {
		l.byID[c.Key.ID]++
	}
}

// ClaimedByOther reports whether another owner than that of a claim has one to the same request.
func (l *Ledger) ClaimedByOther(c Claim, now time.Time) bool {
	other, claimed := l.claims[c.Key]
	return claimed && !other.withdrawn && other.Owner != c.Owner && now.Before(other.Expires)
}

// Owner returns the owner of the claim to a request, and zero if there is none.
func (l *Ledger) Owner(k Key) Owner { return l.claims[k].Owner }

// Claimed reports whether there is a claim to any request with an id.
func (l *Ledger) Claimed(id string, now time.Time) bool {
	l.removeExpired(now)
	return l.byID[digest([]byte(id))] > 0
}

// remove removes the claim to a request, if there is one.
func (l *Ledger) remove(k Key) {
	c, claimed := l.claims[k]
	delete(l.claims, k)
	if !claimed || c.withdrawn {
		return
	}
	if l.byID[k.ID]--; l.byID[k.ID] == 0 {
		delete(l.byID, k.ID)
	}
}

// Withdraw ends a claim to a request that its owner knows not to have run, so that the request may come again. Messages between daemons
// may overtake each other: a claim that is not there yet is not made later either.
func (l *Ledger) Withdraw(c Claim, now time.Time) {
	l.removeExpired(now)
	current, claimed := l.claims[c.Key]
	switch {
	case !claimed:
		c.withdrawn = true
		l.add(c)
	case current.Owner == c.Owner && !current.withdrawn:
		l.remove(c.Key)
	}
}

// Len returns the number of claims.
func (l *Ledger) Len() int { return len(l.claims) }

// removeExpired removes the oldest claims, as far as they have expired or are too many.
func (l *Ledger) removeExpired(now time.Time) {
	for len(l.order) > 0 {
		oldest := l.order[0]
		if current := l.claims[oldest.Key]; current == oldest {
			if now.Before(oldest.Expires) && len(l.order) < maxClaims {
				return
			}
			l.remove(oldest.Key)
		}
		l.order = l.order[1:]
	}
}
