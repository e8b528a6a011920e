package telemetry

import "doorstack.dev/node/blackboard"

// MarkStage records in metrics and log when the daemon first reaches a stage of its start.
func (r *Recorder) MarkStage(s blackboard.Stage) {
	after, first := r.Board.MarkStage(s)
	if !first {
		return
	}
	r.Metrics.StartStages.WithLabelValues(s.String()).Set(after.Seconds())
	r.Log.Info("start", "stage", s.String(), "after_ms", after.Milliseconds())
}
