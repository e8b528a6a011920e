package decision

import (
	"unsafe"

	"doorstack.dev/core/routing"
)

// Ring keeps the newest records in a bounded amount of memory. It is not safe for concurrent
// use; package blackboard guards it with a lock.
type Ring struct {
	limit              int64
	size               int64
	records            []Record // oldest first; those before index head are removed
	head               int
	positionsByRequest map[string][]int // absolute positions by request ID
	dropped            int              // records removed so far; absolute position = dropped + index - head
	evicted            int64
}

// NewRing returns a ring that keeps about limit bytes of records.
func NewRing(limit int64) *Ring {
	return &Ring{limit: limit, positionsByRequest: map[string][]int{}}
}

// Put adds a record and removes the oldest ones that no longer fit.
func (r *Ring) Put(rec Record) {
	absolute := r.dropped + len(r.records) - r.head
	r.records = append(r.records, rec)
	r.size += sizeOf(&rec)
	if rec.Request != "" {
		r.positionsByRequest[rec.Request] = append(r.positionsByRequest[rec.Request], absolute)
	}
	for r.size > r.limit && len(r.records)-r.head > 1 {
		r.dropOldest()
	}
	r.compact()
}

func (r *Ring) dropOldest() {
	old := &r.records[r.head]
	r.size -= sizeOf(old)
	if positions := r.positionsByRequest[old.Request]; len(positions) > 1 {
		r.positionsByRequest[old.Request] = positions[1:]
	} else {
		delete(r.positionsByRequest, old.Request)
	}
	*old = Record{}
	r.head++
	r.dropped++
	r.evicted++
}

// compact moves the records to the front once half of the slice is unused.
func (r *Ring) compact() {
	if r.head <= len(r.records)/2 {
		return
	}
	n := copy(r.records, r.records[r.head:])
	clear(r.records[n:])
	r.records = r.records[:n]
	r.head = 0
}

// Find returns the records of a request, oldest first.
func (r *Ring) Find(request string) []Record {
	var found []Record
	for _, absolute := range r.positionsByRequest[request] {
		found = append(found, r.records[absolute-r.dropped+r.head])
	}
	return found
}

// Last returns the newest n records, newest first.
func (r *Ring) Last(n int) []Record {
	var last []Record
	for i := len(r.records) - 1; i >= r.head && len(last) < n; i-- {
		last = append(last, r.records[i])
	}
	return last
}

// Evicted returns the number of records removed so far.
func (r *Ring) Evicted() int64 { return r.evicted }

// Size returns the estimated memory of the records in bytes.
func (r *Ring) Size() int64 { return r.size }

// indexBytes is the estimated memory of one index entry in bytes.
const indexBytes = 64

func sizeOf(rec *Record) int64 {
	size := int64(unsafe.Sizeof(*rec)) + indexBytes
	size += int64(len(rec.Request) + len(rec.Reason) + len(rec.Attempt))
	if d := rec.Routing; d != nil {
		size += int64(unsafe.Sizeof(*d)) + int64(cap(d.Candidates))*int64(unsafe.Sizeof(routing.Candidate{}))
	}
	return size
}
