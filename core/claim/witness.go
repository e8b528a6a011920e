package claim

import (
	"container/heap"
	"time"
)

// grantRecord is a key that a witness has granted.
type grantRecord struct {
	key     string
	attempt string // empty once the attempt gave up
	holder  string
	gaveUp  map[string]bool // attempts that will never send
	expires time.Time
}

// Witness remembers which attempt has which key.
type Witness struct {
	started  time.Time
	records  map[string]*grantRecord
	byExpiry recordHeap
	granted  int64
	denied   int64
}

// NewWitness returns a witness that remembers nothing from before now.
func NewWitness(now time.Time) *Witness {
	return &Witness{started: now, records: map[string]*grantRecord{}}
}

// Claim answers a claim.
func (w *Witness) Claim(r Request, now time.Time) Reply {
	w.RemoveExpired(now)
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
	if answer := w.refusalReason(r.Created, now); answer != 0 && rec == nil {
		return Reply{Answer: answer}
	}
	w.grant(rec, r, now)
	return Reply{Answer: Granted}
}

// refuse tells why a key that is not on record may not be granted, or 0.
func (w *Witness) refusalReason(b CreationTime, now time.Time) Answer {
	switch {
	case !b.Known && now.Sub(w.started) < RetryWindow:
		return WitnessTooNew
	case !b.Known:
		return 0
	case b.At.After(now.Add(MaxClockSkew)):
		return KeyFromFuture
	case now.Sub(b.At) > ClaimWindow:
		return KeyTooOld
	case !b.At.After(w.started.Add(MaxClockSkew)):
		return WitnessTooNew
	}
	return 0
}

func (w *Witness) grant(rec *grantRecord, r Request, now time.Time) {
	if rec == nil {
		rec = &grantRecord{key: r.Key, expires: expiryOf(r.Created, now)}
		w.records[r.Key] = rec
		heap.Push(&w.byExpiry, rec)
	}
	rec.attempt, rec.holder = r.Attempt, r.Holder
}

// expiryOf is when no witness grants the key any more, with room for clocks that
// differ; for a key without a date it is when no retry is expected any more.
func expiryOf(b CreationTime, now time.Time) time.Time {
	if !b.Known {
		return now.Add(ClaimWindow)
	}
	left := b.At.Add(ClaimWindow + 2*MaxClockSkew).Sub(now)
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
func (w *Witness) RemoveExpired(now time.Time) {
	for len(w.byExpiry) > 0 && !now.Before(w.byExpiry[0].expires) {
		rec := heap.Pop(&w.byExpiry).(*grantRecord)
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
type recordHeap []*grantRecord

// Len implements heap.Interface.
func (h recordHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h recordHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements heap.Interface.
func (h recordHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(x any) {
	*h = append(*h, x.(*grantRecord))
}

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return rec
}
