package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/strictyaml"
)

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key as callers send it.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Tree is a valid settings document, resolved for fast lookups.
type Tree struct {
	document      *Document
	accounts      map[string]*ClientAccount
	accountsByKey map[KeyHash]*ClientAccount
	pools         map[string]*ResolvedPool
	pathsByPrefix map[pathKey]*ResolvedPath
	// pathsByName holds the resolved path routes by name.
	pathsByName map[string]*ResolvedPath
	// leftOut are the problems of the entries that were left out, and leftOutPaths the paths among these.
	leftOut      strictyaml.Problems
	leftOutPaths map[string]*PathRoute
	// levels maps ranks to levels; nil where all levels are in range.
	levels map[int]int

	anonymous *ClientAccount
}

// ClientAccount is a client account with all values resolved.
type ClientAccount struct {
	// Path is the account's path in the tree, such as "/desks/north".
	Path string
	// Rules are the account's values without the overrides of routes.
	Rules Rules
	// Routes are the routes that the account may use, by name.
	Routes    map[string]*ResolvedRoute
	keyHashes []KeyHash
	// setsPriority is true if the inherited priority is not defaultPriority.
	setsPriority bool
}

// ResolvedRoute is a route with the values that apply to one account.
type ResolvedRoute struct {
	// Name is the model or service that callers name.
	Name string
	// Pool is the pool that serves the route.
	Pool *ResolvedPool
	// Repeatable is false if a call may run at most once.
	Repeatable bool
	// Rules are the values that apply to this route.
	Rules Rules
}

// ResolvedPool is a pool with its kind and policy resolved.
type ResolvedPool struct {
	// Name is the pool's name.
	Name string
	// Model is the model that its engines serve.
	Model string
	// Kind describes its targets.
	Kind EngineKind
	// Policy is its routing policy.
	Policy Policy
	// Timing is the cost model of its engines; nil if unknown.
	Timing *engine.Timing
}

// Rules are the values that apply to a request of an account, after inheritance.
type Rules struct {
	// Priority is the name of the priority class.
	Priority string
	// Level is the priority level; lower levels are served first.
	Level int
	// Deadline is the longest time from the arrival of a request to its end.
	Deadline time.Duration
	// MaxPromptTokens and MaxOutputTokens bound one request, in tokens.
	MaxPromptTokens, MaxOutputTokens int64
	// MaxWaiting bounds the account's queue at one daemon.
	MaxWaiting int
	// RetryShare bounds retries, as a fraction of requests.
	RetryShare float64
	// RequestsPerSecond and PromptTokensPerSecond are limits across all daemons.
	RequestsPerSecond, PromptTokensPerSecond float64
	// Concurrent bounds running requests across all daemons.
	Concurrent int
	// Homes are the regions whose targets may run requests.
	Homes Homes
}

// Resolve validates a document that was built in memory and resolves it. On failure the
// error is of type strictyaml.Problems.
func Resolve(document *Document) (*Tree, error) { return checkAndResolve(document, nil, nil) }

// Parse decodes and validates a whole settings file and resolves it. On failure the
// error is of type strictyaml.Problems and holds every problem in the file.
func Parse(data []byte) (*Tree, error) {
	document := &Document{}
	return checkAndResolve(document, strictyaml.Decode(data, document), nil)
}

func resolve(document *Document, previous *Tree, checked *checker) *Tree {
	t := &Tree{
		document:      document,
		accounts:      map[string]*ClientAccount{},
		accountsByKey: map[KeyHash]*ClientAccount{},
		pools:         map[string]*ResolvedPool{},
		leftOut:       checked.leftOut,
		leftOutPaths:  checked.leftOutPaths,
		levels:        levelsOfRanks(document),
	}
	if previous != nil {
		t.pools = previous.pools
	} else {
		t.resolvePools()
	}
	builtin := BuiltinDefaults()
	t.anonymous = &ClientAccount{Rules: t.rules(builtin)}
	t.resolveNode(document.Tree, "/", builtin, nil)
	t.resolvePaths(previous)
	return t
}

func (t *Tree) resolvePools() {
	for name, p := range t.document.Pools {
		t.pools[name] = &ResolvedPool{
			Name:   name,
			Model:  p.Model,
			Kind:   *t.document.EngineKinds[p.Kind],
			Policy: p.Policy.withDefaults(),
			Timing: t.document.EngineKinds[p.Kind].timing(),
		}
	}
}

// timing converts the cost model of the engine to seconds; it is nil if unknown.
func (k *EngineKind) timing() *engine.Timing {
	c := k.Timing
	if c == nil || k.PrefillTokensPerSecond <= 0 {
		return nil
	}
	const (
		perMS    = 1e-3
		perKilo  = 1e-3
		perMega  = 1e-6
		minSteps = 1
	)
	return &engine.Timing{
		Step:            c.StepMS * perMS,
		PerSequence:     c.PerSequenceMS * perMS,
		PerContextToken: c.ContextMSPerK * perMS * perKilo,
		PerPromptToken:  1 / k.PrefillTokensPerSecond,
		PerPair:         c.PairsMSPerM * perMS * perMega,
		StepsPerPass:    max(minSteps, c.Stride),
	}
}

func (t *Tree) resolveNode(n *Node, path string, parent Inherited, routes map[string]*Route) {
	values := inherit(n.Inherited, parent)
	if len(n.Routes) > 0 {
		routes = maps.Clone(routes)
		if routes == nil {
			routes = map[string]*Route{}
		}
		maps.Copy(routes, n.Routes)
	}
	if n.Account != nil {
		t.addAccount(n, path, values, routes)
	}
	for _, name := range slices.Sorted(maps.Keys(n.Children)) {
		t.resolveNode(n.Children[name], childPath(path, name), values, routes)
	}
}

