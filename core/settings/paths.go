package settings

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"doorstack.dev/core/rendezvous"
	"doorstack.dev/core/strictyaml"
)

// CallKind says what may be repeated of a call that is forwarded unchanged.
type CallKind string

// The kinds of forwarded calls.
const (
	// CallSafe calls may run any number of times.
	CallSafe CallKind = "safe"
	// CallUnsafe calls may run at most once.
	CallUnsafe CallKind = "unsafe"
	// CallStreaming calls are answered by a stream of events. They may run at most
	// once, unless the stream may be resumed elsewhere.
	CallStreaming CallKind = "streaming"
)

// PathRoute leads calls of a host name and a path prefix to targets, which get
// method, path and body unchanged.
type PathRoute struct {
	strictyaml.Source
	// Host is the host name that callers write; without a port.
	Host string `yaml:"host"`
	// Prefix begins the paths of the route. It starts and ends with a slash; of the
	// routes of a host the one with the longest matching prefix is taken.
	Prefix string `yaml:"prefix"`
	// Pools are the pools that calls go to, each with its weight.
	Pools map[string]float64 `yaml:"pools"`
	// Kind says what may be repeated.
	Kind CallKind `yaml:"kind"`
	// Resumable streams may go on at another target after their last event.
	Resumable bool `yaml:"resumable"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout strictyaml.Duration `yaml:"timeout"`
	// Goal is the time to the answer, or to the first event of a stream.
	Goal strictyaml.Duration `yaml:"goal"`
	// GapGoal is the longest pause between two events of a stream.
	GapGoal strictyaml.Duration `yaml:"gap_goal"`
	// MaxAttempts is the most targets that one call is sent to.
	MaxAttempts int `yaml:"max_attempts"`
	// Level is the priority level, for accounts that set no priority of their own.
	Level int `yaml:"level"`
	// Open routes need no API key.
	Open bool `yaml:"open"`
}

// ResolvedPath is a path route with its pools.
type ResolvedPath struct {
	Name, Host, Prefix string
	Kind               CallKind
	Resumable, Open    bool
	// Timeout, Goal and GapGoal are as in PathRoute.
	Timeout, Goal, GapGoal time.Duration
	MaxAttempts, Level     int

	weightedRoutes []weightedRoute
}

// weightedRoute is one of the pools that a path route's calls are divided among.
type weightedRoute struct {
	route            *ResolvedRoute
	cumulativeWeight float64 // sum of the weights up to this one
}

// Repeatable tells whether a call of the route may run more than once.
func (p *ResolvedPath) Repeatable() bool {
	return p.Kind == CallSafe || p.Kind == CallStreaming && p.Resumable
}

// Route picks the pool for a call by its id, in proportion to the weights, and
// returns the route as the account sees it.
func (p *ResolvedPath) Route(id string, account *ClientAccount) *ResolvedRoute {
	route := *p.pickRoute(id)
	route.Rules = account.Rules
	if !account.setsPriority {
		route.Rules.Level = p.Level
	}
	return &route
}

// scoreRange is one above the highest rendezvous score, as a float.
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

// Anonymous is the account of calls that need no key.
func (t *Tree) Anonymous() *ClientAccount { return t.anonymous }

// pathKey is what calls are looked up by.
type pathKey struct {
	host, prefix string
}

// Path finds the route of a host name and path: the longest prefix of the host. Prefixes end
// with a slash, so the path is tried up to each of its slashes, which does not grow with the
// number of routes.
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

// resolvePaths resolves the path routes and indexes them. Of two with one prefix, that with
// the first name is taken.
func (t *Tree) resolvePaths(before *Tree) {
	t.pathsByPrefix = make(map[pathKey]*ResolvedPath, len(t.document.Paths))
	t.pathsByName = make(map[string]*ResolvedPath, len(t.document.Paths))
	for name, r := range t.document.Paths {
		var p *ResolvedPath
		if before != nil && before.document.Paths[name] == r {
			p = before.pathsByName[name]
		} else {
			p = t.resolvePath(name, r)
		}
		t.pathsByName[name] = p
		key := pathKey{p.Host, p.Prefix}
		if other := t.pathsByPrefix[key]; other == nil || name < other.Name {
			t.pathsByPrefix[key] = p
		}
	}
}

func (t *Tree) resolvePath(name string, r *PathRoute) *ResolvedPath {
	p := &ResolvedPath{
		Name: name, Host: strings.ToLower(r.Host), Prefix: r.Prefix,
		Kind: r.Kind, Resumable: r.Resumable, Open: r.Open,
		Timeout: time.Duration(r.Timeout), Goal: time.Duration(r.Goal), GapGoal: time.Duration(r.GapGoal),
		MaxAttempts: r.MaxAttempts, Level: r.Level,
	}
	sum := 0.0
	for _, pool := range slices.Sorted(maps.Keys(r.Pools)) {
		sum += r.Pools[pool]
		route := &ResolvedRoute{Name: name, Pool: t.pools[pool], Repeatable: p.Repeatable()}
		p.weightedRoutes = append(p.weightedRoutes, weightedRoute{route, sum})
	}
	return p
}

// changedPaths lists the path routes that are not the very same as in the earlier tree.
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

// path checks a path route.
func (c *checker) checkPath(r *PathRoute, path string) {
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
		c.problems.Add(r.KeyPosition("timeout"), path+".timeout", "is not above zero", "write the longest time that a caller is kept waiting")
	}
	if r.MaxAttempts < 1 {
		c.problems.Add(r.KeyPosition("max_attempts"), path+".max_attempts", "is below one", "write 1 for calls that are never sent twice")
	}
	if r.Level < 0 || r.Level > maxLevel {
		c.problems.Add(r.KeyPosition("level"), path+".level", "is out of range", fmt.Sprintf("write 0 (first) to %d (last)", maxLevel))
	}
	c.checkPathPools(r, path)
}

func (c *checker) checkPathPools(r *PathRoute, path string) {
	sum := 0.0
	for _, pool := range slices.Sorted(maps.Keys(r.Pools)) {
		if c.document.Pools[pool] == nil {
			c.problems.Add(r.KeyPosition("pools"), path+".pools."+pool, fmt.Sprintf("there is no pool %q", pool), declaredNames(c.document.Pools))
		}
		if r.Pools[pool] < 0 {
			c.problems.Add(r.KeyPosition("pools"), path+".pools."+pool, "is below zero", "write a weight of zero or more")
		}
		sum += r.Pools[pool]
	}
	if sum <= 0 {
		c.problems.Add(r.KeyPosition("pools"), path+".pools", "no pool has a weight above zero", "write at least one pool and its weight")
	}
}
