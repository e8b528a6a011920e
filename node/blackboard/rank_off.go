//go:build !race

package blackboard

// acquire and release check the lock order in builds with the race detector only.
func acquire(Rank) {}
func release(Rank) {}
