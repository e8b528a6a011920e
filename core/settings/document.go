// Package settings defines the operators' settings document: a tree of client
// accounts with priorities, limits, deadlines and routes to pools of targets (model
// engines or plain services). Each value is written once and inherited by all nodes
// below that do not override it.
//
// Parse validates a whole document and returns either a Tree or every problem in
// it, with line and column. The result depends on the document alone, so all
// daemons accept or reject the same revision. A Tree is immutable after Parse and
// safe for concurrent use.
package settings

import "doorstack.dev/core/strictyaml"

// Document is the decoded settings file, before validation.
type Document struct {
	strictyaml.Source
	// EngineKinds are the kinds of target, by name.
	EngineKinds map[string]*EngineKind `yaml:"engine_kinds"`
	// Pools are the groups of targets that routes refer to, by name.
	Pools map[string]*Pool `yaml:"pools"`
	// Priorities are the priority classes, by name.
	Priorities map[string]*Priority `yaml:"priorities"`
	// Paths are the routes for calls that are forwarded unchanged, by name.
	Paths map[string]*PathRoute `yaml:"paths"`
	// Callers limits the connections of callers.
	Callers CallerLimits `yaml:"callers"`
	// Tree is the root node of the account tree.
	Tree *Node `yaml:"tree"`
	// KeysUnused means that callers have no API keys, so that all paths are open. The settings file cannot set it.
	KeysUnused bool `yaml:"-"`
	// PartlyUsable means that entries with problems are left out instead of refusing the document: whoever
	// published it has checked it already. The levels in it are ranks, which have no maximum; they are mapped to
	// levels in their order. The settings file cannot set it.
	PartlyUsable bool `yaml:"-"`
	// Undecoded are the problems of entries that are missing because they cannot be decoded.
	Undecoded strictyaml.Problems `yaml:"-"`
}

// CallerLimits limit the connections of callers of path routes.
type CallerLimits struct {
	strictyaml.Source
	// IdleTimeout is the longest time a connection may be idle; zero means the default.
	IdleTimeout strictyaml.Duration `yaml:"idle_timeout"`
	// MaxBody is the largest request body in bytes; zero means the default.
	MaxBody int64 `yaml:"max_body"`
	// MaxHead is the largest head of a request in bytes; zero means the default.
	MaxHead int64 `yaml:"max_head"`
	// HeadTimeout is the longest time from the first byte of a head to its last; zero means the default.
	HeadTimeout strictyaml.Duration `yaml:"head_timeout"`
}

// TargetProtocol is the protocol that the targets of a kind speak.
type TargetProtocol string

// The target protocols.
const (
	// ProtocolEngine is a model engine: generate, cancel, reserve, KV cache, orders (to load
	// models or to change the target's role).
	ProtocolEngine TargetProtocol = "engine"
	// ProtocolService is a plain HTTP service.
	ProtocolService TargetProtocol = "service"
)

// EngineKind describes a kind of target, as the operator knows it.
type EngineKind struct {
	strictyaml.Source
	// Protocol is "engine" or "service".
	Protocol TargetProtocol `yaml:"protocol"`
	// ChecksFencing is true if the targets refuse orders with an outdated fencing token.
	ChecksFencing bool `yaml:"checks_fencing"`
	// MemoryTokens is the KV cache size of one target, in tokens.
	MemoryTokens int64 `yaml:"memory_tokens"`
	// BytesPerToken is the memory of one token in the KV cache, in bytes.
	BytesPerToken int64 `yaml:"bytes_per_token"`
	// PrefillTokensPerSecond is the prefill speed of one target.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second"`
	// MaxConcurrent is the most concurrent calls of a target; zero means no limit.
	MaxConcurrent int `yaml:"max_concurrent"`
	// ColdStart is how long a target is cold after its start. While it is cold, all daemons together
	// may send it ColdRequestsPerSecond, and it crashes well above that; zero means no limit.
	ColdStart             strictyaml.Duration `yaml:"cold_start"`
	ColdRequestsPerSecond float64             `yaml:"cold_requests_per_second"`
	// HealthPath is the path of the health check of targets that take forwarded calls; empty if they have none.
	HealthPath string `yaml:"health_path"`
	// Timing is the cost model of an engine; nil if unknown.
	Timing *EngineTiming `yaml:"timing"`
}

// EngineTiming is the cost model of an engine, which works in passes: a pass with
// decoding requests consists of Stride steps, and a pass without any consists of
// prefill work alone.
type EngineTiming struct {
	strictyaml.Source
	// StepMS is the base time of a step, in milliseconds.
	StepMS float64 `yaml:"step_ms"`
	// PerSequenceMS is added to a step for each decoding request.
	PerSequenceMS float64 `yaml:"per_sequence_ms"`
	// ContextMSPerK is added to a step per 1,000 context tokens of a decoding request.
	ContextMSPerK float64 `yaml:"context_ms_per_k"`
	// PairsMSPerM is the prefill time per million pairs of a prompt token and an earlier one.
	PairsMSPerM float64 `yaml:"pairs_ms_per_m"`
	// Stride is the number of steps of a pass, and of tokens in a stream event.
	Stride int64 `yaml:"stride"`
}

