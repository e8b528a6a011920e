// Package settings is the operators' tree: client accounts, priorities, routes
// to pools of targets, limits and deadlines, each written once and inherited by
// everything below unless a node says otherwise.
//
// Parse checks a whole document and returns either a Tree or every problem in
// it, with line and column. The check depends on the document alone, so all
// daemons reach the same verdict on the same revision. A Tree never changes
// after Parse and is safe for use by any number of goroutines.
package settings

import "doorstack.dev/core/strictyaml"

// Document is the settings file as written.
type Document struct {
	strictyaml.Source
	// EngineKinds describes the kinds of target, by name.
	EngineKinds map[string]*EngineKind `yaml:"engine_kinds"`
	// Pools are the groups of targets that routes lead to, by name.
	Pools map[string]*Pool `yaml:"pools"`
	// Priorities are the classes of urgency, by name.
	Priorities map[string]*Priority `yaml:"priorities"`
	// Paths are the routes of calls that are forwarded unchanged, by name.
	Paths map[string]*PathRoute `yaml:"paths"`
	// Callers bounds what callers may do with their connections.
	Callers CallerLimits `yaml:"callers"`
	// Tree is the root node of the account tree.
	Tree *Node `yaml:"tree"`
}

// CallerLimits bound the connections of callers of path routes.
type CallerLimits struct {
	strictyaml.Source
	// IdleTimeout is how long a connection may be idle; zero means the default.
	IdleTimeout strictyaml.Duration `yaml:"idle_timeout"`
	// MaxBody is the largest body in bytes; zero means the default.
	MaxBody int64 `yaml:"max_body"`
}

// TargetProtocol says how the targets of a kind are spoken to.
type TargetProtocol string

// The protocols of targets.
const (
	// ProtocolEngine is a model engine: generate, cancel, reserve, KV, orders.
	ProtocolEngine TargetProtocol = "engine"
	// ProtocolService is a plain HTTP service.
	ProtocolService TargetProtocol = "service"
)

// EngineKind is what the operator knows of a kind of target.
type EngineKind struct {
	strictyaml.Source
	// Protocol is engine or service.
	Protocol TargetProtocol `yaml:"protocol"`
	// ChecksFencing is true where targets refuse an order with an old number.
	ChecksFencing bool `yaml:"checks_fencing"`
	// MemoryTokens is the KV cache of one target, in tokens.
	MemoryTokens int64 `yaml:"memory_tokens"`
	// BytesPerToken is the memory that one token of KV cache takes.
	BytesPerToken int64 `yaml:"bytes_per_token"`
	// PrefillTokensPerSecond is the speed at which a target reads a prompt.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second"`
	// MaxConcurrent is the most calls a target takes at once; zero: no bound.
	MaxConcurrent int `yaml:"max_concurrent"`
	// Timing is what an engine's work costs; nil where it is not known.
	Timing *EngineTiming `yaml:"timing"`
}

// EngineTiming describes the time that an engine takes. An engine works in passes:
// a pass with requests that write consists of Stride steps, and a pass without any
// only of what there is to read.
type EngineTiming struct {
	strictyaml.Source
	// StepMS is the time of a step, in milliseconds.
	StepMS float64 `yaml:"step_ms"`
	// PerSequenceMS is added to a step for each request that writes.
	PerSequenceMS float64 `yaml:"per_sequence_ms"`
	// ContextMSPerK is added to a step for 1,000 tokens of a writing request's context.
	ContextMSPerK float64 `yaml:"context_ms_per_k"`
	// PairsMSPerM is the time for a million pairs of a prompt token and one before it.
	PairsMSPerM float64 `yaml:"pairs_ms_per_m"`
	// Stride is the number of steps of a pass, and the tokens of a stream's event.
	Stride int64 `yaml:"stride"`
}

// Pool is a group of equal targets.
type Pool struct {
	strictyaml.Source
	// Kind names an entry of engine_kinds.
	Kind string `yaml:"kind"`
	// Model is the model that the engines of the pool serve.
	Model string `yaml:"model"`
	// Policy tunes routing and queueing in this pool.
	Policy Policy `yaml:"policy"`
}

