package settings

import (
	"fmt"
	"maps"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"doorstack.dev/core/rendezvous"
	"doorstack.dev/core/strictyaml"
)

// CallKind says whether a call that is forwarded unchanged may be sent more than once.
type CallKind string

// The kinds of forwarded calls.
const (
	// CallSafe calls may run any number of times.
	CallSafe CallKind = "safe"
	// CallUnsafe calls may run at most once.
	CallUnsafe CallKind = "unsafe"
	// CallStreaming calls are answered by a stream of events. They may run at most
	// once, unless another target may resume the stream.
	CallStreaming CallKind = "streaming"
)

// PathRoute forwards calls with a host name and a path prefix to targets, with
// method, path and body unchanged.
type PathRoute struct {
	strictyaml.Source
	// Host is the host name that callers use, without a port.
	Host string `yaml:"host"`
	// Prefix is the path prefix, which starts and ends with a slash. Among the routes
	// of a host, the longest matching prefix wins.
	Prefix string `yaml:"prefix"`
	// Pools maps the names of the pools that serve the calls to their weights.
	Pools map[string]float64 `yaml:"pools"`
	// Kind says whether calls may be repeated.
	Kind CallKind `yaml:"kind"`
	// Resumable is true if another target may continue a stream after its last event.
	Resumable bool `yaml:"resumable"`
	// Timeout is the longest time that a caller waits.
	Timeout strictyaml.Duration `yaml:"timeout"`
	// Goal is the desired time to the answer, or to the first event of a stream.
	Goal strictyaml.Duration `yaml:"goal"`
	// GapGoal is the desired longest pause between two events of a stream.
	GapGoal strictyaml.Duration `yaml:"gap_goal"`
	// MaxAttempts is the most targets to which one call is sent.
	MaxAttempts int `yaml:"max_attempts"`
	// Level is the priority level for accounts that set no priority.
	Level int `yaml:"level"`
	// Open is true if calls need no API key.
	Open bool `yaml:"open"`
	// Homes are the regions whose targets may run the calls; an empty list allows all regions. The
	// homes of the account apply as well.
	Homes []string `yaml:"homes"`
	// Undecoded says why the rest of the route could not be decoded; empty if it was.
	Undecoded string `yaml:"-"`
}

// ResolvedPath is a path route with its pools resolved.
type ResolvedPath struct {
	Name, Host, Prefix string
	Kind               CallKind
	Resumable, Open    bool
	// Timeout, Goal and GapGoal are as in PathRoute.
	Timeout, Goal, GapGoal time.Duration
	MaxAttempts, Level     int
	// Homes are the route's own, without those of the account.
	Homes Homes
	// LeftOut means that the route cannot be used because of a problem in it. It is matched all the same, so that
	// its calls do not go to the pools of a route with a shorter prefix.
	LeftOut bool

	weightedRoutes []weightedRoute
}

// weightedRoute is one of the pools among which a path route divides its calls.
type weightedRoute struct {
	route            *ResolvedRoute
	cumulativeWeight float64 // sum of the weights up to and including this one
}

// Repeatable reports whether a call of the route may run more than once.
func (p *ResolvedPath) Repeatable() bool {
	return p.Kind == CallSafe || p.Kind == CallStreaming && p.Resumable
}

// Route chooses the pool for the call with the given ID, in proportion to the
// weights, and returns its route with the rules of the account. The level is p's if
// the account sets no priority, and the homes are those that both allow.
func (p *ResolvedPath) Route(id string, account *ClientAccount) *ResolvedRoute {
	route := *p.pickRoute(id)
	route.Rules = account.Rules
	route.Rules.Homes = p.Homes.And(account.Rules.Homes)
	if !account.setsPriority {
		route.Rules.Level = p.Level
	}
	return &route
}

// scoreRange is the highest rendezvous score plus one, 2^64.
const scoreRange = float64(1<<63) * 2

func (p *ResolvedPath) pickRoute(id string) *ResolvedRoute {
	last := len(p.weightedRoutes) - 1
	if last == 0 {
		return p.weightedRoutes[0].route
	}
	at := float64(rendezvous.Score(p.Name, id)) / scoreRange * p.weightedRoutes[last].cumulativeWeight
	for _, b := range p.weightedRoutes[:last] {
		if at < b.cumulativeWeight {
			return b.route
		}
	}
	return p.weightedRoutes[last].route
}

// Anonymous returns the account of calls that need no API key.
func (t *Tree) Anonymous() *ClientAccount { return t.anonymous }

// pathKey is the key of the index of path routes.
type pathKey struct {
	host, prefix string
}

// MatchPath returns the route of a host name and path with the longest matching prefix, or nil.
// Prefixes end with a slash, so it does one lookup for each slash of the path, regardless of
// the number of routes. A port in host is ignored. The path is the one that is forwarded: escapes in it
// are not decoded, and dot segments are names like any other.
func (t *Tree) MatchPath(host, path string) *ResolvedPath {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.ToLower(host)
	for end := len(path); ; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if p := t.pathsByPrefix[pathKey{host, path[:slash+1]}]; p != nil {
			return p
		}
		end = slash
	}
}

