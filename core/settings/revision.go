package settings

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"doorstack.dev/core/strictyaml"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Part is one value of the configuration service. A tree may be published in parts,
// so that a change of one account transfers a few hundred bytes instead of all.
type Part struct {
	// Revision is the revision at which the part was last written.
	Revision int64 `json:"revision" cbor:"1,keyasint"`
	// Data is the part's YAML; the service stores up to a megabyte.
	Data []byte `json:"data" cbor:"2,keyasint"`

	digest uint64 // of key and data; set when the part is added to a snapshot
}

// Changes are the parts that differ from an earlier revision (a delta), or all parts
// of a revision.
type Changes struct {
	// Since is the revision from which the delta starts; zero means that Parts holds
	// all parts.
	Since int64 `json:"since" cbor:"1,keyasint"`
	// Revision is the revision that results from the changes.
	Revision int64 `json:"revision" cbor:"2,keyasint"`
	// Parts are the changed parts by key.
	Parts map[string]Part `json:"values" cbor:"3,keyasint"`
	// Deleted are the keys that were removed.
	Deleted []string `json:"deleted,omitempty" cbor:"4,keyasint,omitempty"`
	// Digest identifies the content of the resulting revision; zero if the sender
	// gives none.
	Digest uint64 `json:"-" cbor:"5,keyasint,omitempty"`
}

// Size returns the size of the changed parts, in bytes.
func (c Changes) Size() int {
	size := 0
	for _, part := range c.Parts {
		size += len(part.Data)
	}
	return size
}

// Snapshot holds all parts of one revision. It is immutable. Snapshots share the data of
// parts that they have in common.
//
// The revision of a part is the one at which the daemon that built the snapshot saw the part
// change. That daemon may have skipped revisions, so two daemons may record different ones,
// and a part that changed and changed back may look unchanged. Deltas therefore carry a
// digest of the resulting content, and Apply refuses one that leads to other content.
type Snapshot struct {
	Revision int64
	Parts    map[string]Part
	// Deleted holds the revision at which each removed key went away, from which
	// ChangesSince builds deltas.
	Deleted map[string]int64

	digest uint64 // sum of the parts' digests
}

// maxDeletions bounds the recorded deletions. Beyond it all are dropped: a daemon that needs
// one then gets a delta whose digest does not match, and fetches all parts instead.
const maxDeletions = 10_000

// ErrRevisionGap means that a delta starts from a revision newer than the snapshot.
var ErrRevisionGap = errors.New("the delta starts from a newer revision; fetch all parts")

// ErrNotNewer means that the changes do not lead to a newer revision.
var ErrNotNewer = errors.New("the current revision is at least as new")

// ErrDigestMismatch means that the changes do not lead to the sender's content.
var ErrDigestMismatch = errors.New("the delta does not lead to the sender's content; fetch all parts")

// Apply returns the snapshot that results from applying changes to s, or s and an
// error. The result is never older than s. The zero Snapshot has no revision yet.
func (s Snapshot) Apply(c Changes) (Snapshot, error) {
	if c.Revision <= s.Revision {
		return s, ErrNotNewer
	}
	if c.Since > s.Revision {
		return s, ErrRevisionGap
	}
	next := Snapshot{Revision: c.Revision, Parts: maps.Clone(s.Parts), Deleted: maps.Clone(s.Deleted), digest: s.digest}
	if s.Parts == nil {
		next.Parts, next.Deleted = map[string]Part{}, map[string]int64{}
	}
	if c.Since == 0 {
		for key := range s.Parts {
			if _, kept := c.Parts[key]; !kept {
				next.remove(key)
			}
		}
	}
	for key, part := range c.Parts {
		next.put(key, part, c.Since > 0)
	}
	for _, key := range c.Deleted {
		next.remove(key)
	}
	if len(next.Deleted) > maxDeletions {
		next.Deleted = map[string]int64{}
	}
	if c.Digest != 0 && c.Digest != next.Digest() {
		return s, ErrDigestMismatch
	}
	return next, nil
}

