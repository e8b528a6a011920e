package routing

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"doorstack.dev/core/rendezvous"
)

// Engines whose timing is known are chosen by what a request would do to the passes
// of its engine: a prompt that is read beside requests that write makes all of their
// callers wait for it. Short prompts are packed onto few engines, long ones are read
// in parts on many, and a part goes beside writers only where their callers bear it.

// The policy's constants, in seconds unless said otherwise. docs/design/routing.md
// has the measurements behind them.
const (
	// wholeWork is the reading time up to which a prompt is read in one piece.
	wholeWork = 0.1
	// partWork is the reading time aimed at for a part: about one and a half passes of
	// an engine that only writes.
	partWork = 0.075
	// MaxParts is the most engines that read one prompt: the engine that answers and
	// at most 16 helpers, which is the platform's bound.
	MaxParts = 17
	// gapShare is the part of a caller's longest pause that a pass may fill; the rest
	// is for the way and for reading that is not foreseen.
	gapShare = 0.8
	// holdReading is the reading before a long prompt's parts above which it waits in
	// the daemon, where its order can still change.
	holdReading = 0.3
	// smallPart is the reading time up to which a part is never too long. deepPart is
	// the time from which one is deep: an engine with it is of no use to a chat for
	// several passes, and its writers pause for longer than most callers bear. At most deepShare of the engines have deep
	// parts at one time, so that the rest can follow a swing from long prompts to short
	// ones; swings of the users' traffic take less than a second.
	smallPart = 0.25
	deepPart  = 0.75
	deepShare = 0.4
	// refuseAfter is the part of its goal that a prompt waits for room which is not
	// foreseen to come in time. Then its caller is told to come back, early enough to
	// be served in time by another attempt.
	refuseAfter = 0.2
	// notForeseen stands for a time that cannot be told, in seconds; a record cannot hold
	// an infinite number.
	notForeseen = 3600
	// readingPart is the part of an engine's time that is left for reading.
	readingPart = 0.85
	// A long prompt waits for as many engines as it can use: settleShare is how much
	// longer than that its parts may be. After settleAfter of its goal it takes any
	// number of engines whose callers bear it, and after forceAfter one engine all the
	// same: a prompt that is never tried is worth nothing to its caller.
	settleShare = 3.0
	settleAfter = 0.4
	forceAfter  = 0.8
	// After disturbAfter of its goal a prompt may go beside writers that do not bear it,
	// if it is foreseen to be read within inTime of its goal and they have at most
	// disturbShare of its tokens. passesToFirst is the time from the end of reading to
	// the first event.
	disturbAfter  = 0.03
	inTime        = 0.9
	disturbShare  = 0.35
	passesToFirst = 1.5
	// ticketShare is the part of a target's free memory that a ticket may take, and
	// ticketMargin what is asked for beyond the need, since memory comes in blocks.
	ticketShare  = 0.9
	ticketMargin = 1.02
	// packWriters is how many writers with a close goal one engine is packed with: 16
	// of them make its pass 58 ms long, one alone 44 ms.
	packWriters = 14
	// openEngine is what it costs to put a writer on an engine that has none with a
	// close goal: long prompts lose it. packSlot is the same for each slot left free.
	openEngine = 0.100
	packSlot   = 0.002
	// crowded is the cost of each writer above packWriters.
	crowded = 0.010
	// safeShare is the part of its goal that a prompt's time to the first event is
	// foreseen to stay below; lateness weighs each second beyond. The times seen are up to
	// half as long again as those foreseen.
	safeShare = 0.5
	lateness  = 3
	// disturbance weighs a second that other callers wait too long.
	disturbance = 2
)

// timed tells whether the decision is one for engines of known timing.
func timed(r *Request, p *Params) bool { return p.Timing != nil && r.PromptTokens > 0 }

// decideTimed places a prompt on engines of known timing.
func (s *Scratch) decideTimed(r *Request, p *Params, targets []Target) Decision {
	d := Decision{Request: *r, Params: *p, Considered: len(targets)}
	d.Reading = p.Timing.Read(r.PromptTokens)
	d.Pool = poolState(targets)
	s.scanTimed(r, p, targets, &d)
	d.Verdict = None
	switch {
	case d.Reading > wholeWork && len(s.readers) > 0:
		s.spread(r, p, targets, &d)
	case len(s.best) == 0 && d.Rejections.waitable() > 0:
		d.Verdict = Wait
		if r.Goal > 0 && r.Waited >= refuseAfter*r.Goal {
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
	scores := scoreTimed(r, p, t, d.Reading)
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
	for i := range targets {
		t := &targets[i]
		f := filterTimed(r, t)
		if f == "" || f == FilterMemory || f == FilterConcurrency {
			s.readers = append(s.readers, i) // It may still read a part for another.
		}
		if f != "" {
			d.Rejections.count(f)
			s.rejected = append(s.rejected, rejected{i, f})
			continue
		}
		scores := scoreTimed(r, p, t, d.Reading)
		s.keep(ranked{i, scores.Total()})
	}
}

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
	case r.MemoryTokens() > t.free():
		return FilterMemory
	}
	return ""
}

