package telemetry

import (
	"time"

	"doorstack.dev/core/forward"
)

// The words of a target about itself, as the metric's label names them.
const (
	noticeLeaving = "leaving"
	noticeRest    = "rest"
)

// Notice takes what a target said of itself beside an answer to the blackboard, and to log and
// metrics where it is news.
func (r *Recorder) Notice(pool, target string, said forward.Notice) {
	if said == (forward.Notice{}) || !r.Board.Targets.Notice(target, said, time.Now()) {
		return
	}
	word := noticeRest
	if said.Leaving {
		word = noticeLeaving
	}
	r.Metrics.Notices.WithLabelValues(pool, word).Inc()
	r.Log.Info("target's notice", "target", target, "pool", pool, "leaving", said.Leaving, "rest_ms", said.Rest.Milliseconds())
}
