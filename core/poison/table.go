package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// quarantineAfter is the number of targets that end under a request until it is refused,
	// and leastMoments how many different moments they end at. Two targets may die under a
	// sound request by chance, and any number at one moment, when a rack loses power.
	quarantineAfter = 3
	leastMoments    = 2
	// sameEnd is how close two reports about one target are that tell of one end: a target is
	// not back sooner, and several copies of a request end with it.
	sameEnd = time.Second
	// sameMoment is how close ends of different targets are that may have one cause, where
	// nobody knows better. News of them come from several daemons, some tenths of a second apart.
	sameMoment = 250 * time.Millisecond
	// keepFor is how long a request is remembered after the last end under it, and a
	// quarantined one after the last time that somebody asked for it.
	keepFor = 10 * time.Minute
	// soundFor is how long an answer shows that a request is sound. Many callers may send the
	// same one, under which targets then die as they do under any other.
	soundFor = time.Minute
	// firstTrial is when a quarantined request may be sent once more, to show that its targets
	// died by chance, and trialGrowth how many times as long each further trial takes. A trial
	// that is not heard of again within trialMost may be repeated.
	firstTrial  = 15 * time.Second
	trialGrowth = 6
	trialMost   = 30 * time.Second
	// maxRequests bounds the requests remembered, maxOfAccount those of one account: one
	// that invents requests drives out only its own.
	maxRequests  = 4096
	maxOfAccount = 256
	// maxServed bounds the served requests remembered.
	maxServed = 2048
)