// scoreTimed estimates the time to the first event of a prompt read in one piece, and
// what the prompt costs others.
func scoreTimed(r *Request, p *Params, t *Target, reading float64) Scores {
	pass := p.Timing.Pass(t.Load.Requests+1, t.Load.MemoryTokens+r.PromptTokens)
	s := Scores{Backlog: t.Reading, Prefill: reading, Batch: 1.5 * pass, Trouble: trouble(t)}
	if t.DataCentre != r.DataCentre {
		s.Locality = p.RemotePenalty
	}
	if t.GapGoal > 0 {
		s.LongMix = disturbance * max(0, pass+t.Reading+reading-gapShare*t.GapGoal)
	}
	if r.Goal > 0 {
		s.Lateness = lateness * max(0, s.Backlog+s.Prefill+s.Batch-safeShare*r.Goal)
	}
	s.Packing = packing(t)
	return s
}

// packing is the cost of one more writer, by how many with a close goal are there.
func packing(t *Target) float64 {
	switch {
	case t.Tight == 0:
		return openEngine
	case t.Tight < packWriters:
		return packSlot * float64(packWriters-t.Tight)
	default:
		return crowded * float64(t.Tight-packWriters+1)
	}
}

// spread cuts the reading of a long prompt into parts.
func (s *Scratch) spread(r *Request, p *Params, targets []Target, d *Decision) {
	slices.SortFunc(s.readers, func(a, b int) int { return compareReaders(r.Seed, &targets[a], &targets[b]) })
	if s.spreadBorne(r, p, targets, d) || s.spreadDisturbing(r, p, targets, d) {
		return
	}
	d.Verdict = Wait
	d.Foreseen = foreseen(r, targets, d.Reading)
	least := d.Reading / float64(mostParts(s.readers, d.Reading))
	switch {
	case r.Goal <= 0:
	case r.Waited >= forceAfter*r.Goal && least <= deepPart && s.force(r, targets, d):
		return
	case r.Waited >= refuseAfter*r.Goal && (least > deepPart || d.Foreseen > r.Goal && r.Waited < settleAfter*r.Goal):
		d.Verdict = Refuse
	}
	d.Rejections.Backlog++
}

// mostParts is the most parts that a prompt is cut into.
func mostParts(readers []int, reading float64) int {
	return max(1, min(MaxParts, len(readers), int(math.Ceil(reading/partWork))))
}

// spreadBorne cuts a prompt into parts that the callers of all writers beside them bear.
func (s *Scratch) spreadBorne(r *Request, p *Params, targets []Target, d *Decision) bool {
	most := mostParts(s.readers, d.Reading)
	longest := max(smallPart, settleShare*d.Reading/float64(most))
	if r.Waited >= settleAfter*r.Goal {
		longest = math.Inf(1)
	}
	deep := int(deepShare*float64(d.Pool.Live)) - d.Pool.Deep // How many more may take a deep part.
	for parts := most; parts >= 1; parts-- {
		part := d.Reading / float64(parts)
		if part > longest {
			break
		}
		if part > deepPart && parts > deep {
			continue
		}
		chosen := s.bearing(p, targets, part, parts)
		if len(chosen) < parts {
			continue
		}
		if s.settle(r, targets, chosen, d) {
			d.Part = part
			d.Foreseen = finish(r, p, targets, chosen, part)
			return true
		}
	}
	return false
}

// finish is the time from a prompt's arrival to its first event, if the chosen targets
// begin with their parts now.
func finish(r *Request, p *Params, targets []Target, chosen []int, part float64) float64 {
	last := 0.0
	for _, i := range chosen {
		t := &targets[i]
		pass := p.Timing.Pass(t.Load.Requests, t.Load.MemoryTokens)
		last = max(last, t.Reading+part/readingPart+passesToFirst*pass)
	}
	return r.Waited + last
}

