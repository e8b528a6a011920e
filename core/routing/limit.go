package routing

import "math"

// RateLimit is what keeps calls from a target that has named how many it takes from all daemons.
type RateLimit struct {
	// PerSecond is the rate of calls that it is given, in requests a second.
	PerSecond float64 `json:"per_s"`
	// Wait is the time until one more call keeps to that, counting the calls placed by this daemon,
	// in seconds.
	Wait float64 `json:"wait_s,omitempty"`
	// Idle is the time since the last of them, in seconds.
	SinceLastCall float64 `json:"idle_s,omitempty"`
}

// exhausted tells whether the target's limit leaves no room for the request now.
func (t *Target) rateLimited(r *Request) bool {
	return t.RateLimit != nil && t.RateLimit.timeToNextCall(r) > 0
}

// wait is the time, in seconds, until the target may be given the request. A daemon that decides
// alone does not know of the others' calls and takes an equal part of the rate.
func (l *RateLimit) timeToNextCall(r *Request) float64 {
	if !r.Uncoordinated {
		return l.Wait
	}
	return max(l.Wait, 1/l.ownRate(r)-l.SinceLastCall)
}

// part is the rate that this daemon may use, in requests a second.
func (l *RateLimit) ownRate(r *Request) float64 {
	if !r.Uncoordinated {
		return l.PerSecond
	}
	return l.PerSecond / float64(max(1, r.DaemonCount))
}

// timeToTurn is the time, in seconds, after which a request's turn comes that so many others wait before,
// where every target that could take it has named a limit; false where one has not.
func timeToTurn(r *Request, before int, targets []Target) (float64, bool) {
	rate, soonest := 0.0, math.Inf(1)
	for i := range targets {
		t := &targets[i]
		if t.State != Live || t.Unloaded || excluded(r, t.ID) {
			continue
		}
		if t.RateLimit == nil {
			return 0, false
		}
		rate += t.RateLimit.ownRate(r)
		soonest = min(soonest, t.RateLimit.timeToNextCall(r))
	}
	if rate == 0 {
		return 0, false
	}
	return soonest + float64(before)/rate, true
}

// RefuseRateLimited tells whether a waiting request is refused because its turn under the targets' limits is
// foreseen after its goal, and returns that decision. One that has been let wait, or placed before, is
// refused only where it cannot be answered at all, and one whose answer has begun never.
func RefuseRateLimited(r *Request, before int, targets []Target) (Decision, bool) {
	wait, limited := timeToTurn(r, before, targets)
	if !limited || r.AnswerStarted {
		return Decision{}, false
	}
	left := r.UntilDeadline
	if r.Goal > 0 && !r.Retry && !r.WaitAccepted {
		left = min(left, r.Goal-r.Waited)
	}
	if wait <= max(0, left) {
		return Decision{}, false
	}
	return Decision{Request: *r, Verdict: Refuse, RetryAfter: wait, Considered: len(targets), Rejections: Rejections{Limit: len(targets)}}, true
}
