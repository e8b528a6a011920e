package coordination

import "time"

// RTT estimates the round-trip time to a peer as TCP does (RFC 6298): a smoothed mean and a smoothed deviation.
type RTT struct {
	mean, deviation time.Duration
	known           bool
}

// maxSample bounds a sample. An answer from a daemon that was frozen for seconds is no measure of the link, and
// would keep timeouts long for dozens of calls.
const maxSample = 250 * time.Millisecond

// Add adds a sample.
func (r *RTT) Add(sample time.Duration) {
	sample = min(max(sample, 0), maxSample)
	if !r.known {
		r.mean, r.deviation, r.known = sample, sample/2, true
		return
	}
	r.deviation += ((sample - r.mean).Abs() - r.deviation) / 4
	r.mean += (sample - r.mean) / 8
}

// Mean returns the smoothed mean, and false if there is no sample.
func (r *RTT) Mean() (time.Duration, bool) { return r.mean, r.known }

// Timeout returns the time within which nearly all answers arrive, without the time that the peer holds a request.
// It is zero if there is no sample.
func (r *RTT) Timeout() time.Duration { return r.mean + 4*r.deviation }