// spreadDisturbing cuts a prompt into parts on engines whose writers do not bear them,
// where the prompt weighs more than all of those. Of the ways to be in time it takes
// the one that disturbs least.
func (s *Scratch) spreadDisturbing(r *Request, p *Params, targets []Target, d *Decision) bool {
	if r.Goal <= 0 || r.Waited < disturbAfter*r.Goal {
		return false
	}
	deep := int(deepShare*float64(d.Pool.Live)) - d.Pool.Deep
	least := int64(disturbShare * float64(r.PromptTokens))
	var best []int
	s.collectPauses(p, targets)
	for parts := mostParts(s.readers, d.Reading); parts >= 1; parts-- {
		part := d.Reading / float64(parts)
		if part > deepPart && parts > deep {
			continue
		}
		chosen, harm := s.leastDisturbed(targets, part, parts)
		if len(chosen) < parts || harm > least || best != nil && harm == least {
			continue
		}
		if finish(r, p, targets, chosen, part) <= inTime*r.Goal {
			best, least = slices.Clone(chosen), harm
		}
	}
	if best == nil || !s.settle(r, targets, best, d) {
		return false
	}
	d.Part = d.Reading / float64(len(best))
	d.Forced, d.Foreseen = true, finish(r, p, targets, best, d.Part)
	return true
}

// mostHarms bounds the targets weighed against each other in a large pool.
const mostHarms = 4 * MaxParts

// collectPauses lists the targets with room before them, with the pause that their
// writers have before a part is added.
func (s *Scratch) collectPauses(p *Params, targets []Target) {
	s.harms = s.harms[:0]
	for _, i := range s.readers {
		t := &targets[i]
		if t.Reading > holdReading || len(s.harms) == mostHarms {
			break
		}
		s.harms = append(s.harms, harmed{index: i, pause: p.Timing.Pass(t.Load.Requests, t.Load.MemoryTokens) + t.Reading})
	}
}

// leastDisturbed lists the targets whose writers suffer least from a part, and the tokens
// of those that suffer.
func (s *Scratch) leastDisturbed(targets []Target, part float64, parts int) (chosen []int, harm int64) {
	for i := range s.harms {
		h := &s.harms[i]
		h.tokens = disturbed(&targets[h.index], h.pause+part)
	}
	slices.SortStableFunc(s.harms, func(a, b harmed) int { return cmp.Compare(a.tokens, b.tokens) })
	chosen = s.chosen[:0]
	for _, h := range s.harms[:min(parts, len(s.harms))] {
		chosen = append(chosen, h.index)
		harm += h.tokens
	}
	s.chosen = chosen
	return chosen, harm
}

// harmed is a target that may read a part: the pause of its writers in seconds, and the
// tokens of the requests there that the part disturbs.
type harmed struct {
	index  int
	pause  float64
	tokens int64
}

// disturbed is the length of a target's requests whose goal for the pause between two
// events is missed by a pause.
func disturbed(t *Target, pause float64) int64 {
	tokens := int64(0)
	for _, w := range t.Writers {
		if pause > gapShare*w.GapGoal {
			tokens += w.Tokens
		}
	}
	return tokens
}

// foreseen is the time from arrival to the first event of a prompt that waits, if the
// prompts before it and it are read by all engines without close writers.
func foreseen(r *Request, targets []Target, reading float64) float64 {
	engines, before := 0, r.Ahead
	for i := range targets {
		if t := &targets[i]; t.State == Live && t.Tight == 0 {
			engines++
			before += t.Reading
		}
	}
	if engines == 0 {
		return notForeseen
	}
	return r.Waited + (before+reading)/(readingPart*float64(engines))
}

// force gives a prompt that has waited long to the one engine where the fewest
// callers suffer from it.
func (s *Scratch) force(r *Request, targets []Target, d *Decision) bool {
	least := -1
	for i := range targets {
		t := &targets[i]
		if filterTimed(r, t) != "" {
			continue
		}
		if least < 0 || cmp.Or(cmp.Compare(t.Tight, targets[least].Tight), cmp.Compare(t.Reading, targets[least].Reading)) < 0 {
			least = i
		}
	}
	if least < 0 {
		return false
	}
	d.Verdict, d.Chosen, d.Part, d.Forced = Place, targets[least].ID, d.Reading, true
	return true
}

