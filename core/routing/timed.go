package routing

// Engines whose timing is known are chosen by what a request would do to the passes
// of its engine: a prompt that is read beside requests that write makes all of their
// callers wait for it. Short prompts are packed onto few engines, long ones are read
// in parts on many, and a part goes beside writers only where their callers bear it.

// The policy's constants, in seconds unless said otherwise.
const (
	// maxWholePrefill is the reading time up to which a prompt is read in one piece.
	maxWholePrefill = 0.1
	// usableGapShare is the part of a caller's longest pause that a pass may fill; the rest
	// is for the way and for reading that is not foreseen.
	usableGapShare = 0.8
	// refuseAfter is the part of its goal that a prompt waits for room which is not
	// foreseen to come in time. Then its caller is told to come back, early enough to
	// be served in time by another attempt.
	refuseAfter = 0.2
	// packingLossShare is the part of the time of an engine with one writer that is lost to reading.
	packingLossShare = 0.5
	// safeGoalShare is the part of its goal that a prompt's time to the first event is
	// foreseen to stay below, since more is given to the same pass later; lateness weighs each
	// second beyond.
	safeGoalShare  = 0.5
	latenessWeight = 8
	// disturbance is what it costs that one other caller waits too long, in seconds of an engine:
	// a long prompt that is read in that time is worth as much.
	interferenceCost = 0.15
)

// hasTiming tells whether the decision is one for engines of known timing.
func hasTiming(r *Request, p *Params) bool { return p.Timing != nil && r.PromptTokens > 0 }

// decideTimed places a prompt on engines of known timing.
func (s *Scratch) decideTimed(r *Request, p *Params, targets []Target) Decision {
	d := Decision{Request: *r, Params: *p, Considered: len(targets)}
	d.PrefillTime = p.Timing.PrefillTime(r.PromptTokens)
	d.Pool = poolState(targets)
	s.packingCost = packingCost(r, p)
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

// placeWhole takes the best target for a prompt that is read in one piece.
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
			sum.GapSensitive++
		}
		if t.PendingPrefill > heavyPart {
			sum.HeavyPrefill++
		}
	}
	return sum
}

