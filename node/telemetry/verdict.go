package telemetry

import "doorstack.dev/core/poison"

// CountVerdict counts a verdict that this daemon reached or learned of.
func (r *Recorder) CountVerdict(v *poison.Verdict) {
	subject, change := "call", "begun"
	if v.Part != nil {
		subject = "part"
	}
	if v.Lifted {
		change = "lifted"
	}
	r.Metrics.Quarantines.WithLabelValues(subject, change).Inc()
}
