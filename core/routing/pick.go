package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// pickWidth is the number of best targets that the picker draws from. Two of
// them are drawn at random and the better one is taken: many daemons see the same
// report, so always taking the best would send all of their requests to one target.
const pickWidth = 4

// pickSlack bounds how much worse than the best a drawn target may be, as a
// share of the best score; pickSlackFloor is added, in seconds.
const (
	pickSlack      = 0.25
	pickSlackFloor = 0.010
)

// ranked is a target's index with its total score.
type ranked struct {
	index int
	total float64
}

// rejected is a target's index with the filter that rejected it.
type rejected struct {
	index  int
	filter Filter
}

// Scratch holds the buffers of a decision, for reuse between calls. It must not be shared
// between goroutines.
type Scratch struct {
	best     []ranked
	rejected []rejected
	// prefillers holds the indices of the targets that may prefill a part; chosen holds the
	// indices of those that will.
	prefillers, chosen []int
	// packingCost is the cost of decoding the answer on an engine without gap-sensitive requests, in seconds.
	packingCost float64
	// disturbedTargets are the targets that may prefill a part, with the tokens that this disturbs.
	disturbedTargets []disturbedTarget
}

// Decide makes a routing decision over the targets of one pool. The result
// shares no memory with targets.
func (s *Scratch) Decide(r *Request, p *Params, targets []Target) Decision {
	holders := 0
	if p.IsLong(r.PromptTokens) {
		holders = countLongHolders(targets)
	}
	return s.decide(r, p, targets, holders)
}

func (s *Scratch) decide(r *Request, p *Params, targets []Target, holders int) Decision {
	if hasTiming(r, p) {
		return s.decideTimed(r, p, targets)
	}
	d := Decision{Request: *r, Params: *p, Considered: len(targets), LongHolders: holders}
	long := p.IsLong(r.PromptTokens)
	largest := s.scan(r, p, long, targets, &d)
	s.rankCached(r, p, long, holders, targets)
	d.Candidates = s.recordCandidates(r, p, long, targets)
	if len(s.best) == 0 {
		d.Verdict = verdictWithoutTarget(r, p, long, largest, &d.Rejections)
		return d
	}
	d.Verdict = Place
	d.Chosen = targets[pick(s.best, r.Seed)].ID
	return d
}

// scan filters and scores all targets and returns the largest memory of a live one.
func (s *Scratch) scan(r *Request, p *Params, long bool, targets []Target, d *Decision) int64 {
	s.best = s.best[:0]
	s.rejected = s.rejected[:0]
	var scores Scores
	largest := int64(0)
	for i := range targets {
		t := &targets[i]
		if t.State == Live {
			largest = max(largest, t.MemoryTokens)
		}
		if f := filter(r, p, long, d.LongHolders, t); f != "" {
			if d.Rejections.count(f) <= examplesPerFilter {
				s.rejected = append(s.rejected, rejected{i, f})
			}
			continue
		}
		scores.score(r, p, long, t)
		s.keep(ranked{i, scores.Total()})
	}
	return largest
}

// keep inserts c into the list of best targets, which stays sorted and short.
func (s *Scratch) keep(c ranked) {
	if len(s.best) == MaxRecorded/2 {
		if c.total >= s.best[len(s.best)-1].total {
			return
		}
		s.best = s.best[:len(s.best)-1]
	}
	at, _ := slices.BinarySearchFunc(s.best, c, compareRanked)
	s.best = slices.Insert(s.best, at, c)
}

func compareRanked(a, b ranked) int {
	if a.total != b.total {
		return cmp.Compare(a.total, b.total)
	}
	return cmp.Compare(a.index, b.index)
}

// rankCached ranks the few targets that hold a prefix of the prompt again, with the time it saves.
func (s *Scratch) rankCached(r *Request, p *Params, long bool, holders int, targets []Target) {
	for _, c := range r.Cached {
		if c.Target < 0 || c.Target >= len(targets) {
			continue
		}
		t := &targets[c.Target]
		if filter(r, p, long, holders, t) != "" {
			continue
		}
		s.best = slices.DeleteFunc(s.best, func(b ranked) bool { return b.index == c.Target })
		var scores Scores
		scores.score(r, p, long, t)
		scores.PrefixSaved = prefixSaved(r, p, t, c.Tokens)
		s.keep(ranked{c.Target, scores.Total()})
	}
}

// pick draws two of the best and returns the index of the better one.
func pick(best []ranked, seed uint64) int {
	limit := best[0].total*(1+pickSlack) + pickSlackFloor
	width := 1
	for width < min(pickWidth, len(best)) && best[width].total <= limit {
		width++
	}
	rng := rand.New(rand.NewPCG(seed, seed))
	return best[min(rng.IntN(width), rng.IntN(width))].index
}

func verdictWithoutTarget(r *Request, p *Params, long bool, largest int64, n *Rejections) Verdict {
	if largest > 0 && r.MemoryTokens() > memoryLimit(p, long, largest) {
		return Group
	}
	if n.temporary() > 0 {
		return Wait
	}
	return None
}

func countLongHolders(targets []Target) int {
	n := 0
	for i := range targets {
		if targets[i].Load.LongPrefills > 0 {
			n++
		}
	}
	return n
}

// examplesPerFilter bounds the rejected targets recorded per filter.
const examplesPerFilter = 2

// recordCandidates copies the best candidates, then examples of rejected ones.
func (s *Scratch) recordCandidates(r *Request, p *Params, long bool, targets []Target) []Candidate {
	list := make([]Candidate, 0, min(len(s.best)+len(s.rejected), MaxRecorded))
	for _, b := range s.best {
		t := &targets[b.index]
		c := Candidate{Target: *t, CachedTokens: cachedTokensAt(r, b.index)}
		c.Scores.score(r, p, long, t)
		c.Scores.PrefixSaved = prefixSaved(r, p, t, c.CachedTokens)
		list = append(list, c)
	}
	for _, x := range s.rejected {
		if len(list) == MaxRecorded {
			break
		}
		list = append(list, Candidate{Target: targets[x.index], Rejected: x.filter})
	}
	return list
}

func cachedTokensAt(r *Request, index int) int64 {
	for _, c := range r.Cached {
		if c.Target == index {
			return c.Tokens
		}
	}
	return 0
}

// Replay makes a recorded decision again from its recorded candidates and returns
// the new decision, to be compared with d. Targets that were not recorded scored
// worse or were rejected; Rejections counts the latter, but Replay does not see them.
func (d *Decision) Replay() Decision {
	targets := make([]Target, len(d.Candidates))
	r := d.Request
	r.Cached = nil
	for i := range d.Candidates {
		targets[i] = d.Candidates[i].Target
		if d.Candidates[i].CachedTokens > 0 {
			r.Cached = append(r.Cached, CachedPrefix{Target: i, Tokens: d.Candidates[i].CachedTokens})
		}
	}
	var s Scratch
	return s.decide(&r, &d.Params, targets, d.LongHolders)
}
