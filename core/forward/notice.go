package forward

import "time"

// Notice is what a target says of its own state in the headers of an answer. The zero value says
// nothing.
type Notice struct {
	// Draining is true if the target's process is about to end and accepts no new calls. The
	// platform's store reports this too, but much later if it is unavailable.
	Draining bool
	// Backoff is how long the target wants no calls from this daemon.
	Backoff time.Duration
	// Limit is the rate limit that the target states for all daemons together.
	Limit Limit
	// ColdFor is for how long the target is cold (see Notices.RecordCold).
	ColdFor time.Duration
}

const (
	// drainRetention is how long a target counts as draining after its last drain notice. Its
	// process ends within a minute or two, but the store may be unavailable and not report the end.
	drainRetention = 10 * time.Minute
	// limitRetention is how long a limit is kept after it was last declared, so that the limits of
	// targets that are gone are deleted.
	limitRetention = 10 * time.Minute
	// maxBackoff caps the backoff that a target asks for.
	maxBackoff = 10 * time.Minute
)

// Notices holds the notices of targets by target id. A target's notices outlive its entry in the
// target list, which may expire and come back while the store is unavailable.
type Notices struct {
	byTarget map[string]*targetNotices
}

// targetNotices is what one target's notices say.
type targetNotices struct {
	address string
	// started is when the target's process started, in Unix milliseconds; zero where it was
	// not known when the notice arrived.
	started        int64
	drainNoticedAt time.Time // last notice that the target is draining; zero if none
	backoffUntil   time.Time
	limiter        RateLimiter
}

// NewNotices returns an empty collection.
func NewNotices() *Notices { return &Notices{byTarget: map[string]*targetNotices{}} }

// Empty reports whether no notices are held. Expired ones are held until RemoveExpired.
func (n *Notices) Empty() bool { return len(n.byTarget) == 0 }

// TimedNotice is a notice with the time at which the answered call was sent and the time at which
// the answer was received. Sent is zero for a limit declared to another daemon.
type TimedNotice struct {
	Notice
	Sent, Received time.Time
}

// Record records a notice of a target and reports whether any of it is new. The target is listed
// under the address, and started is the start of its process in Unix milliseconds, zero if unknown.
func (n *Notices) Record(id, address string, started int64, notice TimedNotice) bool {
	known, at := n.byTarget[id], notice.Received
	if known == nil && !notice.informative() {
		return false
	}
	if known == nil {
		known = &targetNotices{address: address, started: started}
		n.byTarget[id] = known
	}
	isNew := false
	if notice.Draining {
		isNew = !known.draining(at)
		known.drainNoticedAt = at
	}
	if notice.Backoff > 0 {
		isNew = isNew || !at.Before(known.backoffUntil)
		known.backoffUntil = at.Add(min(notice.Backoff, maxBackoff))
	}
	return known.limiter.update(notice) || isNew
}

// informative reports whether the notice says more than that the target works as usual.
func (n *Notice) informative() bool { return n.Draining || n.Backoff > 0 || n.Limit.Declared }

// RecordCold records that a target is cold until a time: all daemons together may send it coldRate
// requests per second. It reports whether the target was not known to be cold.
func (n *Notices) RecordCold(id, address string, started int64, coldRate float64, until, at time.Time) bool {
	known := n.byTarget[id]
	if known == nil {
		known = &targetNotices{address: address, started: started}
		n.byTarget[id] = known
	}
	return known.limiter.setCold(coldRate, until, at)
}

// RateLimiter returns the rate limiter of a target whose limit is in force; nil if there is none.
func (n *Notices) RateLimiter(id string, at time.Time) *RateLimiter {
	known := n.byTarget[id]
	if known == nil || !known.limiter.InForce(at) {
		return nil
	}
	return &known.limiter
}

// Draining reports whether a target has given notice that it is draining.
func (n *Notices) Draining(id string, at time.Time) bool {
	known := n.byTarget[id]
	return known != nil && known.draining(at)
}

func (k *targetNotices) draining(at time.Time) bool {
	return !k.drainNoticedAt.IsZero() && at.Sub(k.drainNoticedAt) < drainRetention
}

// BackoffLeft returns for how long a target still wants no calls; zero if it accepts them.
func (n *Notices) BackoffLeft(id string, at time.Time) time.Duration {
	known := n.byTarget[id]
	if known == nil {
		return 0
	}
	return max(0, known.backoffUntil.Sub(at))
}

// UpdateTarget deletes a target's drain notice if it came from an earlier process or from another
// address than the target now has. started is the start of its process in Unix milliseconds, zero if
// unknown. A backoff stays: it is short, and the process may have ended for the reason for which
// it asked for the backoff.
func (n *Notices) UpdateTarget(id, address string, started int64) {
	known := n.byTarget[id]
	if known == nil {
		return
	}
	later := known.started > 0 && started > known.started
	if known.started == 0 && !known.drainNoticedAt.IsZero() && started > known.drainNoticedAt.UnixMilli() {
		later = true // The notice came before this process started, so it was another process's.
	}
	if later || known.address != address {
		known.drainNoticedAt, known.address, known.started = time.Time{}, address, started
	}
}

// RemoveExpired deletes the notices that no longer apply.
func (n *Notices) RemoveExpired(at time.Time) {
	for id, known := range n.byTarget {
		limited := known.limiter.limit.Declared && at.Sub(known.limiter.declaredAt) < limitRetention || known.limiter.ColdFor(at) > 0
		if !known.draining(at) && !at.Before(known.backoffUntil) && !limited {
			delete(n.byTarget, id)
		}
	}
}
