package blackboard

import (
	"sync/atomic"
	"time"
)

// Stage is a step of a daemon's startup.
type Stage int

// The stages, in their usual order.
const (
	StageStore       Stage = iota // the platform's store has answered
	StagePeer                     // another daemon is known
	StageSettings                 // settings are in force
	StageTargets                  // targets are known
	StageServing                  // calls are accepted
	StageCoordinator              // the coordinator of a pool, another daemon, has answered
	StagePlaced                   // a call has a target
	StageAnswered                 // a caller has its whole answer
	stageCount
)

// Stages returns all stages in order.
func Stages() []Stage {
	list := make([]Stage, stageCount)
	for i := range list {
		list[i] = Stage(i)
	}
	return list
}

// String returns the name of the stage, as used in metrics.
func (s Stage) String() string {
	return [...]string{"store", "peer", "settings", "targets", "serving", "coordinator", "placed", "answered"}[s]
}

// stageSet records the stages that have been reached.
type stageSet [stageCount]atomic.Bool

// MarkStage records that a stage has been reached. It reports whether this was the first
// time and returns the time since the process started.
func (b *Blackboard) MarkStage(s Stage) (sinceStart time.Duration, first bool) {
	if b.reachedStages[s].Load() || b.reachedStages[s].Swap(true) {
		return 0, false
	}
	return time.Since(b.processStart), true
}