// Policy is the routing policy of a pool. Zero values take the defaults that
// DefaultPolicy gives. Two settings of it serve an operator who weighs short
// prompts most and one who weighs all lengths.
type Policy struct {
	strictyaml.Source
	// LongPromptTokens is the length from which a prompt counts as long.
	LongPromptTokens int64 `yaml:"long_prompt_tokens"`
	// LongShare is the part of the pool's targets, 0 to 1, that may hold long
	// prefills at one time while short requests wait.
	LongShare float64 `yaml:"long_share"`
	// ShortRoom is how many times the targets that short prompts need on average
	// are kept free of long ones, where that is less than LongShare leaves.
	ShortRoom float64 `yaml:"short_room"`
	// LongPerTarget is the most long prompts in prefill on one target.
	LongPerTarget int `yaml:"long_per_target"`
	// MemoryHeadroom is the part of a target's memory kept free for short ones.
	MemoryHeadroom float64 `yaml:"memory_headroom"`
	// PrefixWeight scales the time saved by a cached prefix; 0 ignores caches.
	PrefixWeight float64 `yaml:"prefix_weight"`
	// RemotePenalty is the cost of a target in another data centre.
	RemotePenalty strictyaml.Duration `yaml:"remote_penalty"`
	// AgeingPerLevel is the wait that lifts a request by one priority level.
	AgeingPerLevel strictyaml.Duration `yaml:"ageing_per_level"`
	// MaxBacklog is the prefill time queued at a target above which work waits
	// in the daemon, where order can still be changed.
	MaxBacklog strictyaml.Duration `yaml:"max_backlog"`
}

// Priority is a class of urgency. Level 0 is served first.
type Priority struct {
	strictyaml.Source
	// Level orders the classes; lower goes first.
	Level int `yaml:"level"`
}

// Node is a place in the tree: a group, or a client account.
type Node struct {
	strictyaml.Source
	Inherited
	// Routes are reachable from this node and all below, by name.
	Routes map[string]*Route `yaml:"routes"`
	// Account makes the node a client account.
	Account *Account `yaml:"account"`
	// Children are the nodes below, by name.
	Children map[string]*Node `yaml:"children"`
}

// Account marks a node as a client account.
type Account struct {
	strictyaml.Source
	// KeyHashes are the SHA-256 hashes of its API keys, in hexadecimal. Two of
	// them let a key be rotated without a gap.
	KeyHashes []string `yaml:"key_hashes"`
}

// Route leads a name that callers use to a pool.
type Route struct {
	strictyaml.Source
	// Pool names an entry of pools.
	Pool string `yaml:"pool"`
	// Repeatable is false for calls that may run at most once. Unset means
	// true for engines and false for services.
	Repeatable *bool `yaml:"repeatable"`
	// Override replaces inherited values for this route only.
	Override Inherited `yaml:"override"`
}

// Inherited are the values that a node passes to all below it. A nil field is
// inherited from the nearest node above that sets it, in the end from Builtin.
type Inherited struct {
	// Priority names an entry of priorities.
	Priority *string `yaml:"priority"`
	// Deadline is the longest time a request may take, from arrival to its end.
	Deadline *strictyaml.Duration `yaml:"deadline"`
	// MaxPromptTokens is the longest prompt that is taken.
	MaxPromptTokens *int64 `yaml:"max_prompt_tokens"`
	// MaxOutputTokens is the longest answer, and the default where none is asked.
	MaxOutputTokens *int64 `yaml:"max_output_tokens"`
	// MaxWaiting is the most requests of an account that wait at one daemon.
	MaxWaiting *int `yaml:"max_waiting"`
	// RetryShare is the share of an account's requests that may be retries.
	RetryShare *float64 `yaml:"retry_share"`
	// Limits hold over all daemons together.
	Limits Limits `yaml:"limits"`
}

// Limits bound the use by one client account over the whole fleet.
type Limits struct {
	// RequestsPerSecond is the rate of requests.
	RequestsPerSecond *float64 `yaml:"requests_per_second"`
	// PromptTokensPerSecond is the rate of prompt tokens.
	PromptTokensPerSecond *float64 `yaml:"prompt_tokens_per_second"`
	// Concurrent is the number of requests that run at one time.
	Concurrent *int `yaml:"concurrent"`
}
