package telemetry

import "doorstack.dev/node/blackboard"

// Reach records that the daemon's start has come to a stage, the first time.
func (r *Recorder) MarkStage(s blackboard.Stage) {
	after, news := r.Board.MarkStage(s)
	if !news {
		return
	}
	r.Metrics.StartStages.WithLabelValues(s.String()).Set(after.Seconds())
	r.Log.Info("start", "stage", s.String(), "after_ms", after.Milliseconds())
}
