// Package vtime provides the event queue of a simulation in virtual time.
package vtime

import (
	"cmp"
	"container/heap"
	"time"
)

// Queue holds events, ordered by their virtual time since the start of the simulation. Events at
// the same time are ordered as they were scheduled, so that a simulation depends on its seed alone.
// The zero value is an empty queue.
type Queue struct {
	events       events
	lastSequence int
}

// Schedule adds an event: do is to be called at the given time.
func (q *Queue) Schedule(at time.Duration, do func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at, q.lastSequence, do})
}

// Next removes the first event and returns it; ok reports whether there was one.
func (q *Queue) Next() (at time.Duration, do func(), ok bool) {
	if len(q.events) == 0 {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.run, true
}

// event is a scheduled function call.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
