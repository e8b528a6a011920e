package settings

import (
	"fmt"
	"testing"
	"time"

	"doorstack.dev/core/strictyaml"
	"github.com/go-faster/errors"
)

// routeParts returns parts for the given number of path routes; a part holds the route's prefix.
func routeParts(routes int) map[string][]byte {
	parts := map[string][]byte{}
	for i := range routes {
		parts[fmt.Sprint("route/", i)] = fmt.Appendf(nil, "/%d/", i)
	}
	return parts
}

// countingParser returns a parser of such parts that increments *reads for each part it parses.
func countingParser(reads *int) *PartParser {
	return &PartParser{
		NewDocument: func() *Document {
			return &Document{
				EngineKinds: map[string]*EngineKind{"rest": {Protocol: ProtocolService}},
				Pools:       map[string]*Pool{"svc": {Kind: "rest"}},
				Paths:       map[string]*PathRoute{},
				Tree:        &Node{},
			}
		},
		ParsePart: func(key string, data []byte) (func(*Document), error) {
			*reads++
			if len(data) == 0 {
				return nil, errors.New("the part is empty")
			}
			r := &PathRoute{
				Host: "a.example", Prefix: string(data), Kind: CallSafe, Timeout: strictyaml.Duration(time.Second), MaxAttempts: 1,
				Pools: map[string]float64{"svc": 1},
			}
			return func(d *Document) { d.Paths[key] = r }, nil
		},
	}
}

// TestPartParserParsesOnlyChangedParts guards against parsing all parts of each revision, even
// of one that changes nothing.
func TestPartParserParsesOnlyChangedParts(t *testing.T) {
	reads, yields := 0, 0
	p := countingParser(&reads)
	p.Yield = func() { yields++ }
	parse := func(parts map[string][]byte) *Tree {
		reads, yields = 0, 0
		tree, err := p.Parse(parts)
		if err != nil {
			t.Fatal(err)
		}
		return tree
	}
	parts := routeParts(100)
	first := parse(parts)
	if reads != 100 || yields < 100/partsPerYield {
		t.Fatalf("first Parse parsed %d parts with %d yields, want 100 parts and a yield every partsPerYield", reads, yields)
	}
	if same := parse(parts); reads != 0 || same.MatchPath("a.example", "/7/x") != first.MatchPath("a.example", "/7/x") {
		t.Errorf("Parse of an unchanged revision parsed %d parts, want 0 and the same routes", reads)
	}
	parts = routeParts(100)
	parts["route/7"] = []byte("/seven/")
	delete(parts, "route/8")
	changed := parse(parts)
	if reads != 1 || changed.MatchPath("a.example", "/seven/x") == nil || changed.MatchPath("a.example", "/7/x") != nil || changed.MatchPath("a.example", "/8/") != nil {
		t.Errorf("Parse of a revision that changes one part and removes one parsed %d parts, want 1 and the new routes", reads)
	}
	if first.MatchPath("a.example", "/7/x") == nil {
		t.Error("Parse changed an earlier tree")
	}
}

// TestPartParserRecoversAfterRejectedRevision guards against a rejected revision that keeps the
// parser from accepting the next valid one.
func TestPartParserRecoversAfterRejectedRevision(t *testing.T) {
	reads := 0
	p := countingParser(&reads)
	parts := routeParts(3)
	if _, err := p.Parse(parts); err != nil {
		t.Fatal(err)
	}
	parts["route/1"] = []byte("no prefix")
	if _, err := p.Parse(parts); err == nil {
		t.Fatal("Parse accepted a route with an invalid prefix")
	}
	parts["route/1"] = []byte{}
	if _, err := p.Parse(parts); err == nil {
		t.Fatal("Parse accepted a part that cannot be parsed")
	}
	parts["route/1"] = []byte("/one/")
	tree, err := p.Parse(parts)
	if err != nil || tree.MatchPath("a.example", "/one/") == nil || tree.MatchPath("a.example", "/2/") == nil {
		t.Fatalf("Parse after two rejected revisions: error %v, want the routes /one/ and /2/", err)
	}
}
