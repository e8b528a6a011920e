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

// Notice takes what a target said of itself beside the answer to a call sent then to the
// blackboard, and to log and metrics where it is news.
func (r *Recorder) Notice(pool, target string, said forward.Notice, sent time.Time) {
	if said == (forward.Notice{}) || !r.Board.Targets.Notice(target, forward.Word{Notice: said, Sent: sent, At: time.Now()}) {
		return
	}
	for word, holds := range map[string]bool{
		noticeLeaving: said.Leaving, noticeRest: said.Rest > 0, noticeLimit: said.Limit.Named, noticeLifted: said.Limit.Lifted,
	} {
		if holds {
			r.Metrics.Notices.WithLabelValues(pool, word).Inc()
		}
	}
	r.Log.Info("target's notice", "target", target, "pool", pool, "leaving", said.Leaving, "rest_ms", said.Rest.Milliseconds(), "limit", said.Limit.String())
}
