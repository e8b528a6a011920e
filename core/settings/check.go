package settings

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"doorstack.dev/core/strictyaml"
)

// checker finds problems that decoding cannot: references to undeclared names,
// values out of range, duplicate API keys. It visits maps in sorted order, so that
// the list of problems is the same on every daemon.
type checker struct {
	document *Document
	problems strictyaml.Problems
	keyOwner map[string]string // key path of the account's node, by raw key hash
	// previous is an earlier valid tree with the same pools, or nil.
	previous *Tree
	// leftOut are the problems of the entries that are left out of the document, and leftOutPaths the paths among these.
	leftOut      strictyaml.Problems
	leftOutPaths map[string]*PathRoute
}

func (c *checker) check() {
	c.keyOwner, c.leftOutPaths, c.leftOut = map[string]string{}, map[string]*PathRoute{}, c.document.Undecoded
	// What refers to an entry is checked after it, so that it is left out with the entry.
	for _, name := range slices.Sorted(maps.Keys(c.document.EngineKinds)) {
		c.checkEntry(func() { c.checkEngineKind(c.document.EngineKinds[name], "engine_kinds."+name) },
			func() { delete(c.document.EngineKinds, name) })
	}
	for _, name := range slices.Sorted(maps.Keys(c.document.Pools)) {
		c.checkEntry(func() { c.checkPool(c.document.Pools[name], "pools."+name) },
			func() { delete(c.document.Pools, name) })
	}
	for _, name := range slices.Sorted(maps.Keys(c.document.Priorities)) {
		c.checkPriority(c.document.Priorities[name], "priorities."+name)
	}
	for _, name := range c.changedPaths() {
		r := c.document.Paths[name]
		c.checkEntry(func() { c.checkPath(r, "paths."+name) }, func() {
			c.leftOutPaths[name] = r
			delete(c.document.Paths, name)
		})
	}
	if len(c.leftOutPaths) > 0 && len(c.document.Paths) == 0 {
		c.problems = append(c.problems, c.leftOut...) // Nothing could be served.
	}
	if c.document.Tree == nil {
		c.problems.Add(c.document.At, "tree", "the tree is missing", "add a key \"tree\" with the root node")
		return
	}
	c.checkNode(c.document.Tree, "tree")
}

// checkEntry checks an entry of the document. If it has problems and entries may be left out, remove is called to
// remove it from the document.
func (c *checker) checkEntry(check, remove func()) {
	before := len(c.problems)
	check()
	if !c.document.PartlyUsable || len(c.problems) == before {
		return
	}
	c.leftOut = append(c.leftOut, c.problems[before:]...)
	c.problems = c.problems[:before]
	remove()
}

func (c *checker) checkEngineKind(k *EngineKind, path string) {
	if k.Protocol != ProtocolEngine && k.Protocol != ProtocolService {
		c.problems.Add(k.KeyPosition("protocol"), path+".protocol", fmt.Sprintf("%q is not a protocol", k.Protocol), "write engine or service")
	}
	if k.Protocol == ProtocolEngine && k.MemoryTokens <= 0 {
		c.problems.Add(k.KeyPosition("memory_tokens"), path+".memory_tokens", "an engine needs a KV cache size", "write the size in tokens, above zero")
	}
	if k.Protocol == ProtocolEngine && k.PrefillTokensPerSecond <= 0 {
		c.problems.Add(k.KeyPosition("prefill_tokens_per_second"), path+".prefill_tokens_per_second", "an engine needs a prefill speed", "write the measured tokens per second, above zero")
	}
	if k.MaxConcurrent < 0 {
		c.problems.Add(k.KeyPosition("max_concurrent"), path+".max_concurrent", "is negative", "write zero for no limit, or a positive number")
	}
	if k.ColdStart < 0 {
		c.problems.Add(k.KeyPosition("cold_start"), path+".cold_start", "is negative", "write zero, or the time for which a started target is cold")
	}
	if k.ColdRequestsPerSecond < 0 {
		c.problems.Add(k.KeyPosition("cold_requests_per_second"), path+".cold_requests_per_second", "is negative", "write zero for no limit, or a positive rate")
	}
}

func (c *checker) checkPool(p *Pool, path string) {
	if c.document.EngineKinds[p.Kind] == nil {
		c.problems.Add(p.KeyPosition("kind"), path+".kind", fmt.Sprintf("there is no engine kind %q", p.Kind), declaredNames(c.document.EngineKinds))
	}
	policy := &p.Policy
	for _, share := range []struct {
		key   string
		value float64
	}{{"long_share", policy.LongShare}, {"memory_headroom", policy.MemoryHeadroom}} {
		if share.value < 0 || share.value > 1 {
			c.problems.Add(policy.KeyPosition(share.key), path+".policy."+share.key, "is not between 0 and 1", "write a share such as 0.25")
		}
	}
	if policy.LongPerTarget < 0 || policy.LongPromptTokens < 0 || policy.ShortRoom < 0 || policy.PrefixWeight < 0 {
		c.problems.Add(policy.At, path+".policy", "has a negative value", "write values of zero or more")
	}
}

