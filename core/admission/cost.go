package admission

import "doorstack.dev/core/engine"

// PoolSize is the capacity of the live engines of a pool, as sums over the engines.
type PoolSize struct {
	Engines      int
	Slots        int64
	MemoryTokens int64
}

// Cost returns what a call takes of the resource of its pool of which it takes the largest part:
// slot-seconds over all slots, token-seconds over all memory, or prefill-seconds over all engines.
// The unit is the prompt token, of which the pool prefills size.Engines / t.PerPromptToken per
// second, so that costs remain comparable when the size changes or becomes known. The cost of a
// call to a pool of unknown timing is its prompt tokens; a resource of unknown size is left out.
func Cost(t *engine.Timing, size PoolSize, promptTokens, outputTokens int64) float64 {
	promptTokens = max(1, promptTokens)
	if t == nil || t.PerPromptToken <= 0 {
		return float64(promptTokens)
	}
	prefill := t.PrefillTime(promptTokens)
	engineSeconds := prefill // seconds of one engine that the call takes
	if engines := int64(size.Engines); engines > 0 && t.StepsPerPass > 0 {
		// The pass time is that of an engine that is half in use.
		pass := t.PassTime(int(size.Slots/engines/2), size.MemoryTokens/engines/2)
		seconds := prefill + pass*float64(max(0, outputTokens))/float64(t.StepsPerPass)
		if size.Slots > 0 {
			engineSeconds = max(engineSeconds, seconds*float64(engines)/float64(size.Slots))
		}
		if size.MemoryTokens > 0 {
			tokens := float64(promptTokens + max(0, outputTokens))
			engineSeconds = max(engineSeconds, seconds*tokens*float64(engines)/float64(size.MemoryTokens))
		}
	}
	return engineSeconds / t.PerPromptToken
}
