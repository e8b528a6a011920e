package routing

import (
	"cmp"
	"slices"
)

// Where gap goals leave no room for the parts of a long prompt, the parts may still go beside
// requests that have far fewer tokens than the prompt.
const (
	// After missGapsAfter of its goal a prompt may make requests beside it miss their gap
	// goals, if its first event is predicted within inTimeShare of its goal and those
	// requests have at most maxDisturbedShare of its tokens.
	missGapsAfter     = 0.03
	inTimeShare       = 0.9
	maxDisturbedShare = 0.35
)

// splitMissingGapGoals splits a prompt into parts that make requests beside them miss their
// gap goals, where the prompt is about three times as long as all of those requests together.
// Of the splits that are in time it takes the one that disturbs the fewest tokens.
func (s *Scratch) splitMissingGapGoals(r *Request, p *Params, targets []Target, d *Decision) bool {
	if r.Goal <= 0 || r.Waited < missGapsAfter*r.Goal {
		return false
	}
	heavyLimit := d.Pool.heavyPartLimit(r, targets)
	fewest := int64(maxDisturbedShare * float64(r.PromptTokens))
	var best []int
	s.collectDisturbedTargets(p, targets)
	for parts := partLimit(s.prefillers, d.PrefillTime); parts >= 1; parts-- {
		part := d.PrefillTime / float64(parts)
		if part > heavyPart && parts > heavyLimit {
			continue
		}
		chosen, disturbed := s.leastDisturbed(targets, part, parts)
		if len(chosen) < parts || disturbed > fewest || best != nil && disturbed == fewest {
			continue
		}
		if predictPlaced(r, p, targets, chosen, part) <= inTimeShare*r.Goal {
			best, fewest = slices.Clone(chosen), disturbed
		}
	}
	if best == nil || !s.chooseAnswering(r, targets, best, d) {
		return false
	}
	d.PartPrefillTime = d.PrefillTime / float64(len(best))
	d.Forced, d.PredictedFirstEvent = true, predictPlaced(r, p, targets, best, d.PartPrefillTime)
	return true
}

// maxDisturbedTargets bounds the targets compared in a large pool.
const maxDisturbedTargets = 4 * MaxParts

// collectDisturbances lists the targets with little pending prefill, with the gap that
// their decoding requests have before a part is added.
func (s *Scratch) collectDisturbedTargets(p *Params, targets []Target) {
	s.disturbedTargets = s.disturbedTargets[:0]
	for _, i := range s.prefillers {
		t := &targets[i]
		if t.PendingPrefill > maxPrefillBefore || len(s.disturbedTargets) == maxDisturbedTargets {
			break
		}
		s.disturbedTargets = append(s.disturbedTargets, disturbedTarget{index: i, gap: p.Timing.PassTime(t.Load.Requests, t.Load.MemoryTokens) + t.PendingPrefill})
	}
}

// leastDisturbed lists the targets where a part disturbs the fewest tokens, and returns
// the number of tokens disturbed.
func (s *Scratch) leastDisturbed(targets []Target, part float64, parts int) (chosen []int, disturbed int64) {
	for i := range s.disturbedTargets {
		h := &s.disturbedTargets[i]
		h.tokens = disturbedTokens(&targets[h.index], h.gap+part) + delayedTokens(&targets[h.index], part)
	}
	slices.SortStableFunc(s.disturbedTargets, func(a, b disturbedTarget) int { return cmp.Compare(a.tokens, b.tokens) })
	chosen = s.chosen[:0]
	for _, h := range s.disturbedTargets[:min(parts, len(s.disturbedTargets))] {
		chosen = append(chosen, h.index)
		disturbed += h.tokens
	}
	s.chosen = chosen
	return chosen, disturbed
}

// disturbedTarget is a target that may prefill a part, with the gap of its decoding requests in
// seconds, and the tokens of the requests there that the part disturbs.
type disturbedTarget struct {
	index  int
	gap    float64
	tokens int64
}

// disturbedTokens returns the length of the target's requests whose gap goal is missed by
// a gap of so many seconds.
func disturbedTokens(t *Target, gap float64) int64 {
	tokens := int64(0)
	for _, w := range t.DecodeGroups {
		if gap > usableGapShare*w.GapGoal {
			tokens += w.Tokens
		}
	}
	return tokens
}

// delayedTokens returns the length of the target's prompts that would be answered late if
// a part were prefilled before them.
func delayedTokens(t *Target, part float64) int64 {
	if part > t.PrefillSlack {
		return t.PendingPromptTokens
	}
	return 0
}
