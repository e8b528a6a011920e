package poison

import (
	"slices"
	"time"
)

const (
	// maxRequestsPerCrash bounds the requests with a part that are recorded for one crash.
	maxRequestsPerCrash = 32
	// maxCrashesPerPart bounds the crashes recorded for a part.
	maxCrashesPerPart = 32
	// SettleTime is the time from the first report of a crash until all of them have arrived: a target has prompts of
	// many daemons.
	SettleTime = 100 * time.Millisecond
	// ObjectionWindow is the time from a verdict that quarantines a part until it applies. A daemon that knows of an
	// answer to a prompt with the part objects within it; the verdict and the objection have to cross the fleet.
	ObjectionWindow = 300 * time.Millisecond
	// firstPartTrialDelay and partTrialBackoffFactor are firstTrialDelay and trialBackoffFactor for parts. The first trial
	// comes early, since a part that is wrongly quarantined may be one that all prompts share; the later ones are far
	// apart, since only few prompts with a crashing part may be sent at all.
	firstPartTrialDelay    = 4 * time.Second
	partTrialBackoffFactor = 10
	// maxAnsweredParts bounds the number of parts whose latest answer is remembered.
	maxAnsweredParts = 16384
)

// An answer clears the parts of its prompt if it is whole, or has gone on for survivalTime and survivalEvents after its
// first event: targets crash soon after they begin an answer to a prompt with a crashing part.
const (
	survivalTime   = time.Second
	survivalEvents = 8
)

// Survived reports whether an answer that has gone on for some time and events since its first event clears the parts
// of its prompt.
func Survived(since time.Duration, events int) bool {
	return since >= survivalTime && events >= survivalEvents
}

// PartCrash reports that a target crashed while it had a prompt that shares parts with other prompts. Daemons send it to
// each other.
type PartCrash struct {
	Account string `cbor:"1,keyasint"`
	Pool    string `cbor:"2,keyasint"`
	Target  string `cbor:"3,keyasint"`
	// Request is the key of the request as a whole.
	Request Key `cbor:"4,keyasint"`
	// Parts are the ids of the shared parts.
	Parts []string `cbor:"5,keyasint"`
	// Answered is, for each part, the time since the latest answer to a prompt with it began, as far as the reporting
	// daemon knows; zero if it knows of none.
	Answered []time.Duration `cbor:"6,keyasint,omitempty"`
	// Events is the number of events of the answer that had been received.
	Events int `cbor:"7,keyasint,omitempty"`
}

// key returns the key of a part of the prompt.
func (c *PartCrash) key(i int) Key { return PartKey(c.Pool, c.Parts[i]) }

// PartVerdict holds the fields of a Verdict on a part.
type PartVerdict struct {
	// ID is the part's id, and Account whose prompts the verdict applies to; all accounts' if it is empty.
	ID      string `cbor:"1,keyasint"`
	Account string `cbor:"2,keyasint,omitempty"`
	// Since is the time back to the first crash that counts, for a verdict that begins a quarantine, and to the
	// beginning of the answer that clears the part, for one that lifts it. An answer that began later than the first
	// crash lifts the quarantine.
	Since time.Duration `cbor:"3,keyasint,omitempty"`
	// Explained is true if the quarantine is lifted because another part explains the crashes. No answer is known then.
	Explained bool `cbor:"4,keyasint,omitempty"`
}

// PartID returns the id of the part that the verdict is on, or nothing.
func (v *Verdict) PartID() string {
	if v.Part == nil {
		return ""
	}
	return v.Part.ID
}

// aged returns a copy of the verdict that is older by a time, or nil.
func (v *PartVerdict) aged(by time.Duration) *PartVerdict {
	if v == nil {
		return nil
	}
	older := *v
	older.Since += max(0, by)
	return &older
}

// PartKeys returns the keys of parts of prompts to a pool.
func PartKeys(pool string, parts []string) []Key {
	keys := make([]Key, 0, len(parts))
	for _, id := range parts {
		keys = append(keys, PartKey(pool, id))
	}
	return keys
}

// CheckPart is Check for a part of an account's prompt.
func (t *Table) CheckPart(k Key, account string, now time.Time) Status {
	r := t.records[k]
	if r == nil || r.part == nil || !r.quarantined() || now.Before(r.appliesAt) || r.part.Account != "" && r.part.Account != account {
		return Status{}
	}
	return t.Check(k, now)
}

// RecordOwnCrash records what a crash that this daemon saw means here: it adds the answers that the daemon knows of to
// the report, and begins the next quarantine of each part that the daemon has sent as a trial. It returns the verdicts,
// which are to be sent to all daemons; the report is to be sent to those that judge.
func (t *Table) RecordOwnCrash(c *PartCrash, now time.Time) []Verdict {
	var verdicts []Verdict
	c.Answered = make([]time.Duration, len(c.Parts))
	for i := range c.Parts {
		k := c.key(i)
		if began, known := t.answered.last(k, now); known {
			c.Answered[i] = now.Sub(began)
		}
		r := t.records[k]
		if r == nil || r.part == nil || !r.quarantined() || r.trialAt.IsZero() {
			continue
		}
		part := *r.part
		part.Since = now.Sub(r.trialAt)
		r.quarantinePart(part, now)
		verdicts = append(verdicts, r.verdict(k, now))
	}
	return verdicts
}

