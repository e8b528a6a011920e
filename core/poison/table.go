package poison

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is the number of target crashes that quarantine a request, provided that
	// they happened at minDistinctTimes different times at least. Two targets may crash by chance
	// while they run a harmless request, and any number at the same time when a rack loses power.
	quarantineThreshold = 3
	minDistinctTimes    = 2
	// duplicateWindow is the time within which two reports about one target count as one crash: a
	// target does not restart faster, and if it was sent the same request several times, all these
	// copies fail together.
	duplicateWindow = time.Second
	// coincidenceWindow is the time within which crashes of different targets count as one event,
	// since they may have one cause, unless the request was already suspected. The reports of one
	// event come from several daemons, some tenths of a second apart.
	coincidenceWindow = 250 * time.Millisecond
	// retention is how long a record is kept after the last crash, or, for a quarantined request,
	// after the last attempt to send it.
	retention = 10 * time.Minute
	// successValidity is how long a success clears a request: crashes within that time are not
	// counted. A request that many callers send is running at many targets, some of which crash for
	// other reasons.
	successValidity = time.Minute
	// firstTrialDelay is the time from the quarantine to the first trial: the request is sent once
	// more, because its targets may have crashed by chance. Each further delay is
	// trialBackoffFactor times as long. A trial without a result within trialTimeout may be repeated.
	firstTrialDelay    = 15 * time.Second
	trialBackoffFactor = 6
	trialTimeout       = 30 * time.Second
	// maxRecords bounds the records of all accounts, and maxRecordsPerAccount those of one account,
	// so that an account which sends ever new requests evicts only its own records.
	maxRecords           = 4096
	maxRecordsPerAccount = 256
	// maxPartRecords bounds the records of the parts of prompts of all accounts.
	maxPartRecords = 1024
	// maxSuccesses bounds the number of remembered successes.
	maxSuccesses = 2048
)

