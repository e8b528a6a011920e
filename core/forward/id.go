package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"unicode/utf8"
)

const (
	// maxLocalID is the longest id of a caller's request that is used as it is, in bytes.
	maxLocalID = 128
	// localIDPrefix is how many bytes of a longer id are kept, and localIDDigest how many of its hash.
	localIDPrefix = 32
	localIDDigest = 16
)

// LocalID returns the id under which daemons log a caller's request, keep records of it and name it to each other. Callers choose
// ids of any length and content; long ones, and those that logs cannot hold as they are, are shortened and made unique by a hash.
// The request is forwarded under its own id.
func LocalID(id string) string {
	if len(id) <= maxLocalID && utf8.ValidString(id) {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	prefix := []rune(id[:min(len(id), localIDPrefix)])
	for i, c := range prefix {
		if c == utf8.RuneError {
			prefix[i] = '?'
		}
	}
	return string(prefix) + "..." + hex.EncodeToString(sum[:localIDDigest])
}
