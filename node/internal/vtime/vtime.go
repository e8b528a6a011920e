// Package vtime is the queue of events of a simulation in virtual time.
package vtime

import (
	"cmp"
	"container/heap"
	"time"
)

// Queue holds events by the time since the start of a simulation. Events at one time come in
// the order in which they were added, so that a run depends on its seed alone. The zero value
// is empty.
type Queue struct {
	events       events
	lastSequence int
}

// At adds an event.
func (q *Queue) Schedule(at time.Duration, do func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at, q.lastSequence, do})
}

// Next takes the first event out; ok is false where there is none.
func (q *Queue) Next() (at time.Duration, do func(), ok bool) {
	if len(q.events) == 0 {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.run, true
}

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
