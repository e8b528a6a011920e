package coordbench

import (
	"fmt"
	"time"

	"doorstack.dev/core/settings"
)

// EngineKind describes the engines of a pool, in the units of the settings.
type EngineKind struct {
	// MemoryTokens is the memory in tokens, Slots the maximum number of concurrent requests.
	MemoryTokens, Slots int64
	// PrefillTokensPerMS is the number of prompt tokens prefilled in a millisecond, and
	// PairsMSPerM the milliseconds that attention adds for a million pairs of a prompt token
	// and a token before it.
	PrefillTokensPerMS, PairsMSPerM float64
	// StepMS is the time of a step, PerSequenceMS the time that each decoding request adds to
	// it, and ContextMSPerK the time that a thousand tokens of their contexts add.
	StepMS, PerSequenceMS, ContextMSPerK float64
	// StepsPerPass is the number of steps of a pass, and ChunkTokens the maximum number of
	// prompt tokens that a step prefills.
	StepsPerPass, ChunkTokens int64
}

// Workload describes the engines of a pool and the calls that they serve.
type Workload struct {
	Engine  EngineKind
	Classes []CallClass
}

// settings returns a settings tree with the workload's pool, named llm.
func (w *Workload) settings() (*settings.Tree, error) {
	e := &w.Engine
	return settings.Parse(fmt.Appendf(nil, `
engine_kinds:
  k:
    protocol: engine
    memory_tokens: %d
    prefill_tokens_per_second: %g
    max_concurrent: %d
    timing: {step_ms: %g, per_sequence_ms: %g, context_ms_per_k: %g, pairs_ms_per_m: %g, stride: %d}
pools: {llm: {kind: k, model: m}}
tree: {}
`, e.MemoryTokens, 1000*e.PrefillTokensPerMS, e.Slots, e.StepMS, e.PerSequenceMS, e.ContextMSPerK, e.PairsMSPerM, e.StepsPerPass))
}

// Spacious returns a workload for engines with ample memory: an audit, a call of the class with the
// longest prompts, fits into the memory of one engine. An event has 80 tokens.
func Spacious() *Workload {
	return &Workload{
		Engine: EngineKind{
			MemoryTokens: 315_000, Slots: 10, PrefillTokensPerMS: 177, PairsMSPerM: 0.184,
			StepMS: 0.85, PerSequenceMS: 0.00425, ContextMSPerK: 0.00285, StepsPerPass: 80, ChunkTokens: 2048,
		},
		Classes: []CallClass{
			{
				Name: "chat", Rate: 1.38, Value: 1.3, RateFactors: [2]float64{2.5, 0.35},
				MeanPrompt: 5_000, PromptSigma: 0.5, MaxPrompt: 10_000, MeanEvents: 24,
				Goal: 400 * time.Millisecond, GapGoal: 300 * time.Millisecond, Timeout: 10 * time.Second,
			},
			{
				Name: "review", Rate: 0.101, Value: 3.1, RateFactors: [2]float64{1, 1},
				MeanPrompt: 45_000, PromptSigma: 0.5, MaxPrompt: 90_000, MeanEvents: 14,
				Goal: 1500 * time.Millisecond, GapGoal: 800 * time.Millisecond, Timeout: 10 * time.Second,
			},
			{
				Name: "audit", Rate: 0.0335, Value: 26, RateFactors: [2]float64{0.1, 2.8},
				MeanPrompt: 170_000, PromptSigma: 0.5, MaxPrompt: 310_000, MeanEvents: 12,
				Goal: 4 * time.Second, GapGoal: 1200 * time.Millisecond, Timeout: 15 * time.Second,
			},
		},
	}
}

// Dense returns a workload of many audits for engines with little memory: an audit of mean length
// fills an engine, and the longest audits are three times as long.
func Dense() *Workload {
	return &Workload{
		Engine: EngineKind{
			MemoryTokens: 197_200, Slots: 12, PrefillTokensPerMS: 206, PairsMSPerM: 0.138,
			StepMS: 1.02, PerSequenceMS: 0.00226, ContextMSPerK: 0.00431, StepsPerPass: 48, ChunkTokens: 2048,
		},
		Classes: []CallClass{
			{
				Name: "chat", Rate: 1.27, Value: 1.3, RateFactors: [2]float64{2.4, 0.37},
				MeanPrompt: 4_960, PromptSigma: 0.9, MaxPrompt: 23_800, MeanEvents: 30.7, EventsSigma: 0.7,
				Goal: 300 * time.Millisecond, GapGoal: 250 * time.Millisecond, Timeout: 10 * time.Second,
			},
			{
				Name: "review", Rate: 0.15, Value: 3.3, RateFactors: [2]float64{0.5, 1.3},
				MeanPrompt: 45_000, PromptSigma: 0.5, MaxPrompt: 110_000, MeanEvents: 18.4, EventsSigma: 0.6,
				Goal: 1500 * time.Millisecond, GapGoal: 600 * time.Millisecond, Timeout: 10 * time.Second,
			},
			{
				Name: "audit", Rate: 0.0534, Value: 20, RateFactors: [2]float64{0.05, 2.8},
				MeanPrompt: 190_000, PromptSigma: 0.55, MaxPrompt: 600_000, MeanEvents: 15.3, EventsSigma: 0.5,
				Goal: 3 * time.Second, GapGoal: time.Second, Timeout: 15 * time.Second,
			},
		},
	}
}

// ShortGapGoals returns Dense with a gap goal of 110 ms for chats and a first-event goal of 0.9 s for
// reviews.
func ShortGapGoals() *Workload {
	w := Dense()
	w.Classes[0].GapGoal = 110 * time.Millisecond
	w.Classes[1].Goal = 900 * time.Millisecond
	return w
}

// ManySlots returns Dense with engines that have 24 slots, slow prefill and short events. Answers have
// as many tokens as Dense's, in more events.
func ManySlots() *Workload {
	w := Dense()
	longer := 48.0 / 14 // Dense's tokens of an event, divided by this workload's.
	w.Engine.Slots, w.Engine.StepsPerPass, w.Engine.PrefillTokensPerMS = 24, 14, 60
	for i := range w.Classes {
		w.Classes[i].Rate /= 3
		w.Classes[i].MeanEvents *= longer
	}
	return w
}

// FewSlots returns Dense with engines that have 6 slots, fast prefill and short events. Answers have
// as many events as Dense's, and so fewer tokens.
func FewSlots() *Workload {
	w := Dense()
	w.Engine.Slots, w.Engine.StepsPerPass, w.Engine.PrefillTokensPerMS = 6, 7, 300
	for i := range w.Classes {
		w.Classes[i].Rate *= 1.2
	}
	return w
}

// SmallPool returns a workload for a small pool of engines with more memory and slots than Dense's.
func SmallPool() *Workload {
	w := Dense()
	w.Engine = EngineKind{
		MemoryTokens: 315_000, Slots: 16, PrefillTokensPerMS: 177, PairsMSPerM: 0.184,
		StepMS: 0.85, PerSequenceMS: 0.00425, ContextMSPerK: 0.00285, StepsPerPass: 51, ChunkTokens: 2048,
	}
	chat, review, audit := &w.Classes[0], &w.Classes[1], &w.Classes[2]
	chat.Rate, chat.MeanEvents = 2.04, 33
	review.Rate, review.MeanEvents, review.Value = 0.104, 20, 4.2
	audit.Rate, audit.MeanEvents, audit.Value, audit.MeanPrompt = 0.0628, 16, 21, 154_000
	return w
}
