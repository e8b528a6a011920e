package claim

import (
	"container/heap"
	"time"
)

// grantRecord is a key that a witness has granted.
type grantRecord struct {
	key     string
	attempt string // empty after the attempt gave up
	holder  string
	gaveUp  map[string]bool // attempts that gave up and never send
	expires time.Time
}

// Witness records which attempt holds which key. Its grants are lost in a restart; it
// therefore denies keys that it may have granted before it started.
type Witness struct {
	started  time.Time
	records  map[string]*grantRecord
	byExpiry recordHeap
	granted  int64
	denied   int64
}

// NewWitness returns a witness that starts now, without any grants.
func NewWitness(now time.Time) *Witness {
	return &Witness{started: now, records: map[string]*grantRecord{}}
}

// Claim answers a claim and counts the answer.
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
		// The attempt gave up, and the message that says so arrived before its claim.
		return Reply{Answer: Taken, Attempt: r.Attempt, Holder: r.Holder}
	}
	if answer := w.refusalReason(r.Created, now); answer != 0 && rec == nil {
		return Reply{Answer: answer}
	}
	w.grant(rec, r, now)
	return Reply{Answer: Granted}
}

// refusalReason returns why a key that is not on record may not be granted, or 0 if it may.
func (w *Witness) refusalReason(created CreationTime, now time.Time) Answer {
	switch {
	case !created.Known && now.Sub(w.started) < RetryWindow:
		return WitnessTooNew
	case !created.Known:
		return 0
	case created.At.After(now.Add(MaxClockSkew)):
		return KeyFromFuture
	case now.Sub(created.At) > ClaimWindow:
		return KeyTooOld
	case !created.At.After(w.started.Add(MaxClockSkew)):
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

// expiryOf returns the time after which no witness grants the key any more, even if clocks
// differ by MaxClockSkew. For a key of unknown creation time it returns the time after which
// no retry is expected.
func expiryOf(created CreationTime, now time.Time) time.Time {
	if !created.Known {
		return now.Add(ClaimWindow)
	}
	left := created.At.Add(ClaimWindow + 2*MaxClockSkew).Sub(now)
	return now.Add(left)
}

// GiveUp records that an attempt gave up and never sends, so that another attempt may hold the
// key.
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

// RemoveExpired removes the keys whose records have expired.
func (w *Witness) RemoveExpired(now time.Time) {
	for len(w.byExpiry) > 0 && !now.Before(w.byExpiry[0].expires) {
		rec := heap.Pop(&w.byExpiry).(*grantRecord)
		delete(w.records, rec.key)
	}
}

// Counts holds the number of keys on record and of answers given.
type Counts struct {
	Keys            int
	Granted, Denied int64
}

// Counts returns the current counts of the witness.
func (w *Witness) Counts() Counts {
	return Counts{Keys: len(w.records), Granted: w.granted, Denied: w.denied}
}

// recordHeap orders records by expiry, the earliest first.
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
