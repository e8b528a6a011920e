package routing

import "math"

// A daemon that loses the one which places a pool's calls decides alone, and so do all others
// at that moment. What they know makes their choices alike: to each of them the same engine
// looks best, with the most writers packed on it or simply the first of those in its data
// centre. After a loss of power of all hosts a few engines would get nearly all calls.

// maxJitter is the range of the chance that blind decisions are made with, in seconds: more
// than what a few calls of its own make of a difference between two engines, and less than what
// a target in another data centre costs by default.
const maxJitter = 0.015

// jitter is a blind decision's random cost of a target, the same each time that the decision
// is made.
func jitter(r *Request, t *Target) float64 {
	if !r.Uncoordinated {
		return 0
	}
	return maxJitter * float64(tieBreaker(r.Seed, t)) / math.MaxUint64
}
