package forward

import "time"

// Notice is what a target says of itself beside an answer. The zero value says nothing.
type Notice struct {
	// Leaving means that the target's process is about to end and wants no new calls. The
	// store may say so much later: it may be away.
	Leaving bool
	// Rest is how long the target wants no calls from this daemon.
	Rest time.Duration
	// Limit is what the target says of the rate of requests that it takes from all daemons.
	Limit Limit
}

const (
	// keepLeaving is how long the word that a target leaves holds after it was last said. Its
	// process ends within a minute or two; the store tells of that unless it is away.
	keepLeaving = 10 * time.Minute
	// keepLimit is how long a limit holds after it was last named, for a target that is gone.
	keepLimit = 10 * time.Minute
	// mostRest bounds what is believed of a time of rest.
	mostRest = 10 * time.Minute
)

// Notices are what targets have said of themselves, by their ids. They outlive a target's entry,
// which may run out and come back while the store is away.
type Notices struct {
	byTarget map[string]*noted
}

// noted is what one target said.
type noted struct {
	address string
	// started is when the target's process started, in Unix milliseconds; zero where it was
	// not known when the target spoke.
	started   int64
	leaving   time.Time // when it last said that it leaves; zero if it did not
	restUntil time.Time
	limiter   RateLimiter
}

// NewNotices returns an empty collection.
func NewNotices() *Notices { return &Notices{byTarget: map[string]*noted{}} }

// Empty tells whether no target has said anything that may still hold.
func (n *Notices) Empty() bool { return len(n.byTarget) == 0 }

// Word is a notice with the times that it belongs to: when the call was sent that the target
// answered, and when the answer came.
type Word struct {
	Notice
	Sent, At time.Time
}

// Take takes in what a target at an address said, whose process started then, and tells whether
// any of it is new.
func (n *Notices) Take(id, address string, started int64, said Word) bool {
	known, at := n.byTarget[id], said.At
	if known == nil && !said.tells() {
		return false
	}
	if known == nil {
		known = &noted{address: address, started: started}
		n.byTarget[id] = known
	}
	news := false
	if said.Leaving {
		news = !known.leaves(at)
		known.leaving = at
	}
	if said.Rest > 0 {
		news = news || !at.Before(known.restUntil)
		known.restUntil = at.Add(min(said.Rest, mostRest))
	}
	return known.limiter.take(said) || news
}

// tells tells whether a notice says more than that all is as usual.
func (n *Notice) tells() bool { return n.Leaving || n.Rest > 0 || n.Limit.Named }

// RateLimiter keeps to the limit that a target has named and not lifted; nil where there is none.
func (n *Notices) RateLimiter(id string) *RateLimiter {
	known := n.byTarget[id]
	if known == nil || !known.limiter.limit.Named {
		return nil
	}
	return &known.limiter
}

// Leaves tells whether a target has said that it leaves.
func (n *Notices) Leaves(id string, at time.Time) bool {
	known := n.byTarget[id]
	return known != nil && known.leaves(at)
}

func (k *noted) leaves(at time.Time) bool {
	return !k.leaving.IsZero() && at.Sub(k.leaving) < keepLeaving
}

// Rests is for how long a target still wants no calls; zero if it takes them.
func (n *Notices) Rests(id string, at time.Time) time.Duration {
	known := n.byTarget[id]
	if known == nil {
		return 0
	}
	return max(0, known.restUntil.Sub(at))
}

// Seen takes in under which address a target is listed, and when its process started if that is
// told. That an earlier process leaves does not hold for a later one. A time of rest does: it is
// short, and what made the target ask for it may have ended its process.
func (n *Notices) Seen(id, address string, started int64) {
	known := n.byTarget[id]
	if known == nil {
		return
	}
	later := known.started > 0 && started > known.started
	if known.started == 0 && !known.leaving.IsZero() && started > known.leaving.UnixMilli() {
		later = true // It started after it had last said so, so it was another that said it.
	}
	if later || known.address != address {
		known.leaving, known.address, known.started = time.Time{}, address, started
	}
}

// Trim forgets what holds no longer.
func (n *Notices) Trim(at time.Time) {
	for id, known := range n.byTarget {
		limited := known.limiter.limit.Named && at.Sub(known.limiter.asOf) < keepLimit
		if !known.leaves(at) && !at.Before(known.restUntil) && !limited {
			delete(n.byTarget, id)
		}
	}
}
