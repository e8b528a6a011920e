package forward

import "time"

// Notice is what a target says of itself beside an answer. The zero value says nothing.
type Notice struct {
	// Leaving means that the target's process is about to end and wants no new calls. The
	// store may say so much later: it may be away.
	Draining bool
	// Rest is how long the target wants no calls from this daemon.
	Backoff time.Duration
	// Limit is what the target says of the rate of requests that it takes from all daemons.
	Limit Limit
}

const (
	// drainRetention is how long the word that a target leaves holds after it was last said. Its
	// process ends within a minute or two; the store tells of that unless it is away.
	drainRetention = 10 * time.Minute
	// limitRetention is how long a limit holds after it was last named, for a target that is gone.
	limitRetention = 10 * time.Minute
	// maxBackoff bounds what is believed of a time of rest.
	maxBackoff = 10 * time.Minute
)

// Notices are what targets have said of themselves, by their ids. They outlive a target's entry,
// which may run out and come back while the store is away.
type Notices struct {
	byTarget map[string]*targetNotices
}

// targetNotices is what one target said.
type targetNotices struct {
	address string
	// started is when the target's process started, in Unix milliseconds; zero where it was
	// not known when the target spoke.
	started        int64
	drainNoticedAt time.Time // when it last said that it leaves; zero if it did not
	backoffUntil   time.Time
	limiter        RateLimiter
}

// NewNotices returns an empty collection.
func NewNotices() *Notices { return &Notices{byTarget: map[string]*targetNotices{}} }

// Empty tells whether no target has said anything that may still hold.
func (n *Notices) Empty() bool { return len(n.byTarget) == 0 }

// TimedNotice is a notice with the times that it belongs to: when the call was sent that the target
// answered, and when the answer came.
type TimedNotice struct {
	Notice
	Sent, Received time.Time
}

// Take takes in what a target at an address said, whose process started then, and tells whether
// any of it is new.
func (n *Notices) Record(id, address string, started int64, said TimedNotice) bool {
	known, at := n.byTarget[id], said.Received
	if known == nil && !said.informative() {
		return false
	}
	if known == nil {
		known = &targetNotices{address: address, started: started}
		n.byTarget[id] = known
	}
	news := false
	if said.Draining {
		news = !known.draining(at)
		known.drainNoticedAt = at
	}
	if said.Backoff > 0 {
		news = news || !at.Before(known.backoffUntil)
		known.backoffUntil = at.Add(min(said.Backoff, maxBackoff))
	}
	return known.limiter.update(said) || news
}

// tells tells whether a notice says more than that all is as usual.
func (n *Notice) informative() bool { return n.Draining || n.Backoff > 0 || n.Limit.Declared }

// RateLimiter keeps to the limit that a target has named and not lifted; nil where there is none.
func (n *Notices) RateLimiter(id string) *RateLimiter {
	known := n.byTarget[id]
	if known == nil || !known.limiter.limit.Declared {
		return nil
	}
	return &known.limiter
}

// Leaves tells whether a target has said that it leaves.
func (n *Notices) Draining(id string, at time.Time) bool {
	known := n.byTarget[id]
	return known != nil && known.draining(at)
}

func (k *targetNotices) draining(at time.Time) bool {
	return !k.drainNoticedAt.IsZero() && at.Sub(k.drainNoticedAt) < drainRetention
}

// Rests is for how long a target still wants no calls; zero if it takes them.
func (n *Notices) BackoffLeft(id string, at time.Time) time.Duration {
	known := n.byTarget[id]
	if known == nil {
		return 0
	}
	return max(0, known.backoffUntil.Sub(at))
}

// Seen takes in under which address a target is listed, and when its process started if that is
// told. That an earlier process leaves does not hold for a later one. A time of rest does: it is
// short, and what made the target ask for it may have ended its process.
func (n *Notices) UpdateTarget(id, address string, started int64) {
	known := n.byTarget[id]
	if known == nil {
		return
	}
	later := known.started > 0 && started > known.started
	if known.started == 0 && !known.drainNoticedAt.IsZero() && started > known.drainNoticedAt.UnixMilli() {
		later = true // It started after it had last said so, so it was another that said it.
	}
	if later || known.address != address {
		known.drainNoticedAt, known.address, known.started = time.Time{}, address, started
	}
}

// Trim forgets what holds no longer.
func (n *Notices) RemoveExpired(at time.Time) {
	for id, known := range n.byTarget {
		limited := known.limiter.limit.Declared && at.Sub(known.limiter.declaredAt) < limitRetention
		if !known.draining(at) && !at.Before(known.backoffUntil) && !limited {
			delete(n.byTarget, id)
		}
	}
}