// RecordPartCrash records a crash for each shared part of the prompt that the target had. The crashes of a pool's
// targets are recorded at the same few daemons, so that these see all prompts that a target had. They call JudgeParts
// once the reports of the crash have arrived.
func (t *Table) RecordPartCrash(c *PartCrash, now time.Time) {
	for i, id := range c.Parts {
		k := c.key(i)
		if i < len(c.Answered) && c.Answered[i] > 0 {
			t.answered.add(k, now.Add(-c.Answered[i]), now)
		}
		r := t.record(k, now)
		r.lastUsed = now
		if r.part == nil {
			r.part = &PartVerdict{ID: id}
			r.position = i
		}
		r.addPartCrash(c, now)
	}
}

// addPartCrash records that a target crashed while it had a request with the part. Reports within duplicateWindow are
// about the same crash.
func (r *record) addPartCrash(c *PartCrash, now time.Time) {
	i := slices.IndexFunc(r.crashes, func(e crashEvent) bool { return e.same(c.Target, now) })
	if i < 0 {
		r.crashes = append(r.crashes, crashEvent{target: c.Target, at: now, account: c.Account})
		if len(r.crashes) > maxCrashesPerPart {
			r.crashes = r.crashes[1:]
		}
		i = len(r.crashes) - 1
	}
	e := &r.crashes[i]
	if len(e.requests) == maxRequestsPerCrash || slices.Contains(e.requests, c.Request) {
		return
	}
	e.requests = append(e.requests, c.Request)
	e.mostEvents = max(e.mostEvents, c.Events)
	if c.Events >= progressedEvents {
		e.progressed++
	}
	if c.Account != e.account {
		e.account = ""
	}
}

// same reports whether a report of a target's crash is about this one.
func (e *crashEvent) same(target string, at time.Time) bool {
	return e.target == target && at.Sub(e.at).Abs() < duplicateWindow
}

// quarantinePart begins a quarantine of a part. Its crashes are kept: they explain those of other parts.
func (r *record) quarantinePart(part PartVerdict, now time.Time) {
	part.Explained = false
	r.count++
	r.lifted, r.quarantinedAt, r.trialAt, r.part = false, now, time.Time{}, &part
}

// liftPart ends the quarantine of a part.
func (r *record) liftPart(part PartVerdict, now time.Time) {
	r.lifted, r.lastUsed, r.quarantinedAt, r.part = true, now, now, &part
}

// RecordAnswer records that a prompt with the given parts was answered, by an answer that began at the given time. It
// returns the verdicts that lift quarantines, which are to be sent to all daemons.
func (t *Table) RecordAnswer(pool string, parts []string, began, now time.Time) []Verdict {
	var verdicts []Verdict
	for _, id := range parts {
		k := PartKey(pool, id)
		t.answered.add(k, began, now)
		r := t.records[k]
		if r == nil || !t.clear(r, id, began, now) {
			continue
		}
		verdicts = append(verdicts, r.verdict(k, now))
	}
	return verdicts
}

// clear removes the crashes of a part before an answer to it began, and reports whether that lifts its quarantine.
func (t *Table) clear(r *record, id string, began, now time.Time) bool {
	lifts := r.quarantined() && began.After(r.firstCrash())
	if lifts || !r.quarantined() {
		r.crashes = slices.DeleteFunc(r.crashes, func(e crashEvent) bool { return !e.at.After(began) })
	}
	if lifts {
		r.liftPart(PartVerdict{ID: id, Since: now.Sub(began)}, now)
	}
	return lifts
}

// firstCrash returns the time of the first crash that counts for the quarantine of a part.
func (r *record) firstCrash() time.Time {
	if r.part == nil { // The verdict came through a daemon of a version without quarantines of parts.
		return r.quarantinedAt.Add(-successValidity)
	}
	return r.quarantinedAt.Add(-r.part.Since)
}

// mergePart completes the record of a part from another daemon's verdict. If this daemon knows of an answer to a
// prompt with the part that began after the first crash, it lifts the quarantine. An answer that another daemon knows
// of counts here too from then on.
func (t *Table) mergePart(r *record, v *Verdict, now time.Time) {
	part := *v.Part
	r.part = &part
	switch {
	case r.lifted && part.Explained:
	case r.lifted:
		began := now.Add(-part.Since)
		t.answered.add(v.Request, began, now)
		t.clear(r, part.ID, began, now)
	default:
		if began, known := t.answered.last(v.Request, now); known {
			t.clear(r, part.ID, began, now)
		}
	}
}
