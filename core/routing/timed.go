package routing

// Where the timing of the engines is known, a target is chosen by what a request would do
// to the passes of its engine (package engine defines a pass): prefill beside decoding
// requests lengthens the gaps of all of their streams. Short prompts are packed onto few
// engines, long ones are split over many, and a part goes beside decoding requests only
// where their gap goals allow it.

// Constants of the policy, in seconds unless said otherwise.
const (
	// maxWholePrefill is the prefill time up to which a prompt is not split.
	maxWholePrefill = 0.1
	// usableGapShare is the share of a gap goal that a pass may fill; the rest is for
	// the network and for prefill that is not predicted.
	usableGapShare = 0.8
	// refuseAfter is the share of its goal after which a waiting prompt is refused if no
	// room for it is predicted in time: early enough that a retry by the caller can be
	// answered in time.
	refuseAfter = 0.2
	// packingLossShare is the largest share of its time for prefill that an engine loses
	// while it decodes one request.
	packingLossShare = 0.5
	// safeGoalShare is the share of its goal within which a prompt's first event should be
	// predicted, since more prompts are placed into the same pass later; latenessWeight
	// scales each second beyond.
	safeGoalShare  = 0.5
	latenessWeight = 8
	// interferenceCost is the cost of missing the gap goal of one other request, in seconds
	// of an engine's time: keeping a gap goal is worth as much as a long prompt whose prefill
	// takes that time.
	interferenceCost = 0.15
)

// hasTiming reports whether the request has a prompt and the pool's engines a known timing.
func hasTiming(r *Request, p *Params) bool { return p.Timing != nil && r.PromptTokens > 0 }

// decideTimed places a prompt on engines of known timing.
func (s *Scratch) decideTimed(r *Request, p *Params, targets []Target) Decision {
	d := Decision{Request: *r, Params: *p, Considered: len(targets)}
	d.PrefillTime = p.Timing.PrefillTime(r.PromptTokens)
	d.Pool = poolState(targets)
	s.packingCost = packingCost(r, p) * d.Pool.packingNeed()
	s.scanTimed(r, p, targets, &d)
	d.Verdict = None
	switch {
	case d.PrefillTime > maxWholePrefill && len(s.prefillers) > 0:
		s.split(r, p, targets, &d)
	case len(s.best) == 0 && d.Rejections.temporary() > 0:
		d.Verdict = Wait
		if !r.AnswerStarted && r.Goal > 0 && r.Waited >= refuseAfter*r.Goal {
			d.Verdict = Refuse
		}
	case len(s.best) > 0:
		s.placeWhole(r, p, targets, &d)
	}
	if d.Verdict != Wait || !r.OmitCandidates {
		d.Candidates = s.recordTimed(r, p, targets)
	}
	return d
}

// placeWhole takes the best target for a prompt that is not split.
func (s *Scratch) placeWhole(r *Request, p *Params, targets []Target, d *Decision) {
	t := &targets[s.best[0].index]
	scores := s.scoreTimed(r, p, t, d.PrefillTime)
	d.Verdict, d.Chosen, d.PartPrefillTime = Place, t.ID, d.PrefillTime
	d.PredictedFirstEvent = r.Waited + scores.Backlog + scores.Prefill + scores.Batch
}

// poolState sums up the live targets.
func poolState(targets []Target) *PoolState {
	sum := &PoolState{}
	for i := range targets {
		t := &targets[i]
		if t.State != Live {
			continue
		}
		sum.Live++
		sum.Requests += t.Load.Requests
		sum.PendingPrefill += t.PendingPrefill
		if t.GapSensitive > 0 {
			sum.GapSensitiveTargets++
		}
		if t.PendingPrefill > heavyPart {
			sum.HeavyPrefillTargets++
		}
	}
	return sum
}

// scanTimed filters and scores the targets.
func (s *Scratch) scanTimed(r *Request, p *Params, targets []Target, d *Decision) {
	s.best, s.rejected, s.prefillers = s.best[:0], s.rejected[:0], s.prefillers[:0]
	fullSpeed := anyAtFullSpeed(targets)
	for i := range targets {
		t := &targets[i]
		f := filterTimed(r, t)
		if (f == "" || f.lacksRoom()) && (t.slowdown() == 1 || !fullSpeed) {
			s.prefillers = append(s.prefillers, i) // It may still prefill a part for another target.
		}
		if f != "" {
			d.Rejections.count(f)
			s.rejected = append(s.rejected, rejected{i, f})
			continue
		}
		scores := s.scoreTimed(r, p, t, d.PrefillTime)
		s.keep(ranked{i, scores.Total()})
	}
}

// anyAtFullSpeed reports whether a live target works at its usual speed. If so, slow ones
// prefill no parts, since a prompt's prefill ends with that of its last part.
func anyAtFullSpeed(targets []Target) bool {
	for i := range targets {
		if targets[i].State == Live && targets[i].slowdown() == 1 {
			return true
		}
	}
	return false
}

// slowdown returns the factor by which the target's work takes longer than usual, at least one.
func (t *Target) slowdown() float64 { return max(1, t.Slowdown) }

// filterTimed returns the first filter that rejects the target, or "".
func filterTimed(r *Request, t *Target) Filter {
	if f := targetFilter(r, t); f != "" {
		return f
	}
	if r.MemoryTokens() > t.freeMemory() {
		return FilterMemory
	}
	return ""
}

