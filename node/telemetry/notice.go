package telemetry

import (
	"time"

	"doorstack.dev/core/forward"
)

// The words of a target about itself, as the metric's label names them.
const (
	noticeLeaving = "leaving"
	noticeRest    = "rest"
	noticeLimit   = "limit"
	noticeLifted  = "limit_lifted"
)

// Notice takes in what a target said of itself beside the answer to a call sent then, and tells
// whether it is news.
func (r *Recorder) Notice(pool, target string, said forward.Notice, sent time.Time) bool {
	return r.TakeWord(pool, target, forward.TimedNotice{Notice: said, Sent: sent, Received: time.Now()})
}

// TakeWord takes a target's word about itself, heard here or by another daemon, to the blackboard,
// and to log and metrics where it is news.
func (r *Recorder) TakeWord(pool, target string, said forward.TimedNotice) bool {
	if said.Notice == (forward.Notice{}) || !r.Board.Targets.RecordNotice(target, said) {
		return false
	}
	for word, holds := range map[string]bool{
		noticeLeaving: said.Draining, noticeRest: said.Backoff > 0, noticeLimit: said.Limit.Declared, noticeLifted: said.Limit.Lifted,
	} {
		if holds {
			r.Metrics.Notices.WithLabelValues(pool, word).Inc()
		}
	}
	r.Log.Info("target's notice", "target", target, "pool", pool, "leaving", said.Draining, "rest_ms", said.Backoff.Milliseconds(), "limit", said.Limit.String())
	return true
}
