package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// answeredPartThreshold is the number of crashes that quarantine a part which was answered within successValidity.
	// It is higher than quarantineThreshold, since such a part is most likely only beside the one that crashes targets.
	answeredPartThreshold = 5
	// minObservation is the time from the first of these crashes to the quarantine. An answer that began after the
	// first crash becomes known within it, and clears the part.
	minObservation = 2 * time.Second
	// minRequests is the number of different requests with a part that must have been at crashing targets. The crashes
	// of a single request quarantine that request.
	minRequests = 2
	// ambiguousRate is the share of a suspected part's crash rate from which on another part, which was at the same
	// crashing targets, is as likely the cause. More crashes are awaited then, up to answeredPartThreshold.
	ambiguousRate = 0.6
	// minEarlyRate is the crash rate below which a part is not quarantined before answeredPartThreshold crashes.
	minEarlyRate = 0.4
	// progressedEvents is the number of events from which on an answer has progressed so far that its prompt hardly
	// crashed the target, and progressedWeight how many more requests such a one counts for.
	progressedEvents = 4
	progressedWeight = 4
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
	// maxSuspects bounds the parts that are compared with each other.
	maxSuspects = 32
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

// PartVerdict is what a Verdict says of a part besides.
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

// suspect is a part whose crashes may suffice to quarantine it.
type suspect struct {
	key    Key
	record *record
	// answered reports that the part was answered within successValidity.
	answered bool
}

// JudgeParts quarantines the parts that explain the recorded crashes best, and lifts the quarantines of parts whose
// crashes another part explains. It returns the verdicts, which are to be sent to all daemons.
//
// A target has many prompts when it crashes, and their parts share its crashes. Each crash has one cause: once a part is
// blamed, its crashes no longer count against others.
func (t *Table) JudgeParts(now time.Time) []Verdict {
	suspects, blamed := t.suspects(now)
	verdicts := t.widen(blamed, now)
	for i, s := range suspects {
		r := s.record
		crashes := unexplained(r, betterThan(s, blamed))
		doubtful := r.crashRate() < minEarlyRate || ambiguous(s, suspects[i+1:])
		if !suffice(crashes, s.answered, now) || doubtful && len(crashes) < answeredPartThreshold {
			continue
		}
		part := PartVerdict{ID: r.part.ID, Account: commonAccount(crashes), Since: successValidity}
		if s.answered {
			part.Since = now.Sub(crashes[0].at)
		}
		r.appliesAt = now.Add(ObjectionWindow)
		r.quarantinePart(part, now)
		blamed = append(blamed, suspect{s.key, r, s.answered})
		verdicts = append(verdicts, r.verdict(s.key, now))
	}
	return append(verdicts, t.liftExplained(blamed, now)...)
}

// suspects returns the parts that crashed at least quarantineThreshold targets and are not quarantined, the most
// suspicious first, and the quarantined parts.
func (t *Table) suspects(now time.Time) (suspects, quarantined []suspect) {
	for k, r := range t.records {
		if r.part == nil {
			continue
		}
		if r.quarantined() {
			quarantined = append(quarantined, suspect{key: k, record: r})
			continue
		}
		began, answered := t.answered.last(k, now)
		r.crashes = slices.DeleteFunc(r.crashes, func(e crashEvent) bool {
			return now.Sub(e.at) > retention || answered && !e.at.After(began)
		})
		if len(r.crashes) >= quarantineThreshold {
			suspects = append(suspects, suspect{k, r, answered})
		}
	}
	compare := func(a, b suspect) int {
		return cmp.Or(compareBools(a.answered, b.answered), cmp.Compare(b.record.crashRate(), a.record.crashRate()),
			cmp.Compare(b.record.position, a.record.position), bytes.Compare(a.key[:], b.key[:]))
	}
	slices.SortFunc(suspects, compare)
	return suspects[:min(len(suspects), maxSuspects)], quarantined
}

// compareBools sorts false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// crashRate returns the number of crashes for each request with the part that was at a crashing target, where requests
// whose answers had progressed count more. It is low for a sound part that many prompts share: if it were the cause, the
// first of its prompts would have crashed the target.
func (r *record) crashRate() float64 {
	if len(r.crashes) == 0 {
		return 0
	}
	weight := 0
	for _, e := range r.crashes {
		weight += len(e.requests) + progressedWeight*e.progressed
	}
	return float64(len(r.crashes)) / float64(weight)
}

