// Package routing chooses a target for a request: filters take out targets that
// cannot serve it now, scorers estimate in seconds what each remaining target
// would cost its first token, and the picker takes one of the best.
//
// All scores have one unit, seconds of time to first token, so that a cached
// prefix, a queue in front of an engine and a longer way to another data centre
// can be weighed against each other without invented weights.
//
// Everything is a pure function of its inputs. The caller passes the time, the
// targets with their last reports, and a random seed, so that a recorded
// decision can be made again.
package routing

import (
	"time"

	"doorstack.dev/core/engine"
)

// State is what is known of a target's life.
type State uint8

// The states of a target.
const (
	// Live targets take work.
	Live State = iota
	// Leaving targets finish what they have and take nothing new.
	Draining
	// Gone targets are no longer on the host list, or do not answer.
	Unavailable
)

// Load is an amount of work at a target.
type Load struct {
	// Requests is the number of calls.
	Requests int `json:"requests,omitempty"`
	// MemoryTokens is the KV cache that they take, in tokens.
	MemoryTokens int64 `json:"memory_tokens,omitempty"`
	// BacklogTokens are prompt tokens not yet read.
	BacklogTokens int64 `json:"backlog_tokens,omitempty"`
	// LongPrefills is the number of long prompts not yet read to the end.
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

// Sub returns the difference of two loads, no part of it below zero.
func (l Load) Sub(o Load) Load {
	return Load{
		Requests:      max(0, l.Requests-o.Requests),
		MemoryTokens:  max(0, l.MemoryTokens-o.MemoryTokens),
		BacklogTokens: max(0, l.BacklogTokens-o.BacklogTokens),
		LongPrefills:  max(0, l.LongPrefills-o.LongPrefills),
	}
}

// Target is a target as this daemon believes it to be.
type Target struct {
	// ID names the target; it is its address.
	ID string `json:"id"`
	// DataCentre and Region say where it stands.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	// State is the worse of what the host list and the target itself say.
	State State `json:"state,omitempty"`
	// MemoryTokens is its KV cache, in tokens; zero for plain services.
	MemoryTokens int64 `json:"memory_tokens,omitempty"`
	// PrefillRate is the prompt tokens that it reads a second.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	// MaxConcurrent bounds the calls at one time; zero is no bound.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// Load is the reported load with this daemon's own later work on top.
	Load Load `json:"load"`
	// ReportAge is the age of the report in Load.
	ReportAge time.Duration `json:"report_age_ns,omitempty"`
	// BreakerOpen is true while calls to the target keep failing.
	BreakerOpen bool `json:"breaker_open,omitempty"`
	// ReservedFor is the long request the target is being emptied for, if any.
	ReservedFor string `json:"reserved_for,omitempty"`
	// Reading is the time, in seconds, that the engine still reads before it has read
	// all prompts that it was given; for engines of known timing.
	PendingPrefill float64 `json:"reading_s,omitempty"`
	// Fresh is the reading time, in seconds, of what it was given within its last pass: an engine
	// that writes reads all of that in its next one, however little it has to read else.
	RecentPrefill float64 `json:"fresh_s,omitempty"`
	// GapGoal is the least goal for the pause between two events among the requests at
	// the target, in seconds; zero where none has one. Tight is the number of requests
	// with a goal that a pass full of reading would miss by far.
	GapGoal      float64 `json:"gap_goal_s,omitempty"`
	GapSensitive int     `json:"tight,omitempty"`
	// Writers are the requests at the target by their goals for the pause between two
	// events, the closest first, but for those whose goal has been missed already.
	DecodeGroups []DecodeGroup `json:"writers,omitempty"`
	// UnreadTokens is the length of the prompts that the target has not read its part of,
	// and HoldUp how long, in seconds, all of them can be held up and still be answered in
	// time; what is given to an engine to read for another one goes before them.
	PendingPromptTokens int64   `json:"unread_tokens,omitempty"`
	PrefillSlack        float64 `json:"hold_up_s,omitempty"`
	// Trouble counts the target's lately failed calls; older ones count less.
	RecentFailures float64 `json:"trouble,omitempty"`
	// Pace is the factor by which the target's work takes longer than its timing says; zero
	// and one are a sound target's.
	Slowdown float64 `json:"pace,omitempty"`
	// Limit is set while the target names how many calls it takes from all daemons.
	RateLimit *RateLimit `json:"limit,omitempty"`
	// Unloaded is true while the target does not serve the pool's model.
	Unloaded bool `json:"unloaded,omitempty"`
}

// DecodeGroup are requests at a target that have the same goal for the pause between two
// events of their streams.
type DecodeGroup struct {
	// GapGoal is that goal, in seconds.
	GapGoal float64 `json:"gap_goal_s"`
	// Tokens is the length of the requests, taken together.
	Tokens int64 `json:"tokens"`
}

// CachedPrefix says that a target is believed to hold the start of a prompt.
type CachedPrefix struct {
	// Target is the index in the list of targets.
	Target int `json:"target"`
	// Tokens is the length of the prefix.
	Tokens int64 `json:"tokens"`
}

// Request is what routing needs to know of a request.
type Request struct {
	// ID is the request id.
	ID string `json:"id"`
	// PromptTokens and OutputTokens are the estimated lengths.
	PromptTokens int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// DataCentre is the data centre of the daemon.
	DataCentre string `json:"data_centre"`
	// Cached lists targets believed to hold the start of the prompt.
	Cached []CachedPrefix `json:"cached,omitempty"`
	// Exclude lists targets that an earlier attempt of the request used.
	Exclude []string `json:"exclude,omitempty"`
	// Goal is the time to the first event that the caller wants, and GapGoal the
	// longest pause between two events, in seconds; zero where there is none.
	Goal    float64 `json:"goal_s,omitempty"`
	GapGoal float64 `json:"gap_goal_s,omitempty"`
	// Waited is how long the request has waited, in seconds.
	Waited float64 `json:"waited_s,omitempty"`
	// LetWait is true where an earlier look has let it wait for its turn.
	WaitAccepted bool `json:"let_wait,omitempty"`
	// Left is the time until its deadline, in seconds.
	UntilDeadline float64 `json:"left_s,omitempty"`
	// Ahead is the reading time of the long prompts that wait before it, in seconds.
	PrefillAhead float64 `json:"ahead_s,omitempty"`
	// Recorded means that the candidates of a decision to wait need no record, as one of a
	// moment before has them.
	OmitCandidates bool `json:"-"`
	// Retry is true where the request has been placed before: it is not refused for being late, and
	// does not wait for a better place. Begun is true where its caller has a part of the answer: it
	// is not refused at all.
	Retry         bool `json:"retry,omitempty"`
	AnswerStarted bool `json:"begun,omitempty"`
	// Seed makes the pick; it differs from daemon to daemon.
	Seed uint64 `json:"seed"`
	// Blind is true where a daemon that does not place the pool's calls for all decides
	// alone: it knows its own calls at the targets and none of the others'.
	Uncoordinated bool `json:"blind,omitempty"`
	// Sharers is the number of daemons that share the targets, this one among them.
	DaemonCount int `json:"sharers,omitempty"`
}

// MemoryTokens is the KV cache that the request takes when it is done.
func (r *Request) MemoryTokens() int64 { return r.PromptTokens + r.OutputTokens }

// Params are the policy values of the pool, in plain types.
type Params struct {
	// LongPromptTokens is the length from which a prompt counts as long.
	LongPromptTokens int64 `json:"long_prompt_tokens"`
	// LongPerTarget is the most long prefills on one target.
	LongPerTarget int `json:"long_per_target"`
	// LongTargets is the most targets that hold long prefills at one time.
	LongTargets int `json:"long_targets"`
	// MemoryHeadroom is the share of memory that long requests leave free.
	MemoryHeadroom float64 `json:"memory_headroom"`
	// PrefixWeight scales the time that a cached prefix saves.
	PrefixWeight float64 `json:"prefix_weight"`
	// RemotePenalty is the cost of another data centre, in seconds.
	RemotePenalty float64 `json:"remote_penalty_s"`
	// MaxBacklog is the most seconds of prefill queued at a target.
	MaxBacklog float64 `json:"max_backlog_s"`
	// Timing is what the engines' work costs; nil where it is not known.
	Timing *engine.Timing `json:"timing,omitempty"`
}

// IsLong tells whether a prompt counts as long.
func (p *Params) IsLong(promptTokens int64) bool { return promptTokens >= p.LongPromptTokens }

// Verdict is the outcome of a decision.
type Verdict string

// The verdicts.
const (
	// Place means that the request goes to the chosen target now.
	Place Verdict = "place"
	// Wait means that targets exist but all are full at the moment.
	Wait Verdict = "wait"
	// None means that no target can serve the request as things stand.
	None Verdict = "none"
	// Refuse means that the request would wait too long and should come back later.
	Refuse Verdict = "refuse"
	// Group means that the request exceeds one target's memory.
	Group Verdict = "group"
)

// MemoryReservation is memory to be set aside at a target.
type MemoryReservation struct {
	Target string `json:"target"`
	Tokens int64  `json:"tokens"`
}

// Scores are the parts of a target's estimated time to first token, in seconds.
type Scores struct {
	Backlog      float64 `json:"backlog_s"`
	Prefill      float64 `json:"prefill_s"`
	Batch        float64 `json:"batch_s"`
	Memory       float64 `json:"memory_s"`
	Interference float64 `json:"long_mix_s"`
	Locality     float64 `json:"locality_s"`
	PrefixSaved  float64 `json:"prefix_saved_s"`
	Packing      float64 `json:"packing_s,omitempty"`
	Failures     float64 `json:"trouble_s,omitempty"`
	// Lateness is the cost of a time that is likely to pass the caller's goal.
	Lateness float64 `json:"lateness_s,omitempty"`
	// Chance keeps daemons that decide alone from all choosing the same target.
	Jitter float64 `json:"chance_s,omitempty"`
}

// Total is the estimated time to first token in seconds.
func (s *Scores) Total() float64 {
	return s.Backlog + s.Prefill + s.Batch + s.Memory + s.Interference + s.Locality + s.Packing + s.Failures + s.Lateness + s.Jitter - s.PrefixSaved
}

// Candidate is a target with what the filters and scorers said of it.
type Candidate struct {
	// Target is the state that the decision was made from.
	Target Target `json:"target"`
	// Rejected is the filter that took the target out; empty if none did.
	Rejected Filter `json:"rejected,omitempty"`
	// CachedTokens is the believed cached prefix at the target.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// Scores are set where no filter rejected the target.
	Scores Scores `json:"scores"`
}

// Decision is a choice with its inputs and reasons.
type Decision struct {
	Request Request `json:"request"`
	Params  Params  `json:"params"`
	Verdict Verdict `json:"verdict"`
	// Chosen is the id of the chosen target.
	Chosen string `json:"chosen,omitempty"`
	// Helpers are the targets that read parts of the prompt for the chosen one.
	Helpers []string `json:"helpers,omitempty"`
	// Tickets are the parts of the prompt's memory that helpers set aside, where one
	// target has no room for the whole.
	Reservations []MemoryReservation `json:"tickets,omitempty"`
	// Forced means that the prompt goes beside writers whose callers do not bear it,
	// because it outweighs them.
	Forced bool `json:"forced,omitempty"`
	// Reading is the time to read the whole prompt, and Part that of each part, in
	// seconds; for engines of known timing.
	PrefillTime     float64 `json:"reading_s,omitempty"`
	PartPrefillTime float64 `json:"part_s,omitempty"`
	// Foreseen is the time to the first event that a prompt which waits can expect, from
	// its arrival, in seconds.
	PredictedFirstEvent float64 `json:"foreseen_s,omitempty"`
	// ComeBack is the time, in seconds, after which a refused request's turn would have come; zero
	// where that is not foreseen.
	RetryAfter float64 `json:"come_back_s,omitempty"`
	// Pool sums up the targets of known timing that the decision was made from.
	Pool *PoolState `json:"pool,omitempty"`
	// Considered is the number of targets looked at.
	Considered int `json:"considered"`
	// Rejections counts the targets that each filter took out.
	Rejections Rejections `json:"rejections"`
	// LongHolders is the number of targets that held long prefills.
	LongHolders int `json:"long_holders,omitempty"`
	// Candidates are the best targets first, then examples of rejected ones, at
	// most MaxRecorded.
	Candidates []Candidate `json:"candidates"`
}

// PoolState sums up the live targets of a pool of engines.
type PoolState struct {
	// Live is the number of live targets, Close that of those with writers whose
	// callers wait closely, and Deep that of those with a deep part to read.
	Live         int `json:"live"`
	GapSensitive int `json:"close"`
	HeavyPrefill int `json:"deep"`
	// Writers is the number of calls at them.
	Requests int `json:"writers"`
	// Reading is the time that they will read, taken together, in seconds.
	PendingPrefill float64 `json:"reading_s"`
}

// MaxRecorded bounds the candidates kept in a decision.
const MaxRecorded = 16