// Crash is the end of a target under a request.
type Crash struct {
	Request Key    `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	// Repeat means that another target was known to have ended under the request when it
	// was sent to this one, so that the two did not end together.
	Repeat bool `cbor:"3,keyasint,omitempty"`
}

// Standing is what is known of a request that is about to be sent.
type Standing struct {
	// Suspected means that a target has ended under it.
	Suspected bool
	// Quarantined requests are refused. Left is the time until the next trial, or until the
	// quarantine ends if nobody asks again.
	Quarantined bool
	Left        time.Duration
	// Due means that a quarantined request may be tried once more, by one daemon of all.
	Due bool
}

// Finding is what the end of a target under a request leads to.
type Finding struct {
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
func (v *Verdict) over(known *record) bool {
	if v.Count != known.count {
		return v.Count > known.count
	}
	return v.Lifted && !known.lifted
}

// Table is a daemon's memory of requests under which targets ended.
type Table struct {
	records map[Key]*record
	served  served
}

// record is what is known of one request.
type record struct {
	ends   []end  // of different targets or processes, the earliest first
	count  uint32 // see Verdict
	lifted bool
	last   time.Time // when the record was last of use
	// since is when this daemon learned of the quarantine, and trial when it let one through.
	since, trial time.Time
}

// end is the end of a target under a request.
type end struct {
	target string
	at     time.Time
	repeat bool // see Crash
}

// quarantined tells whether the request of the record is refused.
func (r *record) quarantined() bool { return r.count > 0 && !r.lifted }

func (r *record) verdict(k Key, now time.Time) Verdict {
	return Verdict{Request: k, Count: r.count, Lifted: r.lifted, Age: max(0, now.Sub(r.last))}
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]*record{}} }

// Empty tells whether nothing is held against any request.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Crashed takes in that a target has ended under a request. One that was answered lately
// is not to blame.
func (t *Table) Crashed(c Crash, now time.Time) Finding {
	k := c.Request
	if t.served.has(k, now) {
		return Finding{}
	}
	r := t.record(k, now)
	r.last = now
	if r.quarantined() {
		return r.tried(k, now)
	}
	if !r.add(end{c.Target, now, c.Repeat}) {
		return Finding{Counted: true}
	}
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool { return now.Sub(e.at) > keepFor })
	if len(r.ends) < quarantineAfter || r.moments() < leastMoments {
		return Finding{Counted: true}
	}
	return r.quarantine(k, now)
}

// quarantine begins a quarantine, or the next one.
func (r *record) quarantine(k Key, now time.Time) Finding {
	r.count++
	r.lifted, r.ends, r.since, r.trial = false, nil, now, time.Time{}
	return Finding{Counted: true, Quarantined: true, Verdict: r.verdict(k, now)}
}

// tried takes in an end under a quarantined request: that of a trial begins the next quarantine;
// others are of copies that were on their way.
func (r *record) tried(k Key, now time.Time) Finding {
	if r.trial.IsZero() {
		return Finding{Counted: true}
	}
	return r.quarantine(k, now)
}

// untilTrial is the time until the request may be tried.
func (r *record) untilTrial(now time.Time) time.Duration {
	wait := firstTrial
	for n := uint32(1); n < r.count && wait < keepFor; n++ {
		wait *= trialGrowth
	}
	return r.since.Add(wait).Sub(now)
}

// add notes an end, and tells whether it is another one than those known.
func (r *record) add(e end) bool {
	for _, known := range r.ends {
		if known.target == e.target && e.at.Sub(known.at) < sameEnd {
			return false
		}
	}
	r.ends = append(r.ends, e)
	if len(r.ends) > maxEnds {
		r.ends = r.ends[1:]
	}
	return true
}

// maxEnds bounds the ends kept of a request that is not quarantined.
const maxEnds = 4 * quarantineAfter

// moments counts the different moments at which targets ended.
func (r *record) moments() int {
	n := 0
	var last time.Time
	for _, e := range r.ends {
		if n == 0 || e.repeat || e.at.Sub(last) > sameMoment {
			n++
			last = e.at
		}
	}
	return n
}

// Served takes in that a target has answered a request whole, which lifts what was held
// against it. It returns the verdict and true where that ends a quarantine.
func (t *Table) Served(k Key, now time.Time) (Verdict, bool) {
	t.served.add(k, now)
	r := t.records[k]
	if r == nil {
		return Verdict{}, false
	}
	r.ends = nil
	if !r.quarantined() {
		return Verdict{}, false
	}
	r.lifted, r.last = true, now
	return r.verdict(k, now), true
}

// Ask tells what is known of a request that is about to be sent.
func (t *Table) Ask(k Key, now time.Time) Standing {
	r := t.records[k]
	if r == nil || now.Sub(r.last) > keepFor {
		return Standing{}
	}
	if !r.quarantined() {
		return Standing{Suspected: len(r.ends) > 0}
	}
	r.last = now
	left := r.untilTrial(now)
	return Standing{Suspected: true, Quarantined: true, Left: max(firstTrial, left), Due: left <= 0}
}

// Try tells whether a quarantined request may be sent this once, and notes that it is. Of all
// daemons one is asked; whoever sends the request notes its word by Grant.
func (t *Table) Try(k Key, now time.Time) bool {
	r := t.records[k]
	if r == nil || !r.quarantined() || r.untilTrial(now) > 0 || now.Sub(r.trial) < trialMost {
		return false
	}
	r.trial = now
	return true
}

// Grant notes that this daemon sends a quarantined request once, on another one's word.
func (t *Table) Grant(k Key, now time.Time) {
	if r := t.records[k]; r != nil {
		r.trial = now
	}
}

// Learn takes in another daemon's verdict. It returns true, with the verdict to pass on,
// where that is news. A quarantine of a request that this daemon has had an answer to lately
// is lifted instead: others than this one cannot know that it was served here.
func (t *Table) Learn(v Verdict, now time.Time) (Verdict, bool) {
	last := now.Add(-v.Age)
	if v.Count == 0 || v.Age > keepFor {
		return Verdict{}, false
	}
	if known := t.records[v.Request]; known != nil && !v.over(known) {
		if v.Count == known.count && last.After(known.last) {
			known.last = last
		}
		return Verdict{}, false
	}
	r := t.record(v.Request, now)
	r.count, r.lifted, r.last, r.ends = v.Count, v.Lifted, last, nil
	r.since, r.trial = now, time.Time{}
	if r.quarantined() && t.served.has(v.Request, now) {
		r.lifted = true
	}
	return r.verdict(v.Request, now), true
}

// Verdicts lists what is held of requests that were quarantined, for a daemon that lacks some.
func (t *Table) Verdicts(now time.Time) []Verdict {
	t.trim(now)
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
	t.trim(now)
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
func (t *Table) trim(now time.Time) {
	for k, r := range t.records {
		if now.Sub(r.last) > keepFor {
			delete(t.records, k)
		}
	}
}

// record returns the record of a request, a new one if there is none.
func (t *Table) record(k Key, now time.Time) *record {
	if r := t.records[k]; r != nil {
		return r
	}
	t.makeRoom(k, now)
	r := &record{last: now}
	t.records[k] = r
	return r
}

// makeRoom drops a record where there is no room for one more: the oldest of the account that
// has too many, else the oldest of all; those of no quarantine first.
func (t *Table) makeRoom(k Key, now time.Time) {
	if len(t.records) < maxOfAccount {
		return
	}
	t.trim(now)
	ofAccount := 0
	for other := range t.records {
		if other.account() == k.account() {
			ofAccount++
		}
	}
	switch {
	case ofAccount >= maxOfAccount:
		t.drop(func(other Key) bool { return other.account() == k.account() })
	case len(t.records) >= maxRequests:
		t.drop(func(Key) bool { return true })
	}
}

// drop forgets the least useful of the records that may go.
func (t *Table) drop(may func(Key) bool) {
	var worst Key
	var found *record
	for k, r := range t.records {
		if may(k) && (found == nil || r.lessUseful(found)) {
			worst, found = k, r
		}
	}
	delete(t.records, worst)
}

func (r *record) lessUseful(other *record) bool {
	if r.quarantined() != other.quarantined() {
		return other.quarantined()
	}
	return r.last.Before(other.last)
}

// served remembers which requests were answered lately, in two halves: the younger one becomes
// the older when it is full or old, and what the older one held is forgotten.
type served struct {
	younger, older map[Key]time.Time
	began          time.Time // when the younger half was begun
}

func (s *served) add(k Key, now time.Time) {
	if s.younger == nil || len(s.younger) >= maxServed/2 || now.Sub(s.began) > soundFor {
		s.younger, s.older, s.began = map[Key]time.Time{}, s.younger, now
	}
	s.younger[k] = now
}

func (s *served) has(k Key, now time.Time) bool {
	at, found := s.younger[k]
	if !found {
		at, found = s.older[k]
	}
	return found && now.Sub(at) <= soundFor
}
