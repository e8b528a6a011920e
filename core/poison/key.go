// Package poison finds requests that crash the targets which run them, also called queries
// of death, and keeps them away from further targets.
//
// A request that ends one target may be unlucky: a target dies under a dozen calls, one of which
// was to blame at most. One under which target after target ends is quarantined, at whatever
// daemon it comes next. The package is pure: crashes, successes and the time come in as values,
// the word whether a request is quarantined comes out; who tells whom is decided elsewhere.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Key identifies a request by what it asks and for whom, so that the same request is known
// again under another request id. It begins with a part that all keys of one account share.
type Key [accountBytes + requestBytes]byte

// The parts of a key. Two different requests of one account have the same key with a chance
// of 2^-96; two accounts that share the first part share the room for their keys, nothing else.
const (
	accountBytes = 4
	requestBytes = 12
)

// KeyOf makes the key of an account's request from the parts that make it the same request:
// method, host name, path and body.
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

// writeLengthPrefixed hashes a part behind its length, so that no two lists of parts read the same.
func writeLengthPrefixed(h hash.Hash, part []byte) {
	length := binary.BigEndian.AppendUint64(nil, uint64(len(part)))
	_, _ = h.Write(length) // A hash never fails.
	_, _ = h.Write(part)
}

// String is the key as logs show it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

func (k Key) accountPrefix() [accountBytes]byte { return [accountBytes]byte(k[:accountBytes]) }
