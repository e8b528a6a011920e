package settings

import (
	"fmt"
	"strings"
	"testing"
)

const pathSample = `
engine_kinds:
  large: {protocol: engine, memory_tokens: 450000, prefill_tokens_per_second: 20000}
  rest: {protocol: service}
pools:
  llm: {kind: large}
  blue: {kind: rest}
  green: {kind: rest}
paths:
  root: {host: a.example, prefix: /, pools: {blue: 1}, kind: safe, timeout: 1s, max_attempts: 2, level: 4}
  deep: {host: a.example, prefix: /x/y/, pools: {blue: 1}, kind: unsafe, timeout: 1s, max_attempts: 1}
  wide: {host: a.example, prefix: /x/, pools: {blue: 9, green: 1}, kind: safe, timeout: 1s, max_attempts: 2}
  talk: {host: B.example, prefix: /t/, pools: {llm: 1}, kind: streaming, resumable: true, timeout: 10s, goal: 300ms, gap_goal: 250ms, max_attempts: 2, open: true}
priorities: {urgent: {level: 0}}
tree:
  children:
    plain: {account: {key_hashes: []}}
    first: {priority: urgent, account: {key_hashes: []}}
`

func TestMatchPath(t *testing.T) {
	tree, err := Parse([]byte(pathSample))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"}, {"a.example", "/x/yz", "wide"}, {"a.example:80", "/x", "root"},
		{"A.EXAMPLE", "/", "root"}, {"b.example", "/t/1", "talk"}, {"b.example", "/", ""}, {"c.example", "/", ""},
	} {
		got := ""
		if p := tree.MatchPath(c.host, c.path); p != nil {
			got = p.Name
		}
		if got != c.want {
			t.Errorf("MatchPath(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
	for name, want := range map[string]bool{"/": true, "/x/y/": false} {
		if got := tree.MatchPath("a.example", name).Repeatable(); got != want {
			t.Errorf("Repeatable() of the route of %s = %v, want the opposite", name, got)
		}
	}
	if !tree.MatchPath("b.example", "/t/").Repeatable() {
		t.Error("Repeatable() of a resumable stream = false, want true")
	}
}

func TestPathPoolsFollowWeights(t *testing.T) {
	tree, err := Parse([]byte(pathSample))
	if err != nil {
		t.Fatal(err)
	}
	wide, count := tree.MatchPath("a.example", "/x/"), map[string]int{}
	for i := range 10_000 {
		count[wide.Route(fmt.Sprint("request-", i), tree.Anonymous()).Pool.Name]++
	}
	if count["green"] < 800 || count["green"] > 1200 {
		t.Errorf("pool green got %d of 10,000 calls, want about 1,000", count["green"])
	}
	first := wide.Route("the same", tree.Anonymous()).Pool
	if again := wide.Route("the same", tree.Anonymous()).Pool; again != first {
		t.Error("Route chose two pools for the same call ID")
	}
}

func TestAccountPriorityOverridesPathLevel(t *testing.T) {
	tree, err := Parse([]byte(pathSample))
	if err != nil {
		t.Fatal(err)
	}
	root := tree.MatchPath("a.example", "/")
	for account, want := range map[string]int{"/plain": 4, "/first": 0} {
		if got := root.Route("id", tree.Account(account)).Rules.Level; got != want {
			t.Errorf("level of account %s = %d, want %d", account, got, want)
		}
	}
}

func TestPathRouteProblemsAreReported(t *testing.T) {
	_, err := Parse([]byte(`
engine_kinds: {rest: {protocol: service}}
pools: {blue: {kind: rest}}
paths:
  bad: {prefix: x, pools: {red: 1, blue: -1}, kind: often, level: 11}
tree: {}
`))
	text := fmt.Sprint(err)
	for _, want := range []string{"paths.bad.host", "paths.bad.prefix", "paths.bad.kind", "paths.bad.timeout", "paths.bad.max_attempts", "paths.bad.level", "paths.bad.pools.red", "paths.bad.pools.blue"} {
		if !strings.Contains(text, want) {
			t.Errorf("Parse reported no problem at %s:\n%s", want, text)
		}
	}
}
