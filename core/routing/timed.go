package routing

// Engines whose timing is known are chosen by what a request would do to the passes
// of its engine: a prompt that is read beside requests that write makes all of their
// callers wait for it. Short prompts are packed onto few engines, long ones are read
// in parts on many, and a part goes beside writers only where their callers bear it.

// The policy's constants, in seconds unless said otherwise.
const (
	// wholeWork is the reading time up to which a prompt is read in one piece.
	wholeWork = 0.1
	// gapShare is the part of a caller's longest pause that a pass may fill; the rest
	// is for the way and for reading that is not foreseen.
	gapShare = 0.8
	// refuseAfter is the part of its goal that a prompt waits for room which is not
	// foreseen to come in time. Then its caller is told to come back, early enough to
	// be served in time by another attempt.
	refuseAfter = 0.2
	// openShare is the part of the time of an engine with one writer that is lost to reading.
	openShare = 0.5
	// safeShare is the part of its goal that a prompt's time to the first event is
	// foreseen to stay below, since more is given to the same pass later; lateness weighs each
	// second beyond.
	safeShare = 0.5
	lateness  = 8
	// disturbance is what it costs that one other caller waits too long, in seconds of an engine:
	// a long prompt that is read in that time is worth as much.
	disturbance = 0.15
)

// timed tells whether the decision is one for engines of known timing.
func timed(r *Request, p *Params) bool { return p.Timing != nil && r.PromptTokens > 0 }

// decideTimed places a prompt on engines of known timing.
func (s *Scratch) decideTimed(r *Request, p *Params, targets []Target) Decision {
	d := Decision{Request: *r, Params: *p, Considered: len(targets)}
	d.Reading = p.Timing.Read(r.PromptTokens)
	d.Pool = poolState(targets)
	s.opening = opening(r, p)
	s.scanTimed(r, p, targets, &d)
	d.Verdict = None
	switch {
	case d.Reading > wholeWork && len(s.readers) > 0:
		s.spread(r, p, targets, &d)
	case len(s.best) == 0 && d.Rejections.waitable() > 0:
		d.Verdict = Wait
		if !r.Begun && r.Goal > 0 && r.Waited >= refuseAfter*r.Goal {
			d.Verdict = Refuse
		}
	case len(s.best) > 0:
		s.placeWhole(r, p, targets, &d)
	}
	if d.Verdict != Wait || !r.Recorded {
		d.Candidates = s.recordTimed(r, p, targets)
	}
	return d
}

// placeWhole takes the best target for a prompt that is read in one piece.
func (s *Scratch) placeWhole(r *Request, p *Params, targets []Target, d *Decision) {
	t := &targets[s.best[0].index]
	scores := s.scoreTimed(r, p, t, d.Reading)
	d.Verdict, d.Chosen, d.Part = Place, t.ID, d.Reading
	d.Foreseen = r.Waited + scores.Backlog + scores.Prefill + scores.Batch
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
		sum.Writers += t.Load.Requests
		sum.Reading += t.Reading
		if t.Tight > 0 {
			sum.Close++
		}
		if t.Reading > deepPart {
			sum.Deep++
		}
	}
	return sum
}

// scanTimed filters and scores the targets.
func (s *Scratch) scanTimed(r *Request, p *Params, targets []Target, d *Decision) {
	s.best, s.rejected, s.readers = s.best[:0], s.rejected[:0], s.readers[:0]
	sound := anySound(targets)
	for i := range targets {
		t := &targets[i]
		f := filterTimed(r, t)
		if (f == "" || f.room()) && (t.pace() == 1 || !sound) {
			s.readers = append(s.readers, i) // It may still read a part for another.
		}
		if f != "" {
			d.Rejections.count(f)
			s.rejected = append(s.rejected, rejected{i, f})
			continue
		}
		scores := s.scoreTimed(r, p, t, d.Reading)
		s.keep(ranked{i, scores.Total()})
	}
}