func (t *Tree) addAccount(n *Node, path string, values Inherited, routes map[string]*Route) {
	account := &ClientAccount{
		Path:   path,
		Rules:  t.rules(values),
		Routes: make(map[string]*ResolvedRoute, len(routes)),

		setsPriority: *values.Priority != defaultPriority,
	}
	for name, r := range routes {
		pool := t.pools[r.Pool]
		repeatable := pool.Kind.Protocol == ProtocolEngine
		if r.Repeatable != nil {
			repeatable = *r.Repeatable
		}
		account.Routes[name] = &ResolvedRoute{
			Name:       name,
			Pool:       pool,
			Repeatable: repeatable,
			Rules:      t.routeRules(r, values),
		}
	}
	for _, text := range n.Account.KeyHashes {
		var hash KeyHash
		if _, err := hex.Decode(hash[:], []byte(text)); err != nil {
			continue // The checker has already refused malformed hashes.
		}
		if t.accountsByKey[hash] != nil {
			continue // The checker has reported that an earlier account has the key.
		}
		account.keyHashes = append(account.keyHashes, hash)
		t.accountsByKey[hash] = account
	}
	t.accounts[path] = account
}

// routeRules returns the rules of a route of an account. Both lists of homes apply.
func (t *Tree) routeRules(r *Route, account Inherited) Rules {
	rules := t.rules(inherit(r.Override, account))
	if account.Homes != nil {
		rules.Homes = rules.Homes.And(homesOf(*account.Homes))
	}
	return rules
}

func (t *Tree) rules(v Inherited) Rules {
	homes := Homes(nil)
	if v.Homes != nil {
		homes = homesOf(*v.Homes)
	}
	return Rules{
		Homes:                 homes,
		Priority:              *v.Priority,
		Level:                 t.level(*v.Priority),
		Deadline:              time.Duration(*v.Deadline),
		MaxPromptTokens:       *v.MaxPromptTokens,
		MaxOutputTokens:       *v.MaxOutputTokens,
		MaxWaiting:            *v.MaxWaiting,
		RetryShare:            *v.RetryShare,
		RequestsPerSecond:     *v.Limits.RequestsPerSecond,
		PromptTokensPerSecond: *v.Limits.PromptTokensPerSecond,
		Concurrent:            *v.Limits.Concurrent,
	}
}

// defaultPriority is the priority if no node sets one, and defaultLevel its level
// if the document does not declare it.
const (
	defaultPriority = "normal"
	defaultLevel    = 1
)

func (t *Tree) level(priority string) int {
	if p := t.document.Priorities[priority]; p != nil {
		return t.levelOf(p.Level)
	}
	return defaultLevel
}

// Authenticate returns the account of an API key. The lookup is by the key's hash,
// so its timing reveals nothing about the key itself, and the hash found is compared
// again in constant time.
func (t *Tree) Authenticate(key string) (*ClientAccount, error) {
	hash := HashKey(key)
	account := t.accountsByKey[hash]
	if account == nil {
		return nil, errUnknownKey
	}
	for i := range account.keyHashes {
		if subtle.ConstantTimeCompare(account.keyHashes[i][:], hash[:]) == 1 {
			return account, nil
		}
	}
	return nil, errUnknownKey
}

var errUnknownKey = fault.New(fault.Unauthenticated,
	"the API key is not known",
	"send \"Authorization: Bearer KEY\" with a key of an account in the settings")

// CallerLimits returns the limits on callers' connections.
func (t *Tree) CallerLimits() CallerLimits { return t.document.Callers }

// Account returns the account with a path, or nil.
func (t *Tree) Account(path string) *ClientAccount { return t.accounts[path] }

// Accounts returns all accounts, sorted by path.
func (t *Tree) Accounts() []*ClientAccount {
	list := make([]*ClientAccount, 0, len(t.accounts))
	for _, path := range slices.Sorted(maps.Keys(t.accounts)) {
		list = append(list, t.accounts[path])
	}
	return list
}

// Pool returns the pool with a name, or nil.
func (t *Tree) Pool(name string) *ResolvedPool { return t.pools[name] }

// Pools returns all pools, sorted by name.
func (t *Tree) Pools() []*ResolvedPool {
	list := make([]*ResolvedPool, 0, len(t.pools))
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		list = append(list, t.pools[name])
	}
	return list
}

// EffectiveValues lists the values that apply to the node at a path, each with the
// node that sets it. If there is no such node, the error names the nearest existing
// ancestor and its children.
func (t *Tree) EffectiveValues(path string) ([]EffectiveValue, error) {
	chain := []*Node{t.document.Tree}
	paths := []string{"/"}
	for _, name := range strings.FieldsFunc(path, func(r rune) bool { return r == '/' }) {
		last := len(chain) - 1
		child := chain[last].Children[name]
		if child == nil {
			known := slices.Sorted(maps.Keys(chain[last].Children))
			return nil, fault.New(fault.NoRoute,
				"there is no node "+childPath(paths[last], name)+" in the tree",
				"nodes under "+paths[last]+": "+strings.Join(known, ", "))
		}
		chain = append(chain, child)
		paths = append(paths, childPath(paths[last], name))
	}
	return effectiveValues(chain, paths), nil
}

func childPath(parent, name string) string {
	if parent == "/" {
		return "/" + name
	}
	return parent + "/" + name
}
