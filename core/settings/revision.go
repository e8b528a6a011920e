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

// Part is one value of the configuration service. A tree may be published in
// parts, so that a change of one account moves a few hundred bytes and not all.
type Part struct {
	// Revision is the revision at which the part was last written.
	Revision int64 `json:"revision" cbor:"1,keyasint"`
	// Data is the part's YAML; the service holds up to a megabyte.
	Data []byte `json:"data" cbor:"2,keyasint"`

	digest uint64 // of key and data, once it is in a snapshot
}

// Changes are the parts that differ from an earlier revision.
type Changes struct {
	// Since is the revision that the difference starts from; zero means that
	// Parts is the whole.
	Since int64 `json:"since" cbor:"1,keyasint"`
	// Revision is the revision that the difference leads to.
	Revision int64 `json:"revision" cbor:"2,keyasint"`
	// Parts are the changed parts by key.
	Parts map[string]Part `json:"values" cbor:"3,keyasint"`
	// Deleted are the keys that are gone.
	Deleted []string `json:"deleted,omitempty" cbor:"4,keyasint,omitempty"`
	// Digest identifies the content of the revision that they lead to; zero where the
	// sender does not tell.
	Digest uint64 `json:"-" cbor:"5,keyasint,omitempty"`
}

// Size is the size of the changed parts, in bytes.
func (c Changes) Size() int {
	size := 0
	for _, part := range c.Parts {
		size += len(part.Data)
	}
	return size
}

// Snapshot is the whole of one revision. It never changes. Parts that two revisions have in
// common are held once.
//
// The revision of a part is the one at which whoever made the snapshot saw it change. It may
// have skipped revisions, so two daemons may note different ones, and a part that changed
// and changed back may pass for one that never did. Differences therefore carry a digest of
// what they lead to, and one that leads elsewhere is refused.
type Snapshot struct {
	Revision int64
	Parts    map[string]Part
	// Deleted holds the revisions at which keys went away, so that differences
	// can be made for others.
	Deleted map[string]int64

	digest uint64 // the sum of the parts' digests
}

// maxDeletions bounds the deletions that are remembered. Beyond it they are forgotten: whoever
// would have needed them gets a difference whose digest does not fit, and reads the whole.
const maxDeletions = 10_000

// ErrRevisionGap means that a difference starts from a revision that is not here yet.
var ErrRevisionGap = errors.New("the difference starts from a newer revision; read the whole")

// ErrNotNewer means that the changes lead nowhere new.
var ErrNotNewer = errors.New("the revision in force is at least as new")

// ErrDigestMismatch means that changes do not lead to the content that their sender has.
var ErrDigestMismatch = errors.New("the difference does not lead to the sender's content; read the whole")

// Apply returns the snapshot that changes lead to from s. It never returns one
// that is older than s. The zero Snapshot stands for nothing read yet.
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

// put takes a part in. One that is here with the same content stays as it is. Of a
// difference, which may start before the snapshot and hold what that has newer, only newer
// parts are taken.
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

// Since is what somebody with an earlier revision needs to have this one.
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

// Digest identifies the content of the snapshot, in whatever order it was put together.
func (s Snapshot) Digest() uint64 { return s.digest + emptyDigest }

// emptyDigest is the digest of settings without parts; it is not zero, which stands for none.
const emptyDigest = 1

func partDigest(key string, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%q %d\n", key, len(data)) // A digest never fails.
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// MainPartKey is the key of the document; NodePartPrefix begins the keys of nodes that
// are published apart, such as "tree/desks/north" for the node /desks/north.
const (
	MainPartKey    = "settings"
	NodePartPrefix = "tree/"
)

// ParseParts checks a snapshot whole and resolves it. Keys are given without the
// fleet's prefix. Problems name the part that they are in.
func ParseParts(parts map[string][]byte) (*Tree, error) {
	main, ok := parts[MainPartKey]
	if !ok {
		return nil, strictyaml.Problems{{
			Path:    MainPartKey,
			Message: "there is no part " + MainPartKey,
			Remedy:  "publish the document under that key",
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

// checkAndResolve checks a document and resolves it. Path routes that are the very same as in an
// earlier tree, which may be nil, are taken from there.
func checkAndResolve(document *Document, problems strictyaml.Problems, before *Tree) (*Tree, error) {
	if before != nil && !samePools(document, before.document) {
		before = nil
	}
	c := &checker{document: document, problems: problems, previous: before}
	c.check()
	if len(c.problems) > 0 {
		c.problems.Sort()
		return nil, c.problems
	}
	return resolve(document, before), nil
}

// samePools tells whether path routes mean the same in two documents.
func samePools(a, b *Document) bool {
	return reflect.DeepEqual(a.Pools, b.Pools) && reflect.DeepEqual(a.EngineKinds, b.EngineKinds)
}
