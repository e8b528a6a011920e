package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// quarantineThreshold is the number of targets that end under a request until it is refused,
	// and minDistinctTimes how many different moments they end at. Two targets may die under a
	// sound request by chance, and any number at one moment, when a rack loses power.
	quarantineThreshold = 3
	minDistinctTimes    = 2
	// duplicateWindow is how close two reports about one target are that tell of one end: a target is
	// not back sooner, and several copies of a request end with it.
	duplicateWindow = time.Second
	// coincidenceWindow is how close ends of different targets are that may have one cause, where
	// nobody knows better. News of them come from several daemons, some tenths of a second apart.
	coincidenceWindow = 250 * time.Millisecond
	// retention is how long a request is remembered after the last end under it, and a
	// quarantined one after the last time that somebody asked for it.
	retention = 10 * time.Minute
	// successValidity is how long an answer shows that a request is sound. Many callers may send the
	// same one, under which targets then die as they do under any other.
	successValidity = time.Minute
	// firstTrialDelay is when a quarantined request may be sent once more, to show that its targets
	// died by chance, and trialBackoffFactor how many times as long each further trial takes. A trial
	// that is not heard of again within trialTimeout may be repeated.
	firstTrialDelay    = 15 * time.Second
	trialBackoffFactor = 6
	trialTimeout       = 30 * time.Second
	// maxRecords bounds the requests remembered, maxRecordsPerAccount those of one account: one
	// that invents requests drives out only its own.
	maxRecords           = 4096
	maxRecordsPerAccount = 256
	// maxSuccesses bounds the served requests remembered.
	maxSuccesses = 2048
)

