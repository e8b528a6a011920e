package routing

import (
	"cmp"
	"slices"
)

// Where nobody bears the parts of a long prompt, it goes beside writers that weigh less.
const (
	// After missGapsAfter of its goal a prompt may go beside writers that do not bear it,
	// if its first event is foreseen within inTimeShare of its goal and they have at most
	// maxDisturbedShare of its tokens.
	missGapsAfter     = 0.03
	inTimeShare       = 0.9
	maxDisturbedShare = 0.35
)

// spreadDisturbing cuts a prompt into parts on engines whose writers do not bear them,
// where the prompt is about three times as long as all of those together. Of the ways to
// be in time it takes the one that disturbs least.
func (s *Scratch) splitMissingGapGoals(r *Request, p *Params, targets []Target, d *Decision) bool {
	if r.Goal <= 0 || r.Waited < missGapsAfter*r.Goal {
		return false
	}
	deep := d.Pool.heavyPartLimit(r, targets)
	least := int64(maxDisturbedShare * float64(r.PromptTokens))
	var best []int
	s.collectDisturbances(p, targets)
	for parts := partLimit(s.prefillers, d.PrefillTime); parts >= 1; parts-- {
		part := d.PrefillTime / float64(parts)
		if part > heavyPart && parts > deep {
			continue
		}
		chosen, harm := s.leastDisturbed(targets, part, parts)
		if len(chosen) < parts || harm > least || best != nil && harm == least {
			continue
		}
		if predictPlaced(r, p, targets, chosen, part) <= inTimeShare*r.Goal {
			best, least = slices.Clone(chosen), harm
		}
	}
	if best == nil || !s.chooseAnswering(r, targets, best, d) {
		return false
	}
	d.PartPrefillTime = d.PrefillTime / float64(len(best))
	d.Forced, d.PredictedFirstEvent = true, predictPlaced(r, p, targets, best, d.PartPrefillTime)
	return true
}

// maxDisturbances bounds the targets weighed against each other in a large pool.
const maxDisturbances = 4 * MaxParts

// collectPauses lists the targets with room before them, with the pause that their
// writers have before a part is added.
func (s *Scratch) collectDisturbances(p *Params, targets []Target) {
	s.disturbances = s.disturbances[:0]
	for _, i := range s.prefillers {
		t := &targets[i]
		if t.PendingPrefill > maxPrefillBefore || len(s.disturbances) == maxDisturbances {
			break
		}
		s.disturbances = append(s.disturbances, disturbance{index: i, gap: p.Timing.PassTime(t.Load.Requests, t.Load.MemoryTokens) + t.PendingPrefill})
	}
}

// leastDisturbed lists the targets whose writers suffer least from a part, and the tokens
// of those that suffer.
func (s *Scratch) leastDisturbed(targets []Target, part float64, parts int) (chosen []int, harm int64) {
	for i := range s.disturbances {
		h := &s.disturbances[i]
		h.tokens = disturbedTokens(&targets[h.index], h.gap+part) + delayedTokens(&targets[h.index], part)
	}
	slices.SortStableFunc(s.disturbances, func(a, b disturbance) int { return cmp.Compare(a.tokens, b.tokens) })
	chosen = s.chosen[:0]
	for _, h := range s.disturbances[:min(parts, len(s.disturbances))] {
		chosen = append(chosen, h.index)
		harm += h.tokens
	}
	s.chosen = chosen
	return chosen, harm
}

// disturbance is a target that may read a part: the pause of its writers in seconds, and the
// tokens of the requests there that the part disturbs.
type disturbance struct {
	index  int
	gap    float64
	tokens int64
}

// disturbedTokens is the length of a target's requests whose goal for the pause between two
// events is missed by a pause.
func disturbedTokens(t *Target, pause float64) int64 {
	tokens := int64(0)
	for _, w := range t.DecodeGroups {
		if pause > usableGapShare*w.GapGoal {
			tokens += w.Tokens
		}
	}
	return tokens
}

// delayedTokens is the length of a target's prompts that would be answered late if a part went
// before them.
func delayedTokens(t *Target, part float64) int64 {
	if part > t.PrefillSlack {
		return t.PendingPromptTokens
	}
	return 0
}
