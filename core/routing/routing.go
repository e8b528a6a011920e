// Package routing chooses a target for a request. It is used by the daemon that places a
// pool's calls: the pool's coordinator or, without one, each daemon for its own calls. It
// decides from the request's estimated lengths and latency goals, the state and load of the
// targets, and the pool's policy. Filters exclude targets that cannot take the request now,
// scorers estimate a time to first token for each remaining target, and the picker draws
// from the best. Where the timing of the pool's engines is known (Params.Timing), a long
// prompt is split and prefilled by several targets.
//
// All scores are seconds of time to first token, so that a cached prefix, a queue at an
// engine and the way to another data centre can be compared without weights.
//
// A decision is a pure function of its inputs. The caller passes elapsed times, the targets
// with their last reports, and a random seed, so that a recorded decision can be replayed.
package routing

import (
	"slices"
	"time"

	"doorstack.dev/core/engine"
)

// State is the stage of a target's life cycle. It determines whether the target takes new
// requests.
type State uint8

// The states of a target.
const (
	// Live targets take requests.
	Live State = iota
	// Draining targets finish their requests and take no new ones.
	Draining
	// Unavailable targets are no longer on the host list, or do not answer.
	Unavailable
	// Evacuated targets finish their requests and take no new ones until the operators end the
	// evacuation of their data centre.
	Evacuated
)

// Load is an amount of work at a target.
type Load struct {
	// Requests is the number of requests.
	Requests int `json:"requests,omitempty"`
	// MemoryTokens is the KV cache that the requests take, in tokens.
	MemoryTokens int64 `json:"memory_tokens,omitempty"`
	// BacklogTokens is the number of prompt tokens not prefilled yet.
	BacklogTokens int64 `json:"backlog_tokens,omitempty"`
	// LongPrefills is the number of long prompts whose prefill is not finished.
	LongPrefills int `json:"long_prefills,omitempty"`
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{
		Requests:      l.Requests + o.Requests,
		MemoryTokens:  l.MemoryTokens + o.MemoryTokens,
		BacklogTokens: l.BacklogTokens + o.BacklogTokens,
		LongPrefills:  l.LongPrefills + o.LongPrefills,
	}
}

// Sub returns the difference of two loads, with each field at least zero.
func (l Load) Sub(o Load) Load {
	return Load{
		Requests:      max(0, l.Requests-o.Requests),
		MemoryTokens:  max(0, l.MemoryTokens-o.MemoryTokens),
		BacklogTokens: max(0, l.BacklogTokens-o.BacklogTokens),
		LongPrefills:  max(0, l.LongPrefills-o.LongPrefills),
	}
}

// Target is the state of a target as known to this daemon.
type Target struct {
	// ID is the target's address, which identifies it.
	ID string `json:"id"`
	// DataCentre and Region are the location of the target.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	// State is the worse of the host list's state and the target's own.
	State State `json:"state,omitempty"`
	// MemoryTokens is the size of the KV cache, in tokens; zero for plain services.
	MemoryTokens int64 `json:"memory_tokens,omitempty"`
	// PrefillRate is the prefill speed, in prompt tokens per second.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	// MaxConcurrent bounds the concurrent requests; zero means no bound.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// Load is the reported load plus the requests that this daemon has placed since.
	Load Load `json:"load"`
	// ReportAge is the age of the report behind Load.
	ReportAge time.Duration `json:"report_age_ns,omitempty"`
	// BreakerOpen reports whether the circuit breaker is open: calls to the target keep failing.
	BreakerOpen bool `json:"breaker_open,omitempty"`
	// ReservedFor is the ID of the long request that the target is kept free for, if any.
	ReservedFor string `json:"reserved_for,omitempty"`
	// PendingPrefill is the time, in seconds, until the engine has prefilled all prompts
	// placed on it; for engines of known timing.
	PendingPrefill float64 `json:"reading_s,omitempty"`
	// RecentPrefill is the prefill time, in seconds, of what was placed on the engine within its
	// last pass (package engine defines a pass). A decoding engine does all of it in its next
	// pass, even if PendingPrefill is less.
	RecentPrefill float64 `json:"fresh_s,omitempty"`
	// GapGoal is the smallest gap goal among the requests at the target, in seconds; zero
	// where none has one. A gap is the time between two events of a stream. GapSensitive
	// is the number of requests whose gap goal is far shorter than a pass full of prefill.
	GapGoal      float64 `json:"gap_goal_s,omitempty"`
	GapSensitive int     `json:"tight,omitempty"`
	// DecodeGroups are the requests at the target grouped by gap goal, the smallest first,
	// without those whose gap goal has been missed already.
	DecodeGroups []DecodeGroup `json:"writers,omitempty"`
	// PendingPromptTokens is the total length of the prompts of which the target has yet to
	// prefill its part, and PrefillSlack the time, in seconds, by which all of them can be
	// delayed and still be answered in time. An engine prefills the newest part first, so a
	// part that is added delays them.
	PendingPromptTokens int64   `json:"unread_tokens,omitempty"`
	PrefillSlack        float64 `json:"hold_up_s,omitempty"`
	// RecentFailures counts the target's recently failed calls; older ones count less.
	RecentFailures float64 `json:"trouble,omitempty"`
	// Slowdown is the factor by which the target's work takes longer than its timing says;
	// zero and one mean its usual speed.
	Slowdown float64 `json:"pace,omitempty"`
	// RateLimit is set while the target declares a rate limit for the calls of all daemons.
	RateLimit *RateLimit `json:"limit,omitempty"`
	// Unloaded reports whether the target does not serve the pool's model at present.
	Unloaded bool `json:"unloaded,omitempty"`
}