// resolvePaths resolves the path routes and indexes them. If two have the same host and
// prefix, the first by name wins. Routes unchanged since the previous tree are reused.
func (t *Tree) resolvePaths(previous *Tree) {
	t.pathsByPrefix = make(map[pathKey]*ResolvedPath, len(t.document.Paths))
	t.pathsByName = make(map[string]*ResolvedPath, len(t.document.Paths))
	for name, r := range t.document.Paths {
		var p *ResolvedPath
		if previous != nil && previous.document.Paths[name] == r && previous.levelOf(r.Level) == t.levelOf(r.Level) {
			p = previous.pathsByName[name]
		} else {
			p = t.resolvePath(name, r)
		}
		t.pathsByName[name] = p
		t.indexPath(p)
	}
	for name, r := range t.leftOutPaths {
		p := &ResolvedPath{Name: name, Host: strings.ToLower(r.Host), Prefix: "/" + strings.Trim(r.Prefix, "/") + "/", LeftOut: true}
		if p.Prefix == "//" {
			p.Prefix = "/"
		}
		t.indexPath(p)
	}
}

// NeedsKey reports whether calls of a path need an API key.
func (t *Tree) NeedsKey(p *ResolvedPath) bool { return !p.Open && !t.document.KeysUnused }

// UnreachablePaths returns the names of the paths that need an API key while no account has one, sorted.
func (t *Tree) UnreachablePaths() []string {
	if len(t.accountsByKey) > 0 {
		return nil
	}
	var names []string
	for name, p := range t.pathsByName {
		if t.NeedsKey(p) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// indexPath makes a path known by its prefix as the settings spell it, and as callers do, who escape it.
func (t *Tree) indexPath(p *ResolvedPath) {
	for _, prefix := range []string{p.Prefix, escapedPath(p.Prefix)} {
		key := pathKey{p.Host, prefix}
		if other := t.pathsByPrefix[key]; other == nil || p.Name < other.Name {
			t.pathsByPrefix[key] = p
		}
	}
}

// escapedPath returns a path as it is written in a request. A path that has escapes already is returned as it is.
func escapedPath(path string) string {
	if strings.Contains(path, "%") {
		return path
	}
	return (&url.URL{Path: path}).EscapedPath()
}

func (t *Tree) resolvePath(name string, r *PathRoute) *ResolvedPath {
	p := &ResolvedPath{
		Name: name, Host: strings.ToLower(r.Host), Prefix: r.Prefix,
		Kind: r.Kind, Resumable: r.Resumable, Open: r.Open,
		Timeout: time.Duration(r.Timeout), Goal: time.Duration(r.Goal), GapGoal: time.Duration(r.GapGoal),
		MaxAttempts: r.MaxAttempts, Level: t.levelOf(r.Level), Homes: homesOf(r.Homes),
	}
	sum := 0.0
	for _, pool := range slices.Sorted(maps.Keys(r.Pools)) {
		sum += r.Pools[pool]
		route := &ResolvedRoute{Name: name, Pool: t.pools[pool], Repeatable: p.Repeatable()}
		p.weightedRoutes = append(p.weightedRoutes, weightedRoute{route, sum})
	}
	return p
}

// changedPaths lists the path routes that are not the same pointer as in the previous tree.
func (c *checker) changedPaths() []string {
	var names []string
	for name, r := range c.document.Paths {
		if c.previous == nil || c.previous.document.Paths[name] != r {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// checkPath validates a path route.
func (c *checker) checkPath(r *PathRoute, path string) {
	if r.Undecoded != "" {
		c.problems.Add(r.At, path, r.Undecoded, "correct the entry")
		return
	}
	if r.Host == "" {
		c.problems.Add(r.KeyPosition("host"), path+".host", "is missing", "write the host name that callers use")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.problems.Add(r.KeyPosition("prefix"), path+".prefix", fmt.Sprintf("%q is not a prefix", r.Prefix), "begin and end it with a slash")
	}
	if r.Kind != CallSafe && r.Kind != CallUnsafe && r.Kind != CallStreaming {
		c.problems.Add(r.KeyPosition("kind"), path+".kind", fmt.Sprintf("%q is not a kind of call", r.Kind), "write safe, unsafe or streaming")
	}
	if r.Timeout <= 0 {
		c.problems.Add(r.KeyPosition("timeout"), path+".timeout", "is not above zero", "write the longest time that a caller waits")
	}
	if r.MaxAttempts < 1 {
		c.problems.Add(r.KeyPosition("max_attempts"), path+".max_attempts", "is below one", "write 1 for calls that must not be sent twice")
	}
	if c.levelOutOfRange(r.Level) {
		c.problems.Add(r.KeyPosition("level"), path+".level", "is out of range", fmt.Sprintf("write 0 (first) to %d (last)", maxLevel))
	}
	c.checkHomes(r.Homes, func(message, remedy string) { c.problems.Add(r.KeyPosition("homes"), path+".homes", message, remedy) })
	c.checkPathPools(r, path)
}

func (c *checker) checkPathPools(r *PathRoute, path string) {
	sum := 0.0
	for _, pool := range slices.Sorted(maps.Keys(r.Pools)) {
		if c.document.Pools[pool] == nil {
			c.problems.Add(r.KeyPosition("pools"), path+".pools."+pool, fmt.Sprintf("there is no pool %q", pool), declaredNames(c.document.Pools))
		}
		if r.Pools[pool] < 0 {
			c.problems.Add(r.KeyPosition("pools"), path+".pools."+pool, "is negative", "write a weight of zero or more")
		}
		sum += r.Pools[pool]
	}
	if sum <= 0 {
		c.problems.Add(r.KeyPosition("pools"), path+".pools", "no pool has a weight above zero", "write at least one pool and its weight")
	}
}