// Crash reports that a target crashed while it ran a request. Daemons send it to each other.
type Crash struct {
	Request Key    `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	// Suspected is true if another target was known to have crashed under the request when the
	// request was sent to this one, so that the two crashes are separate events.
	Suspected bool `cbor:"3,keyasint,omitempty"`
}

// Status is the state of a request that is about to be sent.
type Status struct {
	// Suspected is true if a target has crashed under the request.
	Suspected bool
	// Quarantined is true if the request must be refused unless it is sent as a trial. RetryAfter is
	// then the time until the next trial, firstTrialDelay at least. The quarantine may expire before
	// that, retention after the last attempt to send the request.
	Quarantined bool
	RetryAfter  time.Duration
	// TrialDue is true if one daemon may send the quarantined request as a trial.
	TrialDue bool
}

// CrashResult is the consequence of a crash.
type CrashResult struct {
	// Accepted is true unless the crash was ignored because of a recent success. It is also true for
	// a duplicate, which does not bring the request closer to quarantine.
	Accepted bool
	// Quarantined is true if the crash began a quarantine; Verdict is then to be sent to all daemons.
	Quarantined bool
	Verdict     Verdict
}

// Table holds a daemon's records of requests and parts under which targets crashed. It is not safe for
// concurrent use.
type Table struct {
	records   map[Key]*record
	successes timeSet
	// answered holds, for the parts of answered prompts, when the latest of these answers began.
	answered timeSet
}

// record is the state of one request.
type record struct {
	crashes  []crashEvent // of different targets or processes, oldest first
	count    uint32       // see Verdict.Count
	lifted   bool
	lastUsed time.Time // last crash, attempt or success; the record expires retention after it
	// quarantinedAt is when this daemon learned of the quarantine, and trialAt when the current
	// trial started; zero if there is none.
	quarantinedAt, trialAt time.Time
	// part is set in the record of a part of prompts, whose quarantine applies from appliesAt on.
	part      *PartVerdict
	appliesAt time.Time
	// position is the part's place in the prompt of the first crash.
	position int
}

// crashEvent is a crash of one target under the request of the record.
type crashEvent struct {
	target    string
	at        time.Time
	suspected bool // see Crash.Suspected
	// account is set in the record of a part: the account of all requests, or nothing if they are of several.
	account string
	// requests is set in the record of a part: the requests with the part that the target had.
	requests []Key
	// progressed is the number of these requests whose answers had progressed (see progressedEvents), and mostEvents the most
	// events that one of their answers had.
	progressed, mostEvents int
}

// quarantined reports whether the request is quarantined now.
func (r *record) quarantined() bool { return r.count > 0 && !r.lifted }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Key]*record{}, successes: timeSet{max: maxSuccesses}, answered: timeSet{max: maxAnsweredParts}}
}

// Empty reports whether the table has no records.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// RecordCrash records that a target crashed under a request, and quarantines the request at the
// threshold. The crash is ignored if the request succeeded within successValidity.
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
	if !r.addCrash(crashEvent{target: c.Target, at: now, suspected: c.Suspected}) {
		return CrashResult{Accepted: true}
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(e crashEvent) bool { return now.Sub(e.at) > retention })
	if len(r.crashes) < quarantineThreshold || distinctTimes(r.crashes) < minDistinctTimes {
		return CrashResult{Accepted: true}
	}
	return r.quarantine(k, now)
}

// quarantine begins a quarantine and resets what was recorded before it.
func (r *record) quarantine(k Key, now time.Time) CrashResult {
	r.count++
	r.lifted, r.crashes, r.quarantinedAt, r.trialAt = false, nil, now, time.Time{}
	return CrashResult{Accepted: true, Quarantined: true, Verdict: r.verdict(k, now)}
}

// crashInQuarantine records a crash under a quarantined request. A crash during a trial begins the
// next quarantine; without a trial, the crash is that of a copy sent before the quarantine.
func (r *record) crashInQuarantine(k Key, now time.Time) CrashResult {
	if r.trialAt.IsZero() {
		return CrashResult{Accepted: true}
	}
	return r.quarantine(k, now)
}

// untilNextTrial returns the time until the next trial; zero or less if one is due.
func (r *record) untilNextTrial(now time.Time) time.Duration {
	wait, factor := firstTrialDelay, time.Duration(trialBackoffFactor)
	if r.part != nil {
		wait, factor = firstPartTrialDelay, partTrialBackoffFactor
	}
	for n := uint32(1); n < r.count && wait < retention; n++ {
		wait *= factor
	}
	return r.quarantinedAt.Add(wait).Sub(now)
}

// addCrash records a crash and reports whether it is not a duplicate of a recorded one.
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

// maxCrashesPerRecord bounds the crashes recorded for a request that is not quarantined.
const maxCrashesPerRecord = 4 * quarantineThreshold

// distinctTimes returns the number of different times at which targets crashed. A crash counts as
// a new time if its request was already suspected, or if it happened more than coincidenceWindow
// after the last crash that counted as a new time.
func distinctTimes(crashes []crashEvent) int {
	n := 0
	var last time.Time
	for _, e := range crashes {
		if n == 0 || e.suspected || e.at.Sub(last) > coincidenceWindow {
			n++
			last = e.at
		}
	}
	return n
}

// RecordSuccess records that a target completed a request, which clears its crashes and lifts its
// quarantine. If there was a quarantine, it returns the verdict for the other daemons and true.
func (t *Table) RecordSuccess(k Key, now time.Time) (Verdict, bool) {
	t.successes.add(k, now, now)
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

// Check returns the status of a request that is about to be sent. For a quarantined request it
// also extends the retention of the record.
func (t *Table) Check(k Key, now time.Time) Status {
	r := t.records[k]
	if r == nil || now.Sub(r.lastUsed) > retention {
		return Status{}
	}
	if !r.quarantined() || now.Before(r.appliesAt) {
		return Status{Suspected: len(r.crashes) > 0}
	}
	r.lastUsed = now
	left := r.untilNextTrial(now)
	least := firstTrialDelay
	if r.part != nil {
		least = firstPartTrialDelay
	}
	return Status{Suspected: true, Quarantined: true, RetryAfter: max(least, left), TrialDue: left <= 0}
}

// StartTrial reports whether a quarantined request may be sent once as a trial, and records that
// the trial started. One daemon decides for all: the others ask it before a trial, and it calls
// StartTrial. A daemon that it allows the trial calls RecordTrial on its own table.
func (t *Table) StartTrial(k Key, now time.Time) bool {
	r := t.records[k]
	if r == nil || !r.quarantined() || r.untilNextTrial(now) > 0 || now.Sub(r.trialAt) < trialTimeout {
		return false
	}
	r.trialAt = now
	return true
}

// RecordTrial records that this daemon sends a quarantined request as a trial that another daemon
// has allowed.
func (t *Table) RecordTrial(k Key, now time.Time) {
	if r := t.records[k]; r != nil {
		r.trialAt = now
	}
}

// Counts are numbers of records.
type Counts struct {
	// Requests and Parts are quarantined, Others are neither.
	Requests, Parts, Others int
}

// Counts returns the number of quarantined requests, of quarantined parts and of other records.
func (t *Table) Counts() Counts {
	var c Counts
	for _, r := range t.records {
		switch {
		case !r.quarantined():
			c.Others++
		case r.part != nil:
			c.Parts++
		default:
			c.Requests++
		}
	}
	return c
}

// removeExpired deletes the records that have not been used for longer than retention.
func (t *Table) removeExpired(now time.Time) {
	for k, r := range t.records {
		if now.Sub(r.lastUsed) > retention {
			delete(t.records, k)
		}
	}
}

// record returns the record of a request and creates it if necessary.
func (t *Table) record(k Key, now time.Time) *record {
	if r := t.records[k]; r != nil {
		return r
	}
	t.evictIfFull(k, now)
	r := &record{lastUsed: now}
	t.records[k] = r
	return r
}

// evictIfFull evicts a record if there is no room for k: one of k's account if the account is at
// its limit, else one of any account if the table is full.
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
	case ofAccount >= maxRecordsLike(k):
		t.evict(func(other Key) bool { return other.accountPrefix() == k.accountPrefix() })
	case len(t.records) >= maxRecords:
		t.evict(func(Key) bool { return true })
	}
}

// maxRecordsLike returns the bound of the records that share the prefix of a key.
func maxRecordsLike(k Key) int {
	if k.accountPrefix() == partPrefix {
		return maxPartRecords
	}
	return maxRecordsPerAccount
}

// evict deletes the first record in eviction order among those for which eligible returns true.
func (t *Table) evict(eligible func(Key) bool) {
	var worst Key
	var found *record
	for k, r := range t.records {
		if eligible(k) && (found == nil || r.evictBefore(found)) {
			worst, found = k, r
		}
	}
	delete(t.records, worst)
}

// evictBefore defines the eviction order: records without a quarantine first, of parts those with the fewest crashes,
// then the least recently used.
func (r *record) evictBefore(other *record) bool {
	if r.quarantined() != other.quarantined() {
		return other.quarantined()
	}
	if r.part != nil && other.part != nil && len(r.crashes) != len(other.crashes) {
		return len(r.crashes) < len(other.crashes)
	}
	return r.lastUsed.Before(other.lastUsed)
}
