package routing

import "math"

// RateLimit is the rate limit of a target for the calls of all daemons: one that it has declared, or
// that of a cold target.
type RateLimit struct {
	// PerSecond is the allowed rate, in requests per second.
	PerSecond float64 `json:"per_s"`
	// Wait is the time until one more call is within the rate, counting the calls placed by this
	// daemon, in seconds.
	Wait float64 `json:"wait_s,omitempty"`
	// SinceLastCall is the time since the last call placed by this daemon, in seconds.
	SinceLastCall float64 `json:"idle_s,omitempty"`
	// ColdFor is for how much longer the target is cold, in seconds.
	ColdFor float64 `json:"cold_s,omitempty"`
}

// rateLimited reports whether the target's rate limit allows no call for the request now.
func (t *Target) rateLimited(r *Request) bool {
	return t.RateLimit != nil && t.RateLimit.timeToNextCall(r) > 0
}

// timeToNextCall returns the time, in seconds, until the target may be given the request. An
// uncoordinated daemon does not know the calls of the others and uses an equal share of the rate. Of a
// cold target's rate it uses none: shared by a fleet, that is less than one call in the time for which
// targets are cold.
func (l *RateLimit) timeToNextCall(r *Request) float64 {
	if !r.Uncoordinated {
		return l.Wait
	}
	if l.ColdFor > 0 {
		return max(l.Wait, l.ColdFor)
	}
	return max(l.Wait, 1/l.ownRate(r)-l.SinceLastCall)
}

// ownRate returns the rate that this daemon may use, in requests per second.
func (l *RateLimit) ownRate(r *Request) float64 {
	if !r.Uncoordinated {
		return l.PerSecond
	}
	if l.ColdFor > 0 {
		return 0
	}
	return l.PerSecond / float64(max(1, r.DaemonCount))
}

// timeToTurn returns the time, in seconds, until a request with so many others queued before it can be
// placed. It returns false if no target could take the request, or one without a rate limit could.
func timeToTurn(r *Request, queuedBefore int, targets []Target) (float64, bool) {
	rate, earliest := 0.0, math.Inf(1)
	for i := range targets {
		t := &targets[i]
		if t.State != Live || t.Unloaded || !r.allowsRegion(t.Region) || excluded(r, t.ID) {
			continue
		}
		if t.RateLimit == nil {
			return 0, false
		}
		rate += t.RateLimit.ownRate(r)
		earliest = min(earliest, t.RateLimit.timeToNextCall(r))
	}
	if math.IsInf(earliest, 1) {
		return 0, false
	}
	if rate == 0 {
		return earliest, true // All are cold for an uncoordinated daemon.
	}
	return earliest + float64(queuedBefore)/rate, true
}

// RefuseRateLimited reports whether a waiting request is refused because the targets' rate limits are
// predicted to admit it after its goal, and returns that decision. A request that was allowed to wait
// or placed before is refused only where it would miss its deadline, and a started answer never.
func RefuseRateLimited(r *Request, queuedBefore int, targets []Target) (Decision, bool) {
	wait, limited := timeToTurn(r, queuedBefore, targets)
	if !limited || r.AnswerStarted {
		return Decision{}, false
	}
	remaining := r.UntilDeadline
	if r.Goal > 0 && !r.Retry && !r.AllowedToWait {
		remaining = min(remaining, r.Goal-r.Waited)
	}
	if wait <= max(0, remaining) {
		return Decision{}, false
	}
	return Decision{Request: *r, Verdict: Refuse, RetryAfter: wait, Considered: len(targets), Rejections: Rejections{Limit: len(targets)}}, true
}
