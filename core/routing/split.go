package routing

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"doorstack.dev/core/rendezvous"
)

// A long prompt is split into parts that several engines prefill. This file decides
// into how many, on which engines, and when the request is refused instead.
//
// Times are in seconds.
const (
	// wantedPartTime is the prefill time aimed at for a part: about one and a half passes
	// of an engine that only decodes.
	wantedPartTime = 0.075
	// MaxParts is the maximum number of engines that prefill one prompt: the engine that
	// answers and at most 16 helpers, which is the platform's bound.
	MaxParts = 17
	// maxPrefillBefore is the pending prefill of an engine above which a part is not placed
	// there: the prompt waits in the daemon, where the order of the queue can still change.
	maxPrefillBefore = 0.3
	// lightPart is the prefill time up to which a part is never too long. heavyPart is
	// the time above which a part is heavy: its engine cannot take a chat for several
	// passes, and its decoding requests have gaps longer than most callers tolerate. At
	// most heavyShare of the engines have heavy parts at one time, so that the rest can
	// follow a shift of the traffic from long prompts to short ones; such shifts take
	// less than a second.
	lightPart  = 0.25
	heavyPart  = 0.75
	heavyShare = 0.4
	// unpredictedTime stands for a time that cannot be predicted, in seconds: a decision
	// recorded as JSON cannot hold infinity.
	unpredictedTime = 3600
	// prefillShare is the share of an engine's time that is left for prefill.
	prefillShare = 0.85
	// A long prompt waits until so many engines can take a part that its parts are at most
	// maxPartStretch times as long as with all engines. After acceptFewerAfter of its goal
	// it takes any number of engines whose gap goals allow the parts.
	maxPartStretch   = 3.0
	acceptFewerAfter = 0.4
	// passesToFirstEvent is the time from the end of prefill to the first event, in passes.
	passesToFirstEvent = 1.5
)

// split places the prefill of a long prompt in parts. Where no engines have room, the request waits,
// and is refused as soon as its first event is predicted to be late.
func (s *Scratch) split(r *Request, p *Params, targets []Target, d *Decision) {
	slices.SortFunc(s.prefillers, func(a, b int) int { return comparePrefillers(r.Seed, &targets[a], &targets[b]) })
	late := !r.Retry && r.Goal > 0 && r.Waited > LongestWait(p, r.PromptTokens, r.Goal)
	switch {
	case late && r.PrefillAhead > 0:
		// Leave the room to queued prompts that can still be in time.
	case s.splitWithinGapGoals(r, p, targets, d) || !late && s.splitMissingGapGoals(r, p, targets, d):
		return
	case r.Retry && len(s.best) > 0:
		s.placeWhole(r, p, targets, d)
		return
	}
	d.Verdict = Wait
	d.PredictedFirstEvent = predictQueued(r, targets, d.PrefillTime)
	shortestPart := d.PrefillTime / float64(partLimit(s.prefillers, d.PrefillTime))
	predictedLate := r.Goal > 0 && r.Waited >= refuseAfter*r.Goal && (shortestPart > heavyPart || d.PredictedFirstEvent > r.Goal)
	if late || !r.Retry && predictedLate {
		d.Verdict = Refuse
	}
	d.Rejections.Backlog++
}

// LongestWait returns how long, in seconds, a prompt can wait for its placement and be answered within
// its goal, if it is prefilled in as many parts as help by engines without other work. Where the goal
// leaves little or no time to wait, acceptFewerAfter of the goal is returned, so that the prompt is not
// passed over whenever there is a queue.
func LongestWait(p *Params, promptTokens int64, goal float64) float64 {
	prefill := p.Timing.PrefillTime(promptTokens)
	parts := min(MaxParts, max(1, math.Ceil(prefill/wantedPartTime)))
	shortestTime := prefill/parts/prefillShare + passesToFirstEvent*p.Timing.PassTime(1, promptTokens)
	return max(goal-shortestTime, acceptFewerAfter*goal)
}

// partLimit returns the maximum number of parts that a prompt is split into.
func partLimit(prefillers []int, prefill float64) int {
	return max(1, min(MaxParts, len(prefillers), int(math.Ceil(prefill/wantedPartTime))))
}

