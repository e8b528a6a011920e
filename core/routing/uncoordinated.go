package routing

import "math"

// When the coordinator that places a pool's calls is lost, all daemons decide for themselves
// at the same moment. With similar information they choose alike: the same engine looks best
// to all of them, because most requests are packed on it or because it is the first of their
// data centre. After a power loss of all hosts, a few engines would get nearly all calls.

// maxJitter bounds the random cost in uncoordinated decisions, in seconds. It is more than the
// difference that a few of a daemon's own calls make between two engines, and less than the
// default cost of a target in another data centre.
const maxJitter = 0.015

// jitter returns the random cost of a target in an uncoordinated decision, in seconds. It depends
// only on the seed and the target, so that a replayed decision comes out the same.
func jitter(r *Request, t *Target) float64 {
	if !r.Uncoordinated {
		return 0
	}
	return maxJitter * float64(tieBreaker(r.Seed, t)) / math.MaxUint64
}
