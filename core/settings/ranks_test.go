package settings

import (
	"fmt"
	"testing"

	"doorstack.dev/core/strictyaml"
)

// documentOfRanks returns a PartlyUsable document with a path for each rank.
func documentOfRanks(ranks ...int) *Document {
	d := &Document{
		PartlyUsable: true,
		EngineKinds:  map[string]*EngineKind{"rest": {Protocol: ProtocolService}}, Pools: map[string]*Pool{"blue": {Kind: "rest"}},
		Paths: map[string]*PathRoute{}, Tree: &Node{},
	}
	for _, rank := range ranks {
		d.Paths[fmt.Sprint(rank)] = &PathRoute{
			Host: "a.example", Prefix: fmt.Sprintf("/%d/", rank), Kind: CallSafe, Timeout: strictyaml.Duration(1e9), MaxAttempts: 1,
			Level: rank, Pools: map[string]float64{"blue": 1},
		}
	}
	return d
}

// TestRanksKeepTheirOrder guards against a document that is refused, or whose least urgent paths overtake others, because its
// ranks exceed the levels.
func TestRanksKeepTheirOrder(t *testing.T) {
	for _, ranks := range [][]int{{0, 1, 9}, {1, 2, 10}, {0, 10, 11, 1 << 30}, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}} {
		tree, err := Resolve(documentOfRanks(ranks...))
		if err != nil {
			t.Errorf("ranks %v: %v", ranks, err)
			continue
		}
		last := -1
		for i, rank := range ranks {
			level := tree.MatchPath("a.example", fmt.Sprintf("/%d/", rank)).Level
			if level < last || level == last && i <= maxLevel || level > maxLevel {
				t.Errorf("ranks %v: rank %d has level %d after %d, want a higher one of at most %d", ranks, rank, level, last, maxLevel)
			}
			if ranks[len(ranks)-1] <= maxLevel && level != rank {
				t.Errorf("ranks %v: rank %d has level %d, want the same", ranks, rank, level)
			}
			last = level
		}
	}
}

// TestChangedRanksReachUnchangedPaths guards against a path that keeps its level although another path changes the order.
func TestChangedRanksReachUnchangedPaths(t *testing.T) {
	first := documentOfRanks(3)
	before, err := checkAndResolve(first, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	next := documentOfRanks(1, 20)
	next.Paths["3"] = first.Paths["3"]
	after, err := checkAndResolve(next, nil, before)
	if err != nil {
		t.Fatal(err)
	}
	if got := after.MatchPath("a.example", "/3/").Level; got != 1 {
		t.Errorf("rank 3 between 1 and 20 has level %d, want 1", got)
	}
}

// TestInvalidEntriesAreLeftOut checks that a PartlyUsable document is used without its invalid entries, and what refers to
// them, and that calls of a path that is left out do not go to a path with a shorter prefix.
func TestInvalidEntriesAreLeftOut(t *testing.T) {
	d := documentOfRanks(1)
	d.Paths["1"].Prefix = "/"
	d.EngineKinds["odd"] = &EngineKind{Protocol: "odd"}
	d.Pools["red"] = &Pool{Kind: "odd"}
	bad := *d.Paths["1"]
	bad.Prefix, bad.Pools = "/bad/", map[string]float64{"red": 1}
	d.Paths["bad"] = &bad
	tree, err := Resolve(d)
	if err != nil {
		t.Fatal(err)
	}
	if len(tree.LeftOut()) != 3 {
		t.Errorf("LeftOut = %v, want an engine kind, a pool and a path", tree.LeftOut())
	}
	if p := tree.MatchPath("a.example", "/other"); p == nil || p.LeftOut {
		t.Errorf("MatchPath of the sound path = %+v, want it in force", p)
	}
	if p := tree.MatchPath("a.example", "/bad/x"); p == nil || !p.LeftOut {
		t.Errorf("MatchPath of the invalid path = %+v, want it left out", p)
	}
	none := documentOfRanks(1)
	none.Paths["1"].Kind = "odd"
	if _, err := Resolve(none); err == nil {
		t.Error("Resolve of a document without a usable path succeeded, want an error")
	}
}