// ambiguous reports whether one of the other suspects explains the crashes of a part about as well. A part that was
// answered does not explain them as well as one that was not.
func ambiguous(s suspect, others []suspect) bool {
	return slices.ContainsFunc(others, func(other suspect) bool {
		return other.answered == s.answered && other.asLikelyAs(s) && len(unexplained(s.record, []suspect{other})) == 0
	})
}

// unexplained returns the crashes of a part's record that none of the blamed parts had too.
func unexplained(r *record, blamed []suspect) []crashEvent {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(e crashEvent) bool {
		return slices.ContainsFunc(blamed, func(other suspect) bool { return other.record != r && other.record.had(e) })
	})
}

// betterThan returns the blamed parts but for those whose crashes the suspect explains all, and further ones besides.
func betterThan(s suspect, blamed []suspect) []suspect {
	return slices.DeleteFunc(slices.Clone(blamed), func(b suspect) bool { return explains(s, b) })
}

// explains reports whether a part was at all targets that crashed under another one, and at further ones, and is not
// much less likely the cause by its crash rate.
func explains(s, other suspect) bool {
	return s.asLikelyAs(other) && len(s.record.crashes) > len(other.record.crashes) && len(unexplained(other.record, []suspect{s})) == 0
}

// asLikelyAs reports whether a part is about as likely the cause of its crashes as another one, by their crash rates.
func (s suspect) asLikelyAs(other suspect) bool {
	return s.record.crashRate() >= ambiguousRate*other.record.crashRate()
}

// had reports whether the target of a crash had a request with the record's part, too.
func (r *record) had(e crashEvent) bool {
	return slices.ContainsFunc(r.crashes, func(own crashEvent) bool { return own.same(e.target, e.at) })
}

// suffice reports whether crashes suffice to quarantine a part. answered reports that the part was answered within
// successValidity.
func suffice(crashes []crashEvent, answered bool, now time.Time) bool {
	requests := map[Key]bool{}
	for _, e := range crashes {
		for _, request := range e.requests {
			requests[request] = true
		}
	}
	switch {
	case len(requests) < minRequests:
		return false
	case answered:
		return len(crashes) >= answeredPartThreshold && now.Sub(crashes[0].at) >= minObservation
	default:
		return len(crashes) >= quarantineThreshold && distinctTimes(crashes) >= minDistinctTimes
	}
}

// commonAccount returns the account whose prompts alone had the part when targets crashed, or nothing if there were
// several. A quarantine applies to the prompts of that account only, so that no account can have those of another
// refused by its own.
func commonAccount(crashes []crashEvent) string {
	for _, e := range crashes {
		if e.account != crashes[0].account {
			return ""
		}
	}
	return crashes[0].account
}

// widen extends the quarantines of parts that have crashed targets under the prompts of another account since.
func (t *Table) widen(quarantined []suspect, now time.Time) []Verdict {
	var verdicts []Verdict
	for _, s := range quarantined {
		r := s.record
		if r.part.Account == "" || !slices.ContainsFunc(r.crashes, func(e crashEvent) bool {
			return e.at.After(r.quarantinedAt) && e.account != r.part.Account
		}) {
			continue
		}
		part := *r.part
		part.Account, part.Since = "", now.Sub(r.quarantinedAt)
		r.quarantinePart(part, now)
		verdicts = append(verdicts, r.verdict(s.key, now))
	}
	return verdicts
}

// liftExplained lifts the quarantines of parts whose crashes other quarantined parts explain, which were at further
// crashing targets besides.
func (t *Table) liftExplained(quarantined []suspect, now time.Time) []Verdict {
	var verdicts []Verdict
	for _, s := range quarantined {
		r := s.record
		if len(r.crashes) == 0 {
			continue // The crashes were recorded elsewhere.
		}
		others := slices.DeleteFunc(slices.Clone(quarantined), func(other suspect) bool {
			return other.record == r || !other.record.quarantined() || !other.asLikelyAs(s) || len(unexplained(other.record, []suspect{s})) == 0
		})
		if len(unexplained(r, others)) > 0 {
			continue
		}
		part := *r.part
		part.Since, part.Explained = 0, true
		r.liftPart(part, now)
		verdicts = append(verdicts, r.verdict(s.key, now))
	}
	return verdicts
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
