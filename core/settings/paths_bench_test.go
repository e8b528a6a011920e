package settings

import (
	"fmt"
	"testing"
	"time"

	"doorstack.dev/core/strictyaml"
)

// BenchmarkMatchPath matches a call against 4,440 routes of one host. It took 0.30 us including
// the formatting of the path, and 10.2 us when each route of the host was compared.
func BenchmarkMatchPath(b *testing.B) {
	const routes = 4440
	d := &Document{
		EngineKinds: map[string]*EngineKind{"rest": {Protocol: ProtocolService}},
		Pools:       map[string]*Pool{"svc": {Kind: "rest"}},
		Paths:       map[string]*PathRoute{},
		Tree:        &Node{},
	}
	for i := range routes {
		name := fmt.Sprintf("r%04d", i)
		d.Paths[name] = &PathRoute{
			Host: "calls.example", Prefix: "/" + name + "/", Kind: CallSafe, Timeout: strictyaml.Duration(time.Second), MaxAttempts: 1,
			Pools: map[string]float64{"svc": 1},
		}
	}
	tree, err := Resolve(d)
	if err != nil {
		b.Fatal(err)
	}
	i := 0
	for b.Loop() {
		i++
		if tree.MatchPath("calls.example", fmt.Sprintf("/r%04d/x", i%routes)) == nil {
			b.Fatal("MatchPath found no route")
		}
	}
}