// scanTimed filters and scores the targets.
func (s *Scratch) scanTimed(r *Request, p *Params, targets []Target, d *Decision) {
	s.best, s.rejected, s.prefillers = s.best[:0], s.rejected[:0], s.prefillers[:0]
	sound := anyAtFullSpeed(targets)
	for i := range targets {
		t := &targets[i]
		f := filterTimed(r, t)
		if (f == "" || f.lacksRoom()) && (t.slowdown() == 1 || !sound) {
			s.prefillers = append(s.prefillers, i) // It may still read a part for another.
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

// anyAtFullSpeed tells whether a live target works at its usual pace. Then slow ones read no
// parts: a prompt has been read when its last part has.
func anyAtFullSpeed(targets []Target) bool {
	for i := range targets {
		if targets[i].State == Live && targets[i].slowdown() == 1 {
			return true
		}
	}
	return false
}

// pace is the factor by which the target's work takes longer than usual.
func (t *Target) slowdown() float64 { return max(1, t.Slowdown) }

// filterTimed returns the first filter that rejects the target, or "".
func filterTimed(r *Request, t *Target) Filter {
	switch {
	case t.State != Live:
		return FilterState
	case t.BreakerOpen:
		return FilterBreaker
	case excluded(r, t.ID):
		return FilterExcluded
	case t.full():
		return FilterConcurrency
	case t.rateLimited(r):
		return FilterLimit
	case r.MemoryTokens() > t.freeMemory():
		return FilterMemory
	}
	return ""
}

// scoreTimed estimates the time to the first event of a prompt read in one piece, and
// what the prompt costs others.
func (s *Scratch) scoreTimed(r *Request, p *Params, t *Target, reading float64) Scores {
	pass := t.slowdown() * p.Timing.PassTime(t.Load.Requests+1, t.Load.MemoryTokens+r.PromptTokens)
	reading *= t.slowdown()
	scores := Scores{Backlog: t.PendingPrefill, Prefill: reading, Batch: 1.5 * pass, Failures: failurePenalty(t)}
	if t.DataCentre != r.DataCentre {
		scores.Locality = p.RemotePenalty
	}
	scores.Interference = interference(t, pass+t.nextPassPrefill()+reading)
	if r.Goal > 0 {
		scores.Lateness = latenessWeight * max(0, scores.Backlog+scores.Prefill+scores.Batch-safeGoalShare*r.Goal)
	}
	if r.Uncoordinated {
		scores.Jitter = jitter(r, t)
		return scores // Where others pack writers is not known.
	}
	scores.Packing = s.packingCost * unsharedSlots(t)
	return scores
}

// packingCost is the time, in seconds, that an engine without close writers loses to reading by a
// prompt's answer: it takes a pass for each event, and its caller bears no pass that is full of
// reading. An engine that has such writers has lost the more of it already, the more of its slots
// they take; so they are drawn together, and the others end theirs.
func packingCost(r *Request, p *Params) float64 {
	if r.GapGoal <= 0 {
		return 0
	}
	pass := p.Timing.PassTime(1, r.PromptTokens)
	events := float64(r.OutputTokens) / float64(p.Timing.StepsPerPass)
	return packingLossShare * events * pass * min(1, pass/(usableGapShare*r.GapGoal))
}

// unsharedSlots is the part of an engine's slots that no writer has whose caller waits closely.
func unsharedSlots(t *Target) float64 {
	switch {
	case t.GapSensitive == 0:
		return 1
	case t.MaxConcurrent <= t.GapSensitive:
		return 0
	default:
		return 1 - float64(t.GapSensitive)/float64(t.MaxConcurrent)
	}
}

// interference is the cost of a pause for the writers at an engine whose callers wait closely: the more
// of them there are, and the surer it is that they notice.
func interference(t *Target, pause float64) float64 {
	if t.GapGoal <= 0 {
		return 0
	}
	sure := (pause - usableGapShare*t.GapGoal) / ((1 - usableGapShare) * t.GapGoal)
	return interferenceCost * float64(max(1, t.GapSensitive)) * min(1, max(0, sure))
}

// nextPass is the reading time, in seconds, that may fall into one pass.
func (t *Target) nextPassPrefill() float64 { return max(t.PendingPrefill, t.RecentPrefill) }

// free is the memory that no request is known to take.
func (t *Target) freeMemory() int64 { return max(0, t.MemoryTokens-t.Load.MemoryTokens) }

// full tells whether the target works on as many requests as it can.
func (t *Target) full() bool { return t.MaxConcurrent > 0 && t.Load.Requests >= t.MaxConcurrent }

// recordTimed copies the targets that the decision was made from: all of them where
// there are few, else those that readers and scores put first.
func (s *Scratch) recordTimed(r *Request, p *Params, targets []Target) []Candidate {
	reading := p.Timing.PrefillTime(r.PromptTokens)
	list := make([]Candidate, 0, min(len(targets), maxRecordedTimed))
	seen := map[int]bool{}
	add := func(i int, c Candidate) {
		if len(list) < maxRecordedTimed && !seen[i] {
			seen[i] = true
			list = append(list, c)
		}
	}
	for _, b := range s.best[:min(len(s.best), 2)] {
		add(b.index, Candidate{Target: targets[b.index], Scores: s.scoreTimed(r, p, &targets[b.index], reading)})
	}
	for _, x := range s.rejected {
		if x.filter.lacksRoom() {
			add(x.index, Candidate{Target: targets[x.index], Rejected: x.filter})
		}
	}
	for _, i := range s.prefillers {
		add(i, Candidate{Target: targets[i], Scores: s.scoreTimed(r, p, &targets[i], reading)})
	}
	for _, x := range s.rejected {
		add(x.index, Candidate{Target: targets[x.index], Rejected: x.filter})
	}
	return list
}

// maxRecordedTimed bounds the candidates kept of a decision about engines of known
// timing: a spread one takes up to MaxParts of them.
const maxRecordedTimed = 24
