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

// HashKey hashes an API key as callers send it.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Tree is a checked settings document, resolved for fast lookups.
type Tree struct {
	document      *Document
	accounts      map[string]*ClientAccount
	accountsByKey map[KeyHash]*ClientAccount
	pools         map[string]*ResolvedPool
	pathsByPrefix map[pathKey]*ResolvedPath
	// byRoute holds the resolved path routes by their name.
	pathsByName map[string]*ResolvedPath

	anonymous *ClientAccount
}

// ClientAccount is an account with every value resolved.
type ClientAccount struct {
	// Path is the account's place in the tree, such as "/desks/north".
	Path string
	// Rules are the account's values before any route's override.
	Rules Rules
	// Routes are the routes it may use, by name.
	Routes    map[string]*ResolvedRoute
	keyHashes []KeyHash
	// setsPriority is true where the account or a node above it sets a priority.
	setsPriority bool
}

// ResolvedRoute is a route as one account sees it.
type ResolvedRoute struct {
	// Name is what callers write as model or service.
	Name string
	// Pool is where it leads.
	Pool *ResolvedPool
	// Repeatable is false where a call may run at most once.
	Repeatable bool
	// Rules are the values in force on this route.
	Rules Rules
}

// ResolvedPool is a pool with its kind and the defaults of its policy filled in.
type ResolvedPool struct {
	// Name is the pool's name.
	Name string
	// Model is the model its engines serve.
	Model string
	// Kind describes its targets.
	Kind EngineKind
	// Policy is its routing policy.
	Policy Policy
	// Timing is what its engines' work costs; nil where it is not known.
	Timing *engine.Timing
}

// Rules are the inherited values in plain types.
type Rules struct {
	// Priority is the name of the class of urgency.
	Priority string
	// Level is its level; lower goes first.
	Level int
	// Deadline bounds a request from arrival to end.
	Deadline time.Duration
	// MaxPromptTokens and MaxOutputTokens bound one request, in tokens.
	MaxPromptTokens, MaxOutputTokens int64
	// MaxWaiting bounds the account's queue at one daemon.
	MaxWaiting int
	// RetryShare bounds retries as a share of requests.
	RetryShare float64
	// RequestsPerSecond and PromptTokensPerSecond are rates over the fleet.
	RequestsPerSecond, PromptTokensPerSecond float64
	// Concurrent bounds running requests over the fleet.
	Concurrent int
}

// Resolve checks a document that was built by a program and resolves it. On failure
// the error is of type strictyaml.Problems.
func Resolve(document *Document) (*Tree, error) { return checkAndResolve(document, nil, nil) }

// Parse checks a settings file whole and resolves it. On failure the error is
// of type strictyaml.Problems and holds every problem in the file.
func Parse(data []byte) (*Tree, error) {
	document := &Document{}
	return checkAndResolve(document, strictyaml.Decode(data, document), nil)
}

func resolve(document *Document, before *Tree) *Tree {
	t := &Tree{
		document:      document,
		accounts:      map[string]*ClientAccount{},
		accountsByKey: map[KeyHash]*ClientAccount{},
		pools:         map[string]*ResolvedPool{},
	}
	if before != nil {
		t.pools = before.pools
	} else {
		t.resolvePools()
	}
	builtin := BuiltinDefaults()
	t.anonymous = &ClientAccount{Rules: t.rules(builtin)}
	t.resolveNode(document.Tree, "/", builtin, nil)
	t.resolvePaths(before)
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

// timing turns the costs of an engine's work into seconds.
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
	for name, child := range n.Children {
		t.resolveNode(child, childPath(path, name), values, routes)
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
			Rules:      t.rules(inherit(r.Override, values)),
		}
	}
	for _, text := range n.Account.KeyHashes {
		var hash KeyHash
		if _, err := hex.Decode(hash[:], []byte(text)); err != nil {
			continue // The check has refused such a file already.
		}
		account.keyHashes = append(account.keyHashes, hash)
		t.accountsByKey[hash] = account
	}
	t.accounts[path] = account
}

func (t *Tree) rules(v Inherited) Rules {
	return Rules{
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

// defaultPriority is the priority where no node sets one, and defaultLevel its
// level where it is not declared.
const (
	defaultPriority = "normal"
	defaultLevel    = 1
)

func (t *Tree) level(priority string) int {
	if p := t.document.Priorities[priority]; p != nil {
		return p.Level
	}
	return defaultLevel
}

// Authenticate finds the account of an API key. The lookup is by the key's
// hash, so its timing says nothing about the key itself, and the hash found is
// compared once more in constant time.
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

// Callers are the limits of callers' connections.
func (t *Tree) CallerLimits() CallerLimits { return t.document.Callers }

// Account finds an account by its path, or returns nil.
func (t *Tree) Account(path string) *ClientAccount { return t.accounts[path] }

// Accounts lists all accounts by path.
func (t *Tree) Accounts() []*ClientAccount {
	list := make([]*ClientAccount, 0, len(t.accounts))
	for _, path := range slices.Sorted(maps.Keys(t.accounts)) {
		list = append(list, t.accounts[path])
	}
	return list
}

// Pool finds a pool by name, or returns nil.
func (t *Tree) Pool(name string) *ResolvedPool { return t.pools[name] }

// Pools lists the pools by name.
func (t *Tree) Pools() []*ResolvedPool {
	list := make([]*ResolvedPool, 0, len(t.pools))
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		list = append(list, t.pools[name])
	}
	return list
}

// Effective lists the values in force at a path of the tree, each with the node
// that sets it. The error names the nearest part of the path that exists.
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