// DecodeGroup sums up the requests at a target that have the same gap goal.
type DecodeGroup struct {
	// GapGoal is the longest gap that the callers want, in seconds.
	GapGoal float64 `json:"gap_goal_s"`
	// Tokens is the total length of the requests.
	Tokens int64 `json:"tokens"`
}

// CachedPrefix says that a target is expected to have the start of a prompt in its KV cache.
type CachedPrefix struct {
	// Target is the index of the target in the list passed to Decide.
	Target int `json:"target"`
	// Tokens is the length of the cached prefix.
	Tokens int64 `json:"tokens"`
}

// Request is the input of a decision that describes the request.
type Request struct {
	// ID is the request ID.
	ID string `json:"id"`
	// PromptTokens and OutputTokens are the estimated lengths.
	PromptTokens int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// DataCentre is the data centre of the daemon that received the request.
	DataCentre string `json:"data_centre"`
	// Cached lists the targets expected to hold a prefix of the prompt.
	Cached []CachedPrefix `json:"cached,omitempty"`
	// Homes lists the regions whose targets may run the request; empty means all regions.
	Homes []string `json:"homes,omitempty"`
	// Exclude lists the IDs of targets that must not be chosen, such as those of earlier attempts.
	Exclude []string `json:"exclude,omitempty"`
	// Goal is the caller's goal for the time to the first event, and GapGoal that for the
	// longest time between two events, in seconds; zero where there is no goal.
	Goal    float64 `json:"goal_s,omitempty"`
	GapGoal float64 `json:"gap_goal_s,omitempty"`
	// Waited is how long the request has waited, in seconds.
	Waited float64 `json:"waited_s,omitempty"`
	// AllowedToWait reports whether RefuseRateLimited has let the request wait before.
	AllowedToWait bool `json:"let_wait,omitempty"`
	// UntilDeadline is the time until the request's deadline, in seconds.
	UntilDeadline float64 `json:"left_s,omitempty"`
	// PrefillAhead is the prefill time of the long prompts queued before the request, in seconds.
	PrefillAhead float64 `json:"ahead_s,omitempty"`
	// OmitCandidates leaves the candidates out of a decision to wait, because a decision
	// shortly before has recorded them.
	OmitCandidates bool `json:"-"`
	// Retry reports whether the request has been placed before. A retry is not refused for being late,
	// and does not wait for a better placement. AnswerStarted reports whether the caller has a part of
	// the answer. Such a request is never refused.
	Retry         bool `json:"retry,omitempty"`
	AnswerStarted bool `json:"begun,omitempty"`
	// Seed is the seed of random choices; it differs between daemons.
	Seed uint64 `json:"seed"`
	// Uncoordinated reports whether the daemon decides without the coordinator that places the
	// pool's calls for all daemons: it knows its own calls at the targets but not the others'.
	Uncoordinated bool `json:"blind,omitempty"`
	// DaemonCount is the number of daemons that may call the targets, including this one and those that are draining or
	// unreachable.
	DaemonCount int `json:"sharers,omitempty"`
}