// compareReaders puts the target with the least to read first. Ties are broken by the
// seed, so that daemons which decide alone do not all take the same targets.
func compareReaders(seed uint64, a, b *Target) int {
	if order := cmp.Or(cmp.Compare(a.Reading, b.Reading), cmp.Compare(a.Tight, b.Tight)); order != 0 {
		return order // The tie costs two hashes.
	}
	return cmp.Compare(tie(seed, a), tie(seed, b))
}

func tie(seed uint64, t *Target) uint64 { return rendezvous.Score(strconv.FormatUint(seed, 36), t.ID) }

// bearing lists the first targets, least reading first, whose callers bear a part.
func (s *Scratch) bearing(p *Params, targets []Target, part float64, parts int) []int {
	chosen := s.chosen[:0]
	for _, i := range s.readers {
		t := &targets[i]
		if t.Reading > holdReading {
			break
		}
		if t.Reading+part > bears(p, t) {
			continue
		}
		if chosen = append(chosen, i); len(chosen) == parts {
			break
		}
	}
	s.chosen = chosen
	return chosen
}

// bears is how much reading the callers of a target's writers bear. All that is before
// an engine may fall into one pass: a step reads up to a chunk of tokens, which takes
// the longer the more stands before them.
func bears(p *Params, t *Target) float64 {
	if t.GapGoal <= 0 {
		return math.Inf(1)
	}
	return gapShare*t.GapGoal - p.Timing.Pass(t.Load.Requests, t.Load.MemoryTokens)
}

// settle takes the target that answers: one with room for the whole prompt and the
// fewest writers whose callers wait closely. Where none has the room, the one with the
// most keeps what it can, and helpers set memory aside for the rest.
func (s *Scratch) settle(r *Request, targets []Target, chosen []int, d *Decision) bool {
	first := -1
	for _, i := range chosen {
		t := &targets[i]
		if t.free() < r.MemoryTokens() || t.full() {
			continue
		}
		if first < 0 || compareFirst(t, &targets[first]) < 0 {
			first = i
		}
	}
	if first < 0 {
		first = s.divide(r, targets, chosen, d)
	}
	if first < 0 {
		return false
	}
	d.Verdict = Place
	d.Chosen = targets[first].ID
	for _, i := range chosen {
		if i != first {
			d.Helpers = append(d.Helpers, targets[i].ID)
		}
	}
	return true
}

// compareFirst prefers a target whose calls did not fail lately, and then the one with
// the fewest writers whose callers wait closely.
func compareFirst(a, b *Target) int {
	return cmp.Or(cmp.Compare(int(a.Trouble), int(b.Trouble)), cmp.Compare(a.Tight, b.Tight))
}

// divide finds memory for a prompt that no target has room for: the target that
// answers, and tickets at as few helpers as can be, since each ticket is ordered,
// renewed and released. It returns -1 where there is not enough, or where the prompt
// would fit one target once that is less full.
func (s *Scratch) divide(r *Request, targets []Target, chosen []int, d *Decision) int {
	order := slices.Clone(chosen)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(targets[b].free(), targets[a].free()) })
	if len(order) == 0 || targets[order[0]].full() || r.MemoryTokens() <= targets[order[0]].MemoryTokens {
		return -1
	}
	left := int64(float64(r.MemoryTokens())*ticketMargin) - int64(float64(targets[order[0]].free())*ticketShare)
	d.Tickets = nil
	for _, i := range order[1:] {
		if left <= 0 {
			break
		}
		tokens := min(left, int64(float64(targets[i].free())*ticketShare))
		if tokens <= 0 {
			break
		}
		d.Tickets = append(d.Tickets, Ticket{Target: targets[i].ID, Tokens: tokens})
		left -= tokens
	}
	if left > 0 {
		d.Tickets = nil
		return -1
	}
	return order[0]
}

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
		add(b.index, Candidate{Target: targets[b.index], Scores: scoreTimed(r, p, &targets[b.index], reading)})
	}
	for _, x := range s.rejected {
		if x.filter == FilterMemory || x.filter == FilterConcurrency {
			add(x.index, Candidate{Target: targets[x.index], Rejected: x.filter})
		}
	}
	for _, i := range s.readers {
		add(i, Candidate{Target: targets[i], Scores: scoreTimed(r, p, &targets[i], reading)})
	}
	for _, x := range s.rejected {
		add(x.index, Candidate{Target: targets[x.index], Rejected: x.filter})
	}
	return list
}

// maxRecordedTimed bounds the candidates kept of a decision about engines of known
// timing: a spread one takes up to MaxParts of them.
const maxRecordedTimed = 24