// anySound tells whether a live target works at its usual pace. Then slow ones read no
// parts: a prompt has been read when its last part has.
func anySound(targets []Target) bool {
	for i := range targets {
		if targets[i].State == Live && targets[i].pace() == 1 {
			return true
		}
	}
	return false
}

// pace is the factor by which the target's work takes longer than usual.
func (t *Target) pace() float64 { return max(1, t.Pace) }

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
	case t.exhausted(r):
		return FilterLimit
	case r.MemoryTokens() > t.free():
		return FilterMemory
	}
	return ""
}

// scoreTimed estimates the time to the first event of a prompt read in one piece, and
// what the prompt costs others.
func (s *Scratch) scoreTimed(r *Request, p *Params, t *Target, reading float64) Scores {
	pass := t.pace() * p.Timing.Pass(t.Load.Requests+1, t.Load.MemoryTokens+r.PromptTokens)
	reading *= t.pace()
	scores := Scores{Backlog: t.Reading, Prefill: reading, Batch: 1.5 * pass, Trouble: trouble(t)}
	if t.DataCentre != r.DataCentre {
		scores.Locality = p.RemotePenalty
	}
	scores.LongMix = disturbing(t, pass+t.nextPass()+reading)
	if r.Goal > 0 {
		scores.Lateness = lateness * max(0, scores.Backlog+scores.Prefill+scores.Batch-safeShare*r.Goal)
	}
	if r.Blind {
		scores.Chance = chance(r, t)
		return scores // Where others pack writers is not known.
	}
	scores.Packing = s.opening * unwritten(t)
	return scores
}

// opening is the time, in seconds, that an engine without close writers loses to reading by a
// prompt's answer: it takes a pass for each event, and its caller bears no pass that is full of
// reading. An engine that has such writers has lost the more of it already, the more of its slots
// they take; so they are drawn together, and the others end theirs.
func opening(r *Request, p *Params) float64 {
	if r.GapGoal <= 0 {
		return 0
	}
	pass := p.Timing.Pass(1, r.PromptTokens)
	events := float64(r.OutputTokens) / float64(p.Timing.Stride)
	return openShare * events * pass * min(1, pass/(gapShare*r.GapGoal))
}

// unwritten is the part of an engine's slots that no writer has whose caller waits closely.
func unwritten(t *Target) float64 {
	switch {
	case t.Tight == 0:
		return 1
	case t.MaxConcurrent <= t.Tight:
		return 0
	default:
		return 1 - float64(t.Tight)/float64(t.MaxConcurrent)
	}
}

// disturbing is the cost of a pause for the writers at an engine whose callers wait closely: the more
// of them there are, and the surer it is that they notice.
func disturbing(t *Target, pause float64) float64 {
	if t.GapGoal <= 0 {
		return 0
	}
	sure := (pause - gapShare*t.GapGoal) / ((1 - gapShare) * t.GapGoal)
	return disturbance * float64(max(1, t.Tight)) * min(1, max(0, sure))
}

// nextPass is the reading time, in seconds, that may fall into one pass.
func (t *Target) nextPass() float64 { return max(t.Reading, t.Fresh) }

// free is the memory that no request is known to take.
func (t *Target) free() int64 { return max(0, t.MemoryTokens-t.Load.MemoryTokens) }

// full tells whether the target works on as many requests as it can.
func (t *Target) full() bool { return t.MaxConcurrent > 0 && t.Load.Requests >= t.MaxConcurrent }

// recordTimed copies the targets that the decision was made from: all of them where
// there are few, else those that readers and scores put first.
func (s *Scratch) recordTimed(r *Request, p *Params, targets []Target) []Candidate {
	reading := p.Timing.Read(r.PromptTokens)
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
		if x.filter.room() {
			add(x.index, Candidate{Target: targets[x.index], Rejected: x.filter})
		}
	}
	for _, i := range s.readers {
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
