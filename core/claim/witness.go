package claim

import (
	"container/heap"
	"time"
)

// record is a key that a witness has granted.
type record struct {
	key     string
	attempt string // empty once the attempt gave up
	holder  string
	gaveUp  map[string]bool // attempts that will never send
	forget  time.Time
}

// Witness remembers which attempt has which key.
type Witness struct {
	started time.Time
	records map[string]*record
	byAge   recordHeap
	granted int64
	denied  int64
}

// NewWitness returns a witness that remembers nothing from before now.
func NewWitness(now time.Time) *Witness {
	return &Witness{started: now, records: map[string]*record{}}
}

// Claim answers a claim.
func (w *Witness) Claim(r Request, now time.Time) Reply {
	w.Forget(now)
	reply := w.claim(r, now)
	if reply.Answer == Granted {
		w.granted++
	} else {
		w.denied++
	}
	return reply
}

func (w *Witness) claim(r Request, now time.Time) Reply {
	rec := w.records[r.Key]
	if rec != nil && rec.attempt != "" {
		if rec.attempt == r.Attempt {
			return Reply{Answer: Granted}
		}
		return Reply{Answer: Taken, Attempt: rec.attempt, Holder: rec.holder}
	}
	if rec != nil && rec.gaveUp[r.Attempt] {
		// A claim that was overtaken by its own end.
		return Reply{Answer: Taken, Attempt: r.Attempt, Holder: r.Holder}
	}
	if answer := w.refuse(r.Birth, now); answer != 0 && rec == nil {
		return Reply{Answer: answer}
	}
	w.grant(rec, r, now)
	return Reply{Answer: Granted}
}

// refuse tells why a key that is not on record may not be granted, or 0.
func (w *Witness) refuse(b Birth, now time.Time) Answer {
	switch {
	case !b.Dated && now.Sub(w.started) < RetryWindow:
		return Young
	case !b.Dated:
		return 0
	case b.At.After(now.Add(Skew)):
		return Future
	case now.Sub(b.At) > Window:
		return TooOld
	case !b.At.After(w.started.Add(Skew)):
		return Young
	}
	return 0
}

func (w *Witness) grant(rec *record, r Request, now time.Time) {
	if rec == nil {
		rec = &record{key: r.Key, forget: forgetAt(r.Birth, now)}
		w.records[r.Key] = rec
		heap.Push(&w.byAge, rec)
	}
	rec.attempt, rec.holder = r.Attempt, r.Holder
}

// forgetAt is when no witness grants the key any more, with room for clocks that
// differ; for a key without a date it is when no retry is expected any more.
func forgetAt(b Birth, now time.Time) time.Time {
	if !b.Dated {
		return now.Add(Window)
	}
	left := b.At.Add(Window + 2*Skew).Sub(now)
	return now.Add(left)
}

// GiveUp records that an attempt will never send, so that another may.
func (w *Witness) GiveUp(key, attempt string) {
	rec := w.records[key]
	if rec == nil {
		return
	}
	if rec.attempt == attempt {
		rec.attempt, rec.holder = "", ""
	}
	if rec.gaveUp == nil {
		rec.gaveUp = map[string]bool{}
	}
	rec.gaveUp[attempt] = true
}

// Forget drops the keys whose time is over.
func (w *Witness) Forget(now time.Time) {
	for len(w.byAge) > 0 && !now.Before(w.byAge[0].forget) {
		rec := heap.Pop(&w.byAge).(*record)
		delete(w.records, rec.key)
	}
}

// Counts is the number of keys on record and of answers given.
type Counts struct {
	Keys            int
	Granted, Denied int64
}

// Counts describes the witness.
func (w *Witness) Counts() Counts {
	return Counts{Keys: len(w.records), Granted: w.granted, Denied: w.denied}
}

// recordHeap orders records by the time at which they are forgotten.
type recordHeap []*record

// Len implements heap.Interface.
func (h recordHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h recordHeap) Less(i, j int) bool { return h[i].forget.Before(h[j].forget) }

// Swap implements heap.Interface.
func (h recordHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(x any) {
	*h = append(*h, x.(*record))
}

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return rec
}
