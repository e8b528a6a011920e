package routing

// The costs below are added to the estimated time to first token, in seconds. They follow
// from how continuous batching works and are not specific to one engine: every running
// request adds a little to each step, nearly full memory makes an engine evict or queue, and
// a long prefill beside a short one takes part of the token budget of a step.
const (
	// secondsPerRunning is added for each running request at the target.
	secondsPerRunning = 0.0005
	// memoryKnee is the share of memory in use above which memory pressure is scored.
	memoryKnee = 0.8
	// secondsAtFullMemory is the cost of a target whose memory is full.
	secondsAtFullMemory = 0.5
	// secondsPerFailure is added for each recently failed call, up to maxFailures of them:
	// a target that loses some of its answers looks healthy by every other measure.
	secondsPerFailure = 0.05
	maxFailures       = 4
	// secondsPerLong is added to a short request for each long prefill beside it.
	secondsPerLong = 0.1
)

// score estimates the time to first token of the request at the target. It writes to s
// because a decision about 2,300 targets would spend half of its time on copying results.
func (s *Scores) score(r *Request, p *Params, long bool, t *Target) {
	*s = Scores{Failures: failurePenalty(t), Jitter: jitter(r, t)}
	s.Batch = secondsPerRunning * float64(t.Load.Requests)
	if t.DataCentre != r.DataCentre {
		s.Locality = p.RemotePenalty
	}
	if t.PrefillRate <= 0 {
		return
	}
	secondsPerToken := 1 / t.PrefillRate
	s.Prefill = float64(r.PromptTokens) * secondsPerToken
	s.Backlog = backlogAhead(p, long, t) * secondsPerToken
	if !long {
		s.Interference = secondsPerLong * float64(t.Load.LongPrefills)
	}
	knee := memoryKnee * float64(t.MemoryTokens)
	if used := float64(t.Load.MemoryTokens); used > knee {
		s.Memory = secondsAtFullMemory * (used - knee) / (float64(t.MemoryTokens) - knee)
	}
}

// failurePenalty returns the cost, in seconds, of the target's recently failed calls.
func failurePenalty(t *Target) float64 { return secondsPerFailure * min(t.RecentFailures, maxFailures) }

// backlogAhead returns the part of a target's prefill backlog that is ahead of the request,
// in tokens. Engines honour priorities, so a short request passes long prefills, each
// counted as LongPromptTokens. Of the rest at most LongPromptTokens count, since it is
// bounded by what the daemons admit.
func backlogAhead(p *Params, long bool, t *Target) float64 {
	if long || t.Load.LongPrefills == 0 {
		return float64(t.Load.BacklogTokens)
	}
	short := t.Load.BacklogTokens - int64(t.Load.LongPrefills)*p.LongPromptTokens
	return float64(max(0, min(short, p.LongPromptTokens)))
}

// prefixSaved returns the prefill time, in seconds, that a cached prefix saves.
func prefixSaved(r *Request, p *Params, t *Target, cached int64) float64 {
	if t.PrefillRate <= 0 {
		return 0
	}
	return p.PrefixWeight * float64(min(cached, r.PromptTokens)) / t.PrefillRate
}
