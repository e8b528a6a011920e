package eventstream

import "strconv"

// Sequence follows the ids of a stream over the runs that produce it. Ids only have to increase, but where they have gone
// up by one so far, a run that goes on with a higher one has most likely left events out.
type Sequence struct {
	last int64
	// known reports that last is set, steps the number of ids that were one above the one before, and irregular that
	// another one was not.
	known     bool
	steps     int
	irregular bool
}

// Skipped adds the id of the next event, the first of a run that goes on with the stream if resumed is set, and returns how
// many ids that run has left out. It is zero where that is not known.
func (s *Sequence) Skipped(id string, resumed bool) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		s.irregular = true
		return 0
	}
	defer func() { s.last, s.known = n, true }()
	switch {
	case !s.known || s.irregular:
		return 0
	case n == s.last+1:
		s.steps++
		return 0
	case resumed && s.steps > 0:
		return n - s.last - 1
	default:
		s.irregular = true
		return 0
	}
}