// splitWithinGapGoals splits a prompt into parts that keep the gap goals of all requests beside them.
func (s *Scratch) splitWithinGapGoals(r *Request, p *Params, targets []Target, d *Decision) bool {
	most := partLimit(s.prefillers, d.PrefillTime)
	longest := max(lightPart, maxPartStretch*d.PrefillTime/float64(most))
	if r.Waited >= acceptFewerAfter*r.Goal {
		longest = math.Inf(1)
	}
	heavyLimit := d.Pool.heavyPartLimit(r, targets)
	for parts := most; parts >= 1; parts-- {
		part := d.PrefillTime / float64(parts)
		if part > longest {
			break
		}
		if part > heavyPart && parts > heavyLimit {
			continue
		}
		chosen := s.prefillersWithinGapGoals(p, targets, part, parts)
		if len(chosen) < parts {
			continue
		}
		if s.chooseAnswering(r, targets, chosen, d) {
			d.PartPrefillTime = part
			d.PredictedFirstEvent = predictPlaced(r, p, targets, chosen, part)
			return true
		}
	}
	return false
}

// heavyPartLimit returns how many engines may take a heavy part of a prompt: what is
// left of heavyShare, or as many as the request's memory needs.
func (s *PoolState) heavyPartLimit(r *Request, targets []Target) int {
	return max(int(heavyShare*float64(s.Live))-s.HeavyPrefillTargets, enginesForMemory(r, targets))
}

// enginesForMemory returns how many engines the memory of a request needs if all of them
// are empty; zero where one is enough.
func enginesForMemory(r *Request, targets []Target) int {
	largest := int64(0)
	for i := range targets {
		if targets[i].State == Live {
			largest = max(largest, targets[i].MemoryTokens)
		}
	}
	if largest == 0 || r.MemoryTokens() <= largest {
		return 0
	}
	return int(math.Ceil(float64(r.MemoryTokens()) * reservationMargin / (float64(largest) * reservationShare)))
}

// predictPlaced returns the time from a prompt's arrival to its first event if the
// chosen targets begin with their parts now.
func predictPlaced(r *Request, p *Params, targets []Target, chosen []int, part float64) float64 {
	last := 0.0
	for _, i := range chosen {
		t := &targets[i]
		pass := p.Timing.PassTime(t.Load.Requests, t.Load.MemoryTokens)
		last = max(last, t.PendingPrefill+part/prefillShare+passesToFirstEvent*pass)
	}
	return r.Waited + last
}

// predictQueued returns the time from a waiting prompt's arrival to its first event if it and
// the prompts before it are prefilled by all engines without gap-sensitive requests.
func predictQueued(r *Request, targets []Target, prefill float64) float64 {
	engines, before := 0, r.PrefillAhead
	for i := range targets {
		if t := &targets[i]; t.State == Live && t.GapSensitive == 0 {
			engines++
			before += t.PendingPrefill
		}
	}
	if engines == 0 {
		return unpredictedTime
	}
	return r.Waited + (before+prefill)/(prefillShare*float64(engines))
}

// comparePrefillers orders targets by pending prefill, the least first. Ties are broken by
// the seed, so that uncoordinated daemons do not all take the same targets.
func comparePrefillers(seed uint64, a, b *Target) int {
	if order := cmp.Or(cmp.Compare(a.PendingPrefill, b.PendingPrefill), cmp.Compare(a.GapSensitive, b.GapSensitive)); order != 0 {
		return order // Computing the tie-breakers costs two hashes.
	}
	return cmp.Compare(tieBreaker(seed, a), tieBreaker(seed, b))
}

func tieBreaker(seed uint64, t *Target) uint64 {
	return rendezvous.Score(strconv.FormatUint(seed, 36), t.ID)
}

// prefillersWithinGapGoals lists the first targets, in the order of prefillers, whose gap goals
// and prefill slack allow a part.
func (s *Scratch) prefillersWithinGapGoals(p *Params, targets []Target, part float64, parts int) []int {
	chosen := s.chosen[:0]
	for _, i := range s.prefillers {
		t := &targets[i]
		if t.PendingPrefill > maxPrefillBefore {
			break
		}
		if t.PendingPrefill+part > prefillBudget(p, t) || t.PendingPromptTokens > 0 && part > t.PrefillSlack {
			continue
		}
		if chosen = append(chosen, i); len(chosen) == parts {
			break
		}
	}
	s.chosen = chosen
	return chosen
}

// prefillBudget returns how much prefill the gap goals at a target allow. All pending
// prefill may fall into one pass: what a step prefills is limited in tokens and not in
// time, and the tokens take longer the more tokens come before them.
func prefillBudget(p *Params, t *Target) float64 {
	if t.GapGoal <= 0 {
		return math.Inf(1)
	}
	return usableGapShare*t.GapGoal - p.Timing.PassTime(t.Load.Requests, t.Load.MemoryTokens)
}
