//go:build !race

package blackboard

func acquire(Rank) {}
func release(Rank) {}
