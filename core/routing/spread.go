package routing

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"doorstack.dev/core/rendezvous"
)

// A long prompt is read in parts on several engines. How many, which, and when it is
// refused is decided here.
//
// Times are in seconds.
const (
	// wantedPartTime is the reading time aimed at for a part: about one and a half passes of
	// an engine that only writes.
	wantedPartTime = 0.075
	// MaxParts is the most engines that read one prompt: the engine that answers and
	// at most 16 helpers, which is the platform's bound.
	MaxParts = 17
	// maxPrefillBefore is the reading before a long prompt's parts above which it waits in
	// the daemon, where its order can still change.
	maxPrefillBefore = 0.3
	// lightPart is the reading time up to which a part is never too long. heavyPart is
	// the time from which one is deep: an engine with it is of no use to a chat for
	// several passes, and its writers pause for longer than most callers bear. At most
	// heavyShare of the engines have deep parts at one time, so that the rest can follow a
	// swing from long prompts to short ones; swings of the users' traffic take less than
	// a second.
	lightPart  = 0.25
	heavyPart  = 0.75
	heavyShare = 0.4
	// unpredictedTime stands for a time that cannot be told, in seconds; a record cannot hold
	// an infinite number.
	unpredictedTime = 3600
	// prefillShare is the part of an engine's time that is left for reading.
	prefillShare = 0.85
	// A long prompt waits for as many engines as it can use: maxPartStretch is how much
	// longer than that its parts may be. After acceptFewerAfter of its goal it takes any
	// number of engines whose callers bear it.
	maxPartStretch   = 3.0
	acceptFewerAfter = 0.4
	// passesToFirstEvent is the time from the end of reading to the first event, in passes.
	passesToFirstEvent = 1.5
)

// spread cuts the reading of a long prompt into parts. Where it finds no room, the caller is told
// to come back as soon as the prompt is foreseen to be late.
func (s *Scratch) split(r *Request, p *Params, targets []Target, d *Decision) {
	slices.SortFunc(s.prefillers, func(a, b int) int { return comparePrefillers(r.Seed, &targets[a], &targets[b]) })
	late := !r.Retry && r.Goal > 0 && r.Waited > LongestWait(p, r.PromptTokens, r.Goal)
	switch {
	case late && r.PrefillAhead > 0:
		// Others that can be in time wait for the same room.
	case s.splitWithinGapGoals(r, p, targets, d) || !late && s.splitMissingGapGoals(r, p, targets, d):
		return
	case r.Retry && len(s.best) > 0:
		s.placeWhole(r, p, targets, d)
		return
	}
	d.Verdict = Wait
	d.PredictedFirstEvent = predictQueued(r, targets, d.PrefillTime)
	least := d.PrefillTime / float64(partLimit(s.prefillers, d.PrefillTime))
	foreseenLate := r.Goal > 0 && r.Waited >= refuseAfter*r.Goal && (least > heavyPart || d.PredictedFirstEvent > r.Goal)
	if late || !r.Retry && foreseenLate {
		d.Verdict = Refuse
	}
	d.Rejections.Backlog++
}

// LongestWait is how long, in seconds, a prompt can wait for its placement and be answered within its
// goal: read in as many parts as help, by engines that have nothing else to do. One whose goal leaves
// it little or no time has its turn all the same for a part of the goal, so that it does not always
// stand back where there is a queue.
func LongestWait(p *Params, promptTokens int64, goal float64) float64 {
	reading := p.Timing.PrefillTime(promptTokens)
	parts := min(MaxParts, max(1, math.Ceil(reading/wantedPartTime)))
	least := reading/parts/prefillShare + passesToFirstEvent*p.Timing.PassTime(1, promptTokens)
	return max(goal-least, acceptFewerAfter*goal)
}

// partLimit is the most parts that a prompt is cut into.
func partLimit(readers []int, reading float64) int {
	return max(1, min(MaxParts, len(readers), int(math.Ceil(reading/wantedPartTime))))
}

// spreadBorne cuts a prompt into parts that the callers of all writers beside them bear.
func (s *Scratch) splitWithinGapGoals(r *Request, p *Params, targets []Target, d *Decision) bool {
	most := partLimit(s.prefillers, d.PrefillTime)
	longest := max(lightPart, maxPartStretch*d.PrefillTime/float64(most))
	if r.Waited >= acceptFewerAfter*r.Goal {
		longest = math.Inf(1)
	}
	deep := d.Pool.heavyPartLimit(r, targets)
	for parts := most; parts >= 1; parts-- {
		part := d.PrefillTime / float64(parts)
		if part > longest {
			break
		}
		if part > heavyPart && parts > deep {
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

// deepRoom is how many engines may take a deep part of a prompt: what is left of the share,
// or as many as its memory needs.
func (s *PoolState) heavyPartLimit(r *Request, targets []Target) int {
	return max(int(heavyShare*float64(s.Live))-s.HeavyPrefill, enginesForMemory(r, targets))
}

// enginesForMemory is how many engines the memory of a prompt needs, if all of them are empty;
// zero where one is enough.
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

// predictPlaced is the time from a prompt's arrival to its first event, if the chosen targets
// begin with their parts now.
func predictPlaced(r *Request, p *Params, targets []Target, chosen []int, part float64) float64 {
	last := 0.0
	for _, i := range chosen {
		t := &targets[i]
		pass := p.Timing.PassTime(t.Load.Requests, t.Load.MemoryTokens)
		last = max(last, t.PendingPrefill+part/prefillShare+passesToFirstEvent*pass)
	}
	return r.Waited + last
}

// predictQueued is the time from arrival to the first event of a prompt that waits, if the
// prompts before it and it are read by all engines without close writers.
func predictQueued(r *Request, targets []Target, reading float64) float64 {
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
	return r.Waited + (before+reading)/(prefillShare*float64(engines))
}

// comparePrefillers puts the target with the least to read first. Ties are broken by the
// seed, so that daemons which decide alone do not all take the same targets.
func comparePrefillers(seed uint64, a, b *Target) int {
	if order := cmp.Or(cmp.Compare(a.PendingPrefill, b.PendingPrefill), cmp.Compare(a.GapSensitive, b.GapSensitive)); order != 0 {
		return order // The tie costs two hashes.
	}
	return cmp.Compare(tieBreaker(seed, a), tieBreaker(seed, b))
}

func tieBreaker(seed uint64, t *Target) uint64 {
	return rendezvous.Score(strconv.FormatUint(seed, 36), t.ID)
}

// bearing lists the first targets, least reading first, whose callers bear a part.
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

// prefillBudget is how much reading the callers of a target's writers bear. All that is before
// an engine may fall into one pass: a step reads up to a chunk of tokens, which takes
// the longer the more stands before them.
func prefillBudget(p *Params, t *Target) float64 {
	if t.GapGoal <= 0 {
		return math.Inf(1)
	}
	return usableGapShare*t.GapGoal - p.Timing.PassTime(t.Load.Requests, t.Load.MemoryTokens)
}
