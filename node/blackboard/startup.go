package blackboard

import (
	"sync/atomic"
	"time"
)

// Stage is a step of a daemon's start.
type Stage int

// The stages, in the order in which a start usually reaches them.
const (
	StageStore       Stage = iota // the store has answered
	StagePeer                     // another daemon is known
	StageSettings                 // settings are in force
	StageTargets                  // targets are known
	StageServing                  // calls are taken
	StageCoordinator              // a coordinator has answered
	StagePlaced                   // a call has a target
	StageAnswered                 // a caller has its whole answer
	stageCount
)

// Stages lists all of them.
func Stages() []Stage {
	list := make([]Stage, stageCount)
	for i := range list {
		list[i] = Stage(i)
	}
	return list
}

// String names the stage.
func (s Stage) String() string {
	return [...]string{"store", "peer", "settings", "targets", "serving", "coordinator", "placed", "answered"}[s]
}

// stageSet notes which stages have been reached.
type stageSet [stageCount]atomic.Bool

// Reach notes that a stage is reached, and tells whether that is news and how long after the process
// started it came.
func (b *Blackboard) MarkStage(s Stage) (after time.Duration, news bool) {
	if b.reachedStages[s].Load() || b.reachedStages[s].Swap(true) {
		return 0, false
	}
	return time.Since(b.processStart), true
}