// allowsRegion reports whether targets of a region may run the request.
func (r *Request) allowsRegion(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// MemoryTokens returns the KV cache that the request takes at its end, in tokens.
func (r *Request) MemoryTokens() int64 { return r.PromptTokens + r.OutputTokens }

// Params are the policy values of the pool.
type Params struct {
	// LongPromptTokens is the length from which a prompt counts as long.
	LongPromptTokens int64 `json:"long_prompt_tokens"`
	// LongPerTarget is the maximum number of long prefills on one target.
	LongPerTarget int `json:"long_per_target"`
	// LongTargets is the maximum number of targets with long prefills at one time.
	LongTargets int `json:"long_targets"`
	// MemoryHeadroom is the share of memory that long requests leave free.
	MemoryHeadroom float64 `json:"memory_headroom"`
	// PrefixWeight scales the prefill time that a cached prefix saves.
	PrefixWeight float64 `json:"prefix_weight"`
	// RemotePenalty is the cost of a target in another data centre, in seconds.
	RemotePenalty float64 `json:"remote_penalty_s"`
	// MaxBacklog is the maximum prefill queued at a target, in seconds.
	MaxBacklog float64 `json:"max_backlog_s"`
	// Timing is the cost model of the pool's engines; nil where it is not known.
	Timing *engine.Timing `json:"timing,omitempty"`
}

// IsLong reports whether a prompt counts as long.
func (p *Params) IsLong(promptTokens int64) bool { return promptTokens >= p.LongPromptTokens }

// Verdict is the outcome of a decision.
type Verdict string

// The verdicts.
const (
	// Place means that the request goes to the chosen target now.
	Place Verdict = "place"
	// Wait means that targets exist but none has room at the moment.
	Wait Verdict = "wait"
	// None means that no target can serve the request in the present state.
	None Verdict = "none"
	// Refuse means that the request would wait too long and its caller should retry later.
	Refuse Verdict = "refuse"
	// Group means that the request exceeds one target's memory and needs a group of targets.
	Group Verdict = "group"
)

// MemoryReservation is KV cache memory to be reserved at a target, in tokens.
type MemoryReservation struct {
	Target string `json:"target"`
	Tokens int64  `json:"tokens"`
}

// Scores are the terms of a target's estimated time to first token, in seconds.
type Scores struct {
	Backlog float64 `json:"backlog_s"`
	Prefill float64 `json:"prefill_s"`
	// Batch is the time that the target's running requests add.
	Batch  float64 `json:"batch_s"`
	Memory float64 `json:"memory_s"`
	// Interference is the cost of prefill that delays other requests at the target.
	Interference float64 `json:"long_mix_s"`
	Locality     float64 `json:"locality_s"`
	PrefixSaved  float64 `json:"prefix_saved_s"`
	// Packing is the cost of not packing the request onto an engine with many gap-sensitive ones.
	Packing  float64 `json:"packing_s,omitempty"`
	Failures float64 `json:"trouble_s,omitempty"`
	// Lateness is the penalty for a first event that is likely to miss the caller's goal.
	Lateness float64 `json:"lateness_s,omitempty"`
	// Jitter keeps uncoordinated daemons from all choosing the same target.
	Jitter float64 `json:"chance_s,omitempty"`
}

// Total returns the estimated time to first token, in seconds.
func (s *Scores) Total() float64 {
	return s.Backlog + s.Prefill + s.Batch + s.Memory + s.Interference + s.Locality + s.Packing + s.Failures + s.Lateness + s.Jitter - s.PrefixSaved
}

// Candidate is a target with the results of the filters and scorers.
type Candidate struct {
	// Target is the state that the decision was made from.
	Target Target `json:"target"`
	// Rejected is the filter that rejected the target; empty if none did.
	Rejected Filter `json:"rejected,omitempty"`
	// CachedTokens is the length of the prefix expected to be cached at the target.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// Scores are set where no filter rejected the target.
	Scores Scores `json:"scores"`
}

// Decision is the outcome of a decision with its inputs and reasons.
type Decision struct {
	Request Request `json:"request"`
	Params  Params  `json:"params"`
	Verdict Verdict `json:"verdict"`
	// Chosen is the ID of the chosen target, which answers the request.
	Chosen string `json:"chosen,omitempty"`
	// Helpers are the IDs of the targets that prefill parts of the prompt for the chosen one.
	Helpers []string `json:"helpers,omitempty"`
	// Reservations are the parts of the request's KV cache that helpers reserve, where no
	// target has room for the whole.
	Reservations []MemoryReservation `json:"tickets,omitempty"`
	// Forced reports whether parts of the prompt are placed where they make other requests miss
	// their gap goals, because those requests are much shorter than the prompt.
	Forced bool `json:"forced,omitempty"`
	// PrefillTime is the time to prefill the whole prompt, and PartPrefillTime that of
	// each part, in seconds; for engines of known timing.
	PrefillTime     float64 `json:"reading_s,omitempty"`
	PartPrefillTime float64 `json:"part_s,omitempty"`
	// PredictedFirstEvent is the predicted time from the request's arrival to its first
	// event, in seconds.
	PredictedFirstEvent float64 `json:"foreseen_s,omitempty"`
	// RetryAfter is the time, in seconds, until a refused request would have been placed;
	// zero where that is not predicted.
	RetryAfter float64 `json:"come_back_s,omitempty"`
	// Pool sums up the targets of known timing that the decision was made from.
	Pool *PoolState `json:"pool,omitempty"`
	// Considered is the number of targets passed to the decision.
	Considered int `json:"considered"`
	// Rejections counts the targets that each filter rejected.
	Rejections Rejections `json:"rejections"`
	// LongHolders is the number of targets with long prefills.
	LongHolders int `json:"long_holders,omitempty"`
	// Candidates are the best targets followed by examples of rejected ones, at most
	// MaxRecorded.
	Candidates []Candidate `json:"candidates"`
}

// PoolState sums up the live targets of a pool of engines.
type PoolState struct {
	// Live is the number of live targets. GapSensitiveTargets counts those with gap-sensitive
	// requests, and HeavyPrefillTargets those with more than heavyPart of pending prefill.
	Live                int `json:"live"`
	GapSensitiveTargets int `json:"close"`
	HeavyPrefillTargets int `json:"deep"`
	// Requests is the number of requests at the live targets.
	Requests int `json:"writers"`
	// PendingPrefill is the sum of their pending prefill, in seconds.
	PendingPrefill float64 `json:"reading_s"`
}

// MaxRecorded bounds the candidates recorded in a decision without known timing.
const MaxRecorded = 16
