package telemetry

import (
	"time"

	"doorstack.dev/core/forward"
)

// The values of the label notice: the target is draining, asks for a backoff, declares a rate
// limit or lifts it, or is cold.
const (
	noticeDraining    = "leaving"
	noticeBackoff     = "rest"
	noticeLimit       = "limit"
	noticeLimitLifted = "limit_lifted"
	noticeCold        = "cold"
)

// RecordNotice records a target's notice from the answer to a call that was sent at the given
// time, and reports whether the notice is new.
func (r *Recorder) RecordNotice(pool, target string, notice forward.Notice, sent time.Time) bool {
	return r.RecordTimedNotice(pool, target, forward.TimedNotice{Notice: notice, Sent: sent, Received: time.Now()})
}

// RecordTimedNotice records a target's notice, received by this or another daemon, on the
// blackboard. It logs and counts a new notice, and reports whether the notice is new.
func (r *Recorder) RecordTimedNotice(pool, target string, notice forward.TimedNotice) bool {
	if notice.Notice == (forward.Notice{}) || !r.Board.Targets.RecordNotice(target, notice) {
		return false
	}
	for label, present := range map[string]bool{
		noticeDraining: notice.Draining, noticeBackoff: notice.Backoff > 0, noticeLimit: notice.Limit.Declared, noticeLimitLifted: notice.Limit.Lifted, noticeCold: notice.ColdFor > 0,
	} {
		if present {
			r.Metrics.TargetNotices.WithLabelValues(pool, label).Inc()
		}
	}
	r.Log.Info("target's notice", "target", target, "pool", pool, "leaving", notice.Draining, "rest_ms", notice.Backoff.Milliseconds(), "limit", notice.Limit.String(), "cold_ms", notice.ColdFor.Milliseconds())
	return true
}
