package cluster

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Settings and lists of targets are sent compressed: their parts are much alike, and the links of weak hosts are
// slow.

// maxUnpackedSize bounds the size of decompressed content, in bytes: the largest settings that a service
// holds.
const maxUnpackedSize = 64 << 20

// compress encodes content as CBOR and compresses it.
func compress(content any) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress content for a peer")
	}
	if err := cbor.NewEncoder(w).Encode(content); err != nil {
		return nil, errors.Wrap(err, "compress content for a peer")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress content for a peer")
	}
	return packed.Bytes(), nil
}

// decompress reverses compress.
func decompress(packed []byte, into any) error {
	from := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedSize)
	if err := cbor.NewDecoder(from).Decode(into); err != nil {
		return errors.Wrap(err, "decompress the content of a peer's answer")
	}
	return nil
}

// maxCachedAnswers is how many compressed answers to different requests are cached: most daemons ask from one
// of the last few revisions.
const maxCachedAnswers = 4

// compressedCache caches compressed answers by request, as long as what they are made from has the same
// version, since many peers ask for the same. It is safe for concurrent use.
type compressedCache[Version, Request comparable] struct {
	mu      sync.Mutex
	version Version
	answers map[Request][]byte
}

// get returns the compressed answer to a request, which content returns.
func (c *compressedCache[Version, Request]) get(version Version, request Request, content func() any) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != version || len(c.answers) >= maxCachedAnswers {
		c.version, c.answers = version, map[Request][]byte{}
	}
	if packed := c.answers[request]; packed != nil {
		return packed, nil
	}
	packed, err := compress(content())
	if err == nil {
		c.answers[request] = packed
	}
	return packed, err
}
