// Package poison detects requests that crash the targets which run them (queries of death)
// and quarantines them, so that they are not sent to further targets. The cause may be the
// request as a whole, or one part of its prompt that many otherwise different requests share; so
// crashes are counted for both, and a quarantine applies to a request or to all that contain a part.
//
// A single crash does not show that a request is the cause: a target that crashes is running a
// dozen requests, at most one of which caused the crash. A request under which several targets
// crash in turn is quarantined at every daemon. Daemons tell each other by verdicts: a verdict
// begins or lifts the quarantine of a request. The package does no I/O and reads no clock: callers
// pass in crashes, successes, the verdicts of other daemons and the time, and ask whether a request
// may be sent. The callers also send the verdicts to other daemons.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Key identifies a request by its account and content, so that a repetition under another
// request id has the same key. All keys of one account share a prefix.
type Key [accountBytes + requestBytes]byte

// Sizes of the parts of a key, in bytes. Two different requests of one account collide with a
// probability of 2^-96. Accounts whose prefixes collide share maxRecordsPerAccount and nothing else.
const (
	accountBytes = 4
	requestBytes = 12
)

// KeyOf returns the key of an account's request, computed from the parts that identify its
// content, such as method, host name, path and body.
func KeyOf(account string, parts ...[]byte) Key {
	ofAccount := sha256.Sum256([]byte(account))
	h := sha256.New()
	writeLengthPrefixed(h, []byte(account))
	for _, part := range parts {
		writeLengthPrefixed(h, part)
	}
	var k Key
	copy(k[:accountBytes], ofAccount[:])
	copy(k[accountBytes:], h.Sum(nil))
	return k
}

// PartKey returns the key of a part of the prompts to a pool, which prompts of any account may contain.
func PartKey(pool, part string) Key {
	return KeyOf("", []byte("part of a prompt"), []byte(pool), []byte(part))
}

// partPrefix is the prefix that the keys of all parts share.
var partPrefix = PartKey("", "").accountPrefix()

// writeLengthPrefixed hashes the length of a part and then the part, so that different lists of
// parts never hash the same bytes.
func writeLengthPrefixed(h hash.Hash, part []byte) {
	length := binary.BigEndian.AppendUint64(nil, uint64(len(part)))
	_, _ = h.Write(length) // hash.Hash.Write never returns an error.
	_, _ = h.Write(part)
}

// String returns the key in hexadecimal, as logs show it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

func (k Key) accountPrefix() [accountBytes]byte { return [accountBytes]byte(k[:accountBytes]) }