// Crash is the end of a target under a request.
type Crash struct {
	Request Key    `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	// Repeat means that another target was known to have ended under the request when it
	// was sent to this one, so that the two did not end together.
	Suspected bool `cbor:"3,keyasint,omitempty"`
}

// Status is what is known of a request that is about to be sent.
type Status struct {
	// Suspected means that a target has ended under it.
	Suspected bool
	// Quarantined requests are refused. Left is the time until the next trial, or until the
	// quarantine ends if nobody asks again.
	Quarantined bool
	RetryAfter  time.Duration
	// Due means that a quarantined request may be tried once more, by one daemon of all.
	TrialDue bool
}

// CrashResult is what the end of a target under a request leads to.
type CrashResult struct {
	// Counted ends are held against the request.
	Counted bool
	// Quarantined means that the request is refused from now on; Verdict is what to tell.
	Quarantined bool
	Verdict     Verdict
}

// Verdict is what the fleet holds of a request under which targets ended. Daemons tell each
// other verdicts; of two about one request the later quarantine wins, and of one
// quarantine that it was lifted.
type Verdict struct {
	Request Key `cbor:"1,keyasint"`
	// Count is how often the request has been quarantined, this time included. A trial that
	// ended one more target counts.
	Count uint32 `cbor:"2,keyasint"`
	// Lifted means that a target has answered the request since, so that it is sound.
	Lifted bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the last end under the request, or since it was last asked for.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// over tells whether the verdict replaces another about the same request.
func (v *Verdict) supersedes(known *record) bool {
	if v.Count != known.count {
		return v.Count > known.count
	}
	return v.Lifted && !known.lifted
}

// Table is a daemon's memory of requests under which targets ended.
type Table struct {
	records   map[Key]*record
	successes successSet
}

// record is what is known of one request.
type record struct {
	crashes  []crashEvent // of different targets or processes, the earliest first
	count    uint32       // see Verdict
	lifted   bool
	lastUsed time.Time // when the record was last of use
	// since is when this daemon learned of the quarantine, and trial when it let one through.
	quarantinedAt, trialAt time.Time
}

// crashEvent is the end of a target under a request.
type crashEvent struct {
	target    string
	at        time.Time
	suspected bool // see Crash
}

// quarantined tells whether the request of the record is refused.
func (r *record) quarantined() bool { return r.count > 0 && !r.lifted }

func (r *record) verdict(k Key, now time.Time) Verdict {
	return Verdict{Request: k, Count: r.count, Lifted: r.lifted, Age: max(0, now.Sub(r.lastUsed))}
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]*record{}} }

// Empty tells whether nothing is held against any request.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Crashed takes in that a target has ended under a request. One that was answered lately
// is not to blame.
func (t *Table) RecordCrash(c Crash, now time.Time) CrashResult {
	k := c.Request
	if t.successes.contains(k, now) {
		return CrashResult{}
	}
	r := t.record(k, now)
	r.lastUsed = now
	if r.quarantined() {
		return r.crashInQuarantine(k, now)
	}
	if !r.addCrash(crashEvent{c.Target, now, c.Suspected}) {
		return CrashResult{Counted: true}
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(e crashEvent) bool { return now.Sub(e.at) > retention })
	if len(r.crashes) < quarantineThreshold || r.distinctTimes() < minDistinctTimes {
		return CrashResult{Counted: true}
	}
	return r.quarantine(k, now)
}

// quarantine begins a quarantine, or the next one.
func (r *record) quarantine(k Key, now time.Time) CrashResult {
	r.count++
	r.lifted, r.crashes, r.quarantinedAt, r.trialAt = false, nil, now, time.Time{}
	return CrashResult{Counted: true, Quarantined: true, Verdict: r.verdict(k, now)}
}

// tried takes in an end under a quarantined request: that of a trial begins the next quarantine;
// others are of copies that were on their way.
func (r *record) crashInQuarantine(k Key, now time.Time) CrashResult {
	if r.trialAt.IsZero() {
		return CrashResult{Counted: true}
	}
	return r.quarantine(k, now)
}

// untilTrial is the time until the request may be tried.
func (r *record) untilNextTrial(now time.Time) time.Duration {
	wait := firstTrialDelay
	for n := uint32(1); n < r.count && wait < retention; n++ {
		wait *= trialBackoffFactor
	}
	return r.quarantinedAt.Add(wait).Sub(now)
}

// add notes an end, and tells whether it is another one than those known.
func (r *record) addCrash(e crashEvent) bool {
	for _, known := range r.crashes {
		if known.target == e.target && e.at.Sub(known.at) < duplicateWindow {
			return false
		}
	}
	r.crashes = append(r.crashes, e)
	if len(r.crashes) > maxCrashesPerRecord {
		r.crashes = r.crashes[1:]
	}
	return true
}

// maxCrashesPerRecord bounds the ends kept of a request that is not quarantined.
const maxCrashesPerRecord = 4 * quarantineThreshold

// moments counts the different moments at which targets ended.
func (r *record) distinctTimes() int {
	n := 0
	var last time.Time
	for _, e := range r.crashes {
		if n == 0 || e.suspected || e.at.Sub(last) > coincidenceWindow {
			n++
			last = e.at
		}
	}
	return n
}

// Served takes in that a target has answered a request whole, which lifts what was held
// against it. It returns the verdict and true where that ends a quarantine.
func (t *Table) RecordSuccess(k Key, now time.Time) (Verdict, bool) {
	t.successes.add(k, now)
	r := t.records[k]
	if r == nil {
		return Verdict{}, false
	}
	r.crashes = nil
	if !r.quarantined() {
		return Verdict{}, false
	}
	r.lifted, r.lastUsed = true, now
	return r.verdict(k, now), true
}

// Ask tells what is known of a request that is about to be sent.
func (t *Table) Check(k Key, now time.Time) Status {
	r := t.records[k]
	if r == nil || now.Sub(r.lastUsed) > retention {
		return Status{}
	}
	if !r.quarantined() {
		return Status{Suspected: len(r.crashes) > 0}
	}
	r.lastUsed = now
	left := r.untilNextTrial(now)
	return Status{Suspected: true, Quarantined: true, RetryAfter: max(firstTrialDelay, left), TrialDue: left <= 0}
}

// Try tells whether a quarantined request may be sent this once, and notes that it is. Of all
// daemons one is asked; whoever sends the request notes its word by Grant.
func (t *Table) StartTrial(k Key, now time.Time) bool {
	r := t.records[k]
	if r == nil || !r.quarantined() || r.untilNextTrial(now) > 0 || now.Sub(r.trialAt) < trialTimeout {
		return false
	}
	r.trialAt = now
	return true
}

// Grant notes that this daemon sends a quarantined request once, on another one's word.
func (t *Table) RecordTrial(k Key, now time.Time) {
	if r := t.records[k]; r != nil {
		r.trialAt = now
	}
}

// Learn takes in another daemon's verdict. It returns true, with the verdict to pass on,
// where that is news. A quarantine of a request that this daemon has had an answer to lately
// is lifted instead: others than this one cannot know that it was served here.
func (t *Table) Merge(v Verdict, now time.Time) (Verdict, bool) {
	last := now.Add(-v.Age)
	if v.Count == 0 || v.Age > retention {
		return Verdict{}, false
	}
	if known := t.records[v.Request]; known != nil && !v.supersedes(known) {
		if v.Count == known.count && last.After(known.lastUsed) {
			known.lastUsed = last
		}
		return Verdict{}, false
	}
	r := t.record(v.Request, now)
	r.count, r.lifted, r.lastUsed, r.crashes = v.Count, v.Lifted, last, nil
	r.quarantinedAt, r.trialAt = now, time.Time{}
	if r.quarantined() && t.successes.contains(v.Request, now) {
		r.lifted = true
	}
	return r.verdict(v.Request, now), true
}

// Verdicts lists what is held of requests that were quarantined, for a daemon that lacks some.
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

// Digest identifies the verdicts: daemons with different digests tell each other theirs. It
// is zero where there are none.
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

// Counts tells how many requests are quarantined, and how many others are remembered.
func (t *Table) Counts() (quarantined, others int) {
	for _, r := range t.records {
		if r.quarantined() {
			quarantined++
		}
	}
	return quarantined, len(t.records) - quarantined
}

// trim forgets what is too old to count.
func (t *Table) removeExpired(now time.Time) {
	for k, r := range t.records {
		if now.Sub(r.lastUsed) > retention {
			delete(t.records, k)
		}
	}
}

// record returns the record of a request, a new one if there is none.
func (t *Table) record(k Key, now time.Time) *record {
	if r := t.records[k]; r != nil {
		return r
	}
	t.evictIfFull(k, now)
	r := &record{lastUsed: now}
	t.records[k] = r
	return r
}

// makeRoom drops a record where there is no room for one more: the oldest of the account that
// has too many, else the oldest of all; those of no quarantine first.
func (t *Table) evictIfFull(k Key, now time.Time) {
	if len(t.records) < maxRecordsPerAccount {
		return
	}
	t.removeExpired(now)
	ofAccount := 0
	for other := range t.records {
		if other.accountPrefix() == k.accountPrefix() {
			ofAccount++
		}
	}
	switch {
	case ofAccount >= maxRecordsPerAccount:
		t.evict(func(other Key) bool { return other.accountPrefix() == k.accountPrefix() })
	case len(t.records) >= maxRecords:
		t.evict(func(Key) bool { return true })
	}
}

// drop forgets the least useful of the records that may go.
func (t *Table) evict(may func(Key) bool) {
	var worst Key
	var found *record
	for k, r := range t.records {
		if may(k) && (found == nil || r.evictBefore(found)) {
			worst, found = k, r
		}
	}
	delete(t.records, worst)
}

func (r *record) evictBefore(other *record) bool {
	if r.quarantined() != other.quarantined() {
		return other.quarantined()
	}
	return r.lastUsed.Before(other.lastUsed)
}

// successSet remembers which requests were answered lately, in two halves: the younger one becomes
// the older when it is full or old, and what the older one held is forgotten.
type successSet struct {
	current, previous map[Key]time.Time
	rotatedAt         time.Time // when the younger half was begun
}

func (s *successSet) add(k Key, now time.Time) {
	if s.current == nil || len(s.current) >= maxSuccesses/2 || now.Sub(s.rotatedAt) > successValidity {
		s.current, s.previous, s.rotatedAt = map[Key]time.Time{}, s.current, now
	}
	s.current[k] = now
}

func (s *successSet) contains(k Key, now time.Time) bool {
	at, found := s.current[k]
	if !found {
		at, found = s.previous[k]
	}
	return found && now.Sub(at) <= successValidity
}