// Pool is a group of interchangeable targets.
type Pool struct {
	strictyaml.Source
	// Kind names an entry of engine_kinds.
	Kind string `yaml:"kind"`
	// Model is the model that the engines of the pool serve.
	Model string `yaml:"model"`
	// Policy configures routing and queueing in this pool.
	Policy Policy `yaml:"policy"`
}

// Policy is the routing policy of a pool. Zero values take the defaults of
// DefaultPolicy. Operators may tune it to prefer short prompts or to treat all
// prompt lengths alike.
type Policy struct {
	strictyaml.Source
	// LongPromptTokens is the length in tokens from which a prompt counts as long.
	LongPromptTokens int64 `yaml:"long_prompt_tokens"`
	// LongShare is the fraction of the pool's targets, 0 to 1, that may run long
	// prefills at one time while short requests wait.
	LongShare float64 `yaml:"long_share"`
	// ShortRoom multiplies the number of targets that short prompts need on average;
	// that many are kept free of long prefills, unless LongShare keeps fewer free.
	ShortRoom float64 `yaml:"short_room"`
	// LongPerTarget is the most long prompts in prefill at once on one target.
	LongPerTarget int `yaml:"long_per_target"`
	// MemoryHeadroom is the fraction of a target's memory kept free for short prompts.
	MemoryHeadroom float64 `yaml:"memory_headroom"`
	// PrefixWeight scales the time saved by a cached prefix; 0 takes the default.
	PrefixWeight float64 `yaml:"prefix_weight"`
	// RemotePenalty is the cost in time of choosing a target in another data centre.
	RemotePenalty strictyaml.Duration `yaml:"remote_penalty"`
	// AgeingPerLevel is the wait that raises a request by one priority level.
	AgeingPerLevel strictyaml.Duration `yaml:"ageing_per_level"`
	// MaxBacklog is the prefill time queued at a target above which requests wait
	// in the daemon, where their order can still change.
	MaxBacklog strictyaml.Duration `yaml:"max_backlog"`
}

// Priority is a priority class. Level 0 is served first.
type Priority struct {
	strictyaml.Source
	// Level orders the classes; lower levels are served first.
	Level int `yaml:"level"`
}

// Node is a node of the tree: a group, or a client account.
type Node struct {
	strictyaml.Source
	Inherited
	// Routes are usable by the accounts at this node and below, by name.
	Routes map[string]*Route `yaml:"routes"`
	// Account makes the node a client account if it is set.
	Account *Account `yaml:"account"`
	// Children are the nodes below, by name.
	Children map[string]*Node `yaml:"children"`
}

// Account marks a node as a client account.
type Account struct {
	strictyaml.Source
	// KeyHashes are the SHA-256 hashes of its API keys, in hexadecimal. Two
	// hashes allow a key to be rotated without downtime.
	KeyHashes []string `yaml:"key_hashes"`
}

// Route maps a name that callers use to a pool.
type Route struct {
	strictyaml.Source
	// Pool names an entry of pools.
	Pool string `yaml:"pool"`
	// Repeatable is false for calls that may run at most once. The default is
	// true for engines and false for services.
	Repeatable *bool `yaml:"repeatable"`
	// Override replaces inherited values for this route only.
	Override Inherited `yaml:"override"`
}

// Inherited holds the values that a node passes to all nodes below it. A nil field
// is inherited from the nearest ancestor that sets it, or from BuiltinDefaults.
type Inherited struct {
	// Priority names an entry of priorities.
	Priority *string `yaml:"priority"`
	// Deadline is the longest time from the arrival of a request to its end.
	Deadline *strictyaml.Duration `yaml:"deadline"`
	// MaxPromptTokens is the longest prompt that is accepted.
	MaxPromptTokens *int64 `yaml:"max_prompt_tokens"`
	// MaxOutputTokens is the longest output, and the default if a request sets none.
	MaxOutputTokens *int64 `yaml:"max_output_tokens"`
	// MaxWaiting is the most queued requests of an account at one daemon.
	MaxWaiting *int `yaml:"max_waiting"`
	// RetryShare is the fraction of an account's requests that may be retries.
	RetryShare *float64 `yaml:"retry_share"`
	// Homes are the regions whose targets may run the requests; an empty list allows all regions.
	Homes *[]string `yaml:"homes"`
	// Limits apply to all daemons together.
	Limits Limits `yaml:"limits"`
}

// Limits bound the use by one client account across all daemons.
type Limits struct {
	// RequestsPerSecond is the highest request rate.
	RequestsPerSecond *float64 `yaml:"requests_per_second"`
	// PromptTokensPerSecond is the highest rate of prompt tokens.
	PromptTokensPerSecond *float64 `yaml:"prompt_tokens_per_second"`
	// Concurrent is the most requests that run at one time.
	Concurrent *int `yaml:"concurrent"`
}
