package telemetry

import (
	"time"

	"doorstack.dev/core/forward"
)

// The words of a target about itself, as the metric's label names them.
const (
	noticeDraining    = "leaving"
	noticeBackoff     = "rest"
	noticeLimit       = "limit"
	noticeLimitLifted = "limit_lifted"
)

// Notice takes in what a target said of itself beside the answer to a call sent then, and tells
// whether it is news.
func (r *Recorder) RecordNotice(pool, target string, said forward.Notice, sent time.Time) bool {
	return r.RecordTimedNotice(pool, target, forward.TimedNotice{Notice: said, Sent: sent, Received: time.Now()})
}

// TakeWord takes a target's word about itself, heard here or by another daemon, to the blackboard,
// and to log and metrics where it is news.
func (r *Recorder) RecordTimedNotice(pool, target string, said forward.TimedNotice) bool {
	if said.Notice == (forward.Notice{}) || !r.Board.Targets.RecordNotice(target, said) {
		return false
	}
	for word, holds := range map[string]bool{
		noticeDraining: said.Draining, noticeBackoff: said.Backoff > 0, noticeLimit: said.Limit.Declared, noticeLimitLifted: said.Limit.Lifted,
	} {
		if holds {
			r.Metrics.TargetNotices.WithLabelValues(pool, word).Inc()
		}
	}
	r.Log.Info("target's notice", "target", target, "pool", pool, "leaving", said.Draining, "rest_ms", said.Backoff.Milliseconds(), "limit", said.Limit.String())
	return true
}