// scoreTimed estimates the time to the first event of a prompt that is not split, and
// what placing the prompt there costs other requests.
func (s *Scratch) scoreTimed(r *Request, p *Params, t *Target, prefill float64) Scores {
	pass := t.slowdown() * p.Timing.PassTime(t.Load.Requests+1, t.Load.MemoryTokens+r.PromptTokens)
	prefill *= t.slowdown()
	scores := Scores{Backlog: t.PendingPrefill, Prefill: prefill, Batch: 1.5 * pass, Failures: failurePenalty(t)}
	if t.DataCentre != r.DataCentre {
		scores.Locality = p.RemotePenalty
	}
	scores.Interference = interference(t, pass+t.nextPassPrefill()+prefill)
	if r.Goal > 0 {
		scores.Lateness = latenessWeight * max(0, scores.Backlog+scores.Prefill+scores.Batch-safeGoalShare*r.Goal)
	}
	if r.Uncoordinated {
		scores.Jitter = jitter(r, t)
		return scores // An uncoordinated daemon does not know where the others pack requests.
	}
	scores.Packing = s.packingCost * remainingSlotShare(t)
	return scores
}

// packingCost returns the prefill time, in seconds, that an engine without gap-sensitive requests
// loses by decoding the answer: each event takes a pass, and the gap goal allows no pass full of
// prefill. An engine with gap-sensitive requests has lost prefill time already, in proportion to
// the slots that these take. More of them are thus packed onto it, while other engines finish theirs.
func packingCost(r *Request, p *Params) float64 {
	if r.GapGoal <= 0 {
		return 0
	}
	pass := p.Timing.PassTime(1, r.PromptTokens)
	events := float64(r.OutputTokens) / float64(p.Timing.StepsPerPass)
	return packingLossShare * events * pass * min(1, pass/(usableGapShare*r.GapGoal))
}

// idleReserve is the number of idle engines up to which short prompts are packed fully: as many long prompts
// at once as packedFor find the engines that prefill their parts. Beyond twice as many there is no need to
// pack, and packed requests delay each other and send their prompts to other data centres.
const (
	packedFor   = 8
	idleReserve = packedFor * (MaxParts + 1)
)

// packingNeed returns how far short prompts have to be packed, 0 to 1, to keep engines idle for long ones.
func (s *PoolState) packingNeed() float64 {
	idle := s.Live - s.GapSensitiveTargets - s.HeavyPrefillTargets
	return min(1, max(0, 2-float64(idle)/idleReserve))
}

// remainingSlotShare returns the share of an engine's slots that no gap-sensitive request takes.
func remainingSlotShare(t *Target) float64 {
	switch {
	case t.GapSensitive == 0:
		return 1
	case t.MaxConcurrent <= t.GapSensitive:
		return 0
	default:
		return 1 - float64(t.GapSensitive)/float64(t.MaxConcurrent)
	}
}

// interference returns the cost of a gap for the gap-sensitive requests at an engine, in seconds.
// It grows with their number and with the likelihood that the smallest gap goal is missed, which is
// zero up to usableGapShare of the goal.
func interference(t *Target, gap float64) float64 {
	if t.GapGoal <= 0 {
		return 0
	}
	missLikelihood := (gap - usableGapShare*t.GapGoal) / ((1 - usableGapShare) * t.GapGoal)
	return interferenceCost * float64(max(1, t.GapSensitive)) * min(1, max(0, missLikelihood))
}

// nextPassPrefill returns the prefill time, in seconds, that may fall into one pass.
func (t *Target) nextPassPrefill() float64 { return max(t.PendingPrefill, t.RecentPrefill) }

// freeMemory returns the memory that no known request takes, in tokens.
func (t *Target) freeMemory() int64 { return max(0, t.MemoryTokens-t.Load.MemoryTokens) }

// full reports whether the target has as many requests as it can process at a time.
func (t *Target) full() bool { return t.MaxConcurrent > 0 && t.Load.Requests >= t.MaxConcurrent }

// recordTimed copies the targets that the decision was made from: all of them where
// there are few, else the first ones of the rankings for parts and for whole prompts.
func (s *Scratch) recordTimed(r *Request, p *Params, targets []Target) []Candidate {
	prefill := p.Timing.PrefillTime(r.PromptTokens)
	list := make([]Candidate, 0, min(len(targets), maxRecordedTimed))
	seen := map[int]bool{}
	add := func(i int, c Candidate) {
		if len(list) < maxRecordedTimed && !seen[i] {
			seen[i] = true
			list = append(list, c)
		}
	}
	for _, b := range s.best[:min(len(s.best), 2)] {
		add(b.index, Candidate{Target: targets[b.index], Scores: s.scoreTimed(r, p, &targets[b.index], prefill)})
	}
	for _, x := range s.rejected {
		if x.filter.lacksRoom() {
			add(x.index, Candidate{Target: targets[x.index], Rejected: x.filter})
		}
	}
	for _, i := range s.prefillers {
		add(i, Candidate{Target: targets[i], Scores: s.scoreTimed(r, p, &targets[i], prefill)})
	}
	for _, x := range s.rejected {
		add(x.index, Candidate{Target: targets[x.index], Rejected: x.filter})
	}
	return list
}

// maxRecordedTimed bounds the candidates recorded of a decision about engines of known
// timing: a split prompt takes up to MaxParts of them.
const maxRecordedTimed = 24
