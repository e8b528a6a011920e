package settings

import (
	"fmt"
	"maps"
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
}

// Snapshot is the whole of one revision. It never changes.
type Snapshot struct {
	Revision int64
	Parts    map[string]Part
	// Deleted holds the revisions at which keys went away, so that differences
	// can be made for others.
	Deleted map[string]int64
}

// ErrGap means that a difference starts from a revision that is not here yet.
var ErrGap = errors.New("the difference starts from a newer revision; read the whole")

// ErrOlder means that the changes lead nowhere new.
var ErrOlder = errors.New("the revision in force is at least as new")

// Apply returns the snapshot that changes lead to from s. It never returns one
// that is older than s. The zero Snapshot stands for nothing read yet.
func (s Snapshot) Apply(c Changes) (Snapshot, error) {
	if c.Revision <= s.Revision {
		return s, ErrOlder
	}
	if c.Since > s.Revision {
		return s, ErrGap
	}
	next := Snapshot{Revision: c.Revision, Parts: map[string]Part{}, Deleted: map[string]int64{}}
	if c.Since > 0 {
		maps.Copy(next.Parts, s.Parts)
		maps.Copy(next.Deleted, s.Deleted)
	}
	for key, part := range c.Parts {
		// A difference that starts before s may hold parts that s has newer.
		if old, ok := next.Parts[key]; ok && old.Revision > part.Revision {
			continue
		}
		next.Parts[key] = part
		delete(next.Deleted, key)
	}
	for _, key := range c.Deleted {
		delete(next.Parts, key)
		next.Deleted[key] = c.Revision
	}
	return next, nil
}

// Since is what somebody with an earlier revision needs to have this one.
func (s Snapshot) Since(revision int64) Changes {
	if revision <= 0 || revision > s.Revision {
		return Changes{Revision: s.Revision, Parts: s.Parts}
	}
	c := Changes{Since: revision, Revision: s.Revision, Parts: map[string]Part{}}
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

// Digest identifies the content of the snapshot.
func (s Snapshot) Digest() uint64 {
	digest := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(s.Parts)) {
		_, _ = fmt.Fprintf(digest, "%q %d\n", key, len(s.Parts[key].Data)) // A digest never fails.
		_, _ = digest.Write(s.Parts[key].Data)
	}
	return digest.Sum64()
}

// MainPart is the key of the document; NodePart begins the keys of nodes that
// are published apart, such as "tree/desks/north" for the node /desks/north.
const (
	MainPart = "settings"
	NodePart = "tree/"
)

// ParseParts checks a snapshot whole and resolves it. Keys are given without the
// fleet's prefix. Problems name the part that they are in.
func ParseParts(parts map[string][]byte) (*Tree, error) {
	main, ok := parts[MainPart]
	if !ok {
		return nil, strictyaml.Problems{{
			Path:    MainPart,
			Message: "there is no part " + MainPart,
			Remedy:  "publish the document under that key",
		}}
	}
	document := &Document{}
	problems := strictyaml.Decode(main, document).InFile(MainPart)
	for _, key := range slices.Sorted(maps.Keys(parts)) {
		if key == MainPart {
			continue
		}
		problems = append(problems, graft(document, key, parts[key])...)
	}
	return finish(document, problems)
}

func finish(document *Document, problems strictyaml.Problems) (*Tree, error) {
	c := &checker{document: document, problems: problems}
	c.check()
	if len(c.problems) > 0 {
		c.problems.Sort()
		return nil, c.problems
	}
	return resolve(document), nil
}
