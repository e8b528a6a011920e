package coordination

import "time"

// Request is what a placement request says of the daemon that it was sent to.
type Request struct {
	// Rank is the daemon's position in the requesting daemon's ranking, counted from 1; 0 if the requesting daemon
	// is of a version that knows no redirects.
	Rank int
	// Insist means that the requesting daemon cannot ask a daemon ranked before this one.
	Insist bool
}

// Redirect returns the daemon that should have been asked in place of this one: the first that this daemon's own
// ranking has before it and that is reachable from it. heardAt returns when something was last received from a daemon over
// an open link, the zero time if there is none.
func Redirect(self string, r Request, ranking []Candidate, heardAt func(name string) time.Time, now time.Time) (Candidate, bool) {
	if r.Rank == 0 || r.Insist {
		return Candidate{}, false
	}
	for _, candidate := range ranking {
		if candidate.Name == self {
			break
		}
		if now.Sub(heardAt(candidate.Name)) <= HeardWithin {
			return candidate, true
		}
	}
	return Candidate{}, false
}

// Successor returns the daemon to which a daemon that drains sends its requests: the first of its ranking that is
// not known to have failed.
func (p *Peers) Successor(self string, ranking []Candidate, now time.Time) (Candidate, bool) {
	for _, candidate := range ranking {
		if candidate.Name != self && p.Usable(candidate.Name, now) {
			return candidate, true
		}
	}
	return Candidate{}, false
}