func (c *checker) checkPriority(p *Priority, path string) {
	if c.levelOutOfRange(p.Level) {
		c.problems.Add(p.KeyPosition("level"), path+".level", "is out of range", fmt.Sprintf("write 0 (first) to %d (last)", maxLevel))
	}
}

// maxLevel is the highest level number, which is served last.
const maxLevel = 9

// levelOutOfRange reports whether a level or, in a PartlyUsable document, a rank is none.
func (c *checker) levelOutOfRange(level int) bool {
	return level < 0 || level > maxLevel && !c.document.PartlyUsable
}

func (c *checker) checkNode(n *Node, path string) {
	if n == nil {
		c.problems.Add(c.document.KeyPosition("tree"), path, "the node is empty", "add keys to the node, or remove it")
		return
	}
	c.checkInherited(&n.Inherited, &n.Source, path)
	for _, name := range slices.Sorted(maps.Keys(n.Routes)) {
		c.checkRoute(n.Routes[name], path+".routes."+name)
	}
	if n.Account != nil {
		c.checkAccount(n.Account, path)
	}
	for _, name := range slices.Sorted(maps.Keys(n.Children)) {
		c.checkEntry(func() {
			if strings.Contains(name, "/") || name == "" {
				c.problems.Add(n.KeyPosition("children"), path+".children", fmt.Sprintf("%q is not a node name", name), "use a name without a slash")
			}
			c.checkNode(n.Children[name], path+".children."+name)
		}, func() { delete(n.Children, name) })
	}
}

func (c *checker) checkInherited(v *Inherited, at *strictyaml.Source, path string) {
	if v.Priority != nil && *v.Priority != defaultPriority && c.document.Priorities[*v.Priority] == nil {
		c.problems.Add(at.KeyPosition("priority"), path+".priority", fmt.Sprintf("there is no priority %q", *v.Priority), declaredNames(c.document.Priorities))
	}
	checkPositive(c, v.Deadline, at.KeyPosition("deadline"), path+".deadline")
	checkPositive(c, v.MaxPromptTokens, at.KeyPosition("max_prompt_tokens"), path+".max_prompt_tokens")
	checkPositive(c, v.MaxOutputTokens, at.KeyPosition("max_output_tokens"), path+".max_output_tokens")
	checkPositive(c, v.MaxWaiting, at.KeyPosition("max_waiting"), path+".max_waiting")
	checkPositive(c, v.Limits.RequestsPerSecond, at.KeyPosition("limits"), path+".limits.requests_per_second")
	checkPositive(c, v.Limits.PromptTokensPerSecond, at.KeyPosition("limits"), path+".limits.prompt_tokens_per_second")
	checkPositive(c, v.Limits.Concurrent, at.KeyPosition("limits"), path+".limits.concurrent")
	if v.Homes != nil {
		c.checkHomes(*v.Homes, func(message, remedy string) { c.problems.Add(at.KeyPosition("homes"), path+".homes", message, remedy) })
	}
	if v.RetryShare != nil && (*v.RetryShare < 0 || *v.RetryShare > 1) {
		c.problems.Add(at.KeyPosition("retry_share"), path+".retry_share", "is not between 0 and 1", "write a share such as 0.1")
	}
}

func (c *checker) checkRoute(r *Route, path string) {
	if r == nil {
		return
	}
	if c.document.Pools[r.Pool] == nil {
		c.problems.Add(r.KeyPosition("pool"), path+".pool", fmt.Sprintf("there is no pool %q", r.Pool), declaredNames(c.document.Pools))
	}
	c.checkInherited(&r.Override, &r.Source, path+".override")
}

func (c *checker) checkAccount(a *Account, path string) {
	for i, hash := range a.KeyHashes {
		where := fmt.Sprintf("%s.account.key_hashes[%d]", path, i)
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != len(KeyHash{}) {
			c.problems.Add(a.KeyPosition("key_hashes"), where, "is not a SHA-256 hash in hexadecimal", "run doorstack hash-key and paste its output")
			continue
		}
		if owner, taken := c.keyOwner[string(raw)]; taken {
			problems := &c.problems
			if c.document.PartlyUsable {
				problems = &c.leftOut // The key stays with the first account; the other keys are sound.
			}
			problems.Add(a.KeyPosition("key_hashes"), where, "is also a key of "+owner, "use different keys for each account")
			continue
		}
		c.keyOwner[string(raw)] = path
	}
}

type number interface {
	~int | ~int64 | ~float64
}

func checkPositive[T number](c *checker, v *T, at strictyaml.Position, path string) {
	if v != nil && *v <= 0 {
		c.problems.Add(at, path, "is not above zero", "write a positive value, or remove the key to inherit one")
	}
}

func declaredNames[T any](m map[string]T) string {
	if len(m) == 0 {
		return "none is declared; declare one first"
	}
	return "declared are: " + strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}