// put adds or replaces a part, unless its content is unchanged. A delta may start before the
// snapshot's revision and hold parts older than the snapshot's; with onlyNewer, those are
// skipped.
func (s *Snapshot) put(key string, part Part, onlyNewer bool) {
	old, ok := s.Parts[key]
	if ok && (bytes.Equal(old.Data, part.Data) || onlyNewer && old.Revision > part.Revision) {
		return
	}
	if ok {
		s.digest -= old.digest
	}
	part.digest = partDigest(key, part.Data)
	s.digest += part.digest
	s.Parts[key] = part
	delete(s.Deleted, key)
}

func (s *Snapshot) remove(key string) {
	old, ok := s.Parts[key]
	if ok {
		s.digest -= old.digest
		delete(s.Parts, key)
	}
	s.Deleted[key] = s.Revision
}

// ChangesSince returns the changes that lead from an earlier revision to s, or all parts
// if revision is zero, negative or newer than s.
func (s Snapshot) ChangesSince(revision int64) Changes {
	if revision <= 0 || revision > s.Revision {
		return Changes{Revision: s.Revision, Parts: s.Parts, Digest: s.Digest()}
	}
	c := Changes{Since: revision, Revision: s.Revision, Parts: map[string]Part{}, Digest: s.Digest()}
	for key, part := range s.Parts {
		if part.Revision > revision {
			c.Parts[key] = part
		}
	}
	for key, at := range s.Deleted {
		if at > revision {
			c.Deleted = append(c.Deleted, key)
		}
	}
	slices.Sort(c.Deleted)
	return c
}

// Digest identifies the content of the snapshot, regardless of the order of its parts.
func (s Snapshot) Digest() uint64 { return s.digest + emptyDigest }

// emptyDigest is the digest of a snapshot without parts. It is not zero, since a zero digest
// in Changes means none.
const emptyDigest = 1

func partDigest(key string, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%q %d\n", key, len(data)) // Writing to a hash never fails.
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// MainPartKey is the key of the main document. NodePartPrefix begins the keys of nodes that
// are published as their own parts, such as "tree/desks/north" for the node /desks/north.
const (
	MainPartKey    = "settings"
	NodePartPrefix = "tree/"
)

// ParseParts validates all parts of a revision together and resolves them. Keys are given
// without the prefix of the fleet in the configuration service. Problems name their part.
func ParseParts(parts map[string][]byte) (*Tree, error) {
	main, ok := parts[MainPartKey]
	if !ok {
		return nil, strictyaml.Problems{{
			Path:    MainPartKey,
			Message: "there is no part " + MainPartKey,
			Remedy:  "publish the document under this key",
		}}
	}
	document := &Document{}
	problems := strictyaml.Decode(main, document).InFile(MainPartKey)
	for _, key := range slices.Sorted(maps.Keys(parts)) {
		if key == MainPartKey {
			continue
		}
		problems = append(problems, addNodePart(document, key, parts[key])...)
	}
	return checkAndResolve(document, problems, nil)
}

// checkAndResolve validates a document and resolves it. Path routes that are the same pointers
// as in the previous tree, which may be nil, are reused from it.
func checkAndResolve(document *Document, problems strictyaml.Problems, previous *Tree) (*Tree, error) {
	if previous != nil && !samePools(document, previous.document) {
		previous = nil
	}
	c := &checker{document: document, problems: problems, previous: previous}
	c.check()
	if len(c.problems) > 0 {
		c.problems.Sort()
		return nil, c.problems
	}
	return resolve(document, previous, c), nil
}

// samePools reports whether two documents declare the same pools and engine kinds, so that
// their resolved path routes are interchangeable.
func samePools(a, b *Document) bool {
	return reflect.DeepEqual(a.Pools, b.Pools) && reflect.DeepEqual(a.EngineKinds, b.EngineKinds)
}
