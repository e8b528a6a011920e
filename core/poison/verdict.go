package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict says that a request is quarantined, or that its quarantine was lifted. Daemons exchange
// verdicts. Of two verdicts on one request the one with the higher Count wins, and at the same
// Count the one that lifts the quarantine.
type Verdict struct {
	Request Key `cbor:"1,keyasint"`
	// Count is the number of quarantines of the request so far, this one included. A trial that
	// crashes its target begins a new quarantine.
	Count uint32 `cbor:"2,keyasint"`
	// Lifted is true if a target has completed the request since, which ends the quarantine.
	Lifted bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the last crash, attempt or success of the request.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Part is set if the verdict is on a part of prompts; Request is then the part's key.
	Part *PartVerdict `cbor:"5,keyasint,omitempty"`
}

// supersedes reports whether the verdict replaces what is known of the same request.
func (v *Verdict) supersedes(known *record) bool {
	if v.Count != known.count {
		return v.Count > known.count
	}
	return v.Lifted && !known.lifted
}

func (r *record) verdict(k Key, now time.Time) Verdict {
	return Verdict{Request: k, Count: r.count, Lifted: r.lifted, Age: max(0, now.Sub(r.lastUsed)), Part: r.part.aged(now.Sub(r.quarantinedAt))}
}

// Merge applies another daemon's verdict. If the verdict is new here, Merge returns the verdict to
// pass on and true. If the request succeeded at this daemon within successValidity, Merge lifts
// the quarantine, since only this daemon knows of that success.
func (t *Table) Merge(v Verdict, now time.Time) (Verdict, bool) {
	last := now.Add(-v.Age)
	if v.Count == 0 || v.Age > retention {
		return Verdict{}, false
	}
	if known := t.records[v.Request]; known != nil && !v.supersedes(known) {
		if known.part == nil && v.Count == known.count {
			known.part = v.Part.aged(0) // A daemon of an older version has passed the verdict on without it.
		}
		if v.Count == known.count && last.After(known.lastUsed) {
			known.lastUsed = last
		}
		return Verdict{}, false
	}
	r := t.record(v.Request, now)
	if v.Part == nil {
		r.crashes = nil
	} else if !r.quarantined() {
		r.appliesAt = now.Add(ObjectionWindow)
	}
	r.count, r.lifted, r.lastUsed = v.Count, v.Lifted, last
	r.quarantinedAt, r.trialAt = now, time.Time{}
	switch {
	case v.Part != nil:
		t.mergePart(r, &v, now)
	case r.quarantined() && t.successes.contains(v.Request, now):
		r.lifted = true
	}
	return r.verdict(v.Request, now), true
}

// Verdicts returns all current verdicts, the most recently used first. They are sent to a daemon
// whose Digest differs.
func (t *Table) Verdicts(now time.Time) []Verdict {
	t.removeExpired(now)
	var list []Verdict
	for k, r := range t.records {
		if r.count > 0 {
			list = append(list, r.verdict(k, now))
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return cmp.Compare(a.Age, b.Age) })
	return list
}

// Digest returns a hash of the current verdicts that is independent of their order and ages; zero
// without verdicts. Daemons with different digests exchange their verdicts.
func (t *Table) Digest(now time.Time) uint64 {
	t.removeExpired(now)
	sum := uint64(0)
	for k, r := range t.records {
		if r.count > 0 {
			sum += r.digest(k)
		}
	}
	return sum
}

func (r *record) digest(k Key) uint64 {
	data := binary.BigEndian.AppendUint32(k[:len(k):len(k)], r.count)
	if r.lifted {
		data = append(data, 1)
	}
	return xxhash.Sum64(data)
}
