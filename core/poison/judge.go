package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// answeredPartThreshold is the number of crashes that quarantine a part which was answered within successValidity.
	// It is higher than quarantineThreshold, since such a part most likely only occurs together with the cause.
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
	// maxSuspects bounds the parts that are compared with each other.
	maxSuspects = 32
)

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
		if !suffice(crashes, s.answered, now) || doubtful && len(crashes) < answeredPartThreshold || scattered(crashes) && !observed(crashes, now) {
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

// betterThan returns the blamed parts except those that are worse explanations than the suspect: it explains all of their
// crashes, alone or together with the other blamed parts.
func betterThan(s suspect, blamed []suspect) []suspect {
	return slices.DeleteFunc(slices.Clone(blamed), func(b suspect) bool { return explains(s, b) || explainsWith(s, b, blamed) })
}

// explains reports whether a part was at all targets that crashed under another one, and at further ones, and is not
// much less likely the cause by its crash rate.
func explains(s, other suspect) bool {
	return s.asLikelyAs(other) && len(s.record.crashes) > len(other.record.crashes) && len(unexplained(other.record, []suspect{s})) == 0
}

// explainsWith is explains for a suspect together with the other blamed parts: each target that crashed under the blamed part
// also had the suspect or one of them, and the suspect crashed targets that no blamed part explains. Without it, a sound part
// that prompts with either of two crashing parts share stays blamed and hides the second of them.
func explainsWith(s, other suspect, blamed []suspect) bool {
	rest := slices.DeleteFunc(slices.Clone(blamed), func(b suspect) bool { return b.record == other.record })
	return len(rest) > 0 && s.asLikelyAs(other) && len(unexplained(other.record, append(rest, s))) == 0 && len(unexplained(s.record, blamed)) > 0
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

// scattered reports whether targets crashed at different points of their answers to prompts with a part. A crashing part crashes
// its targets at about the same point, that of the prompt which came first; targets that end for another reason do so at any.
func scattered(crashes []crashEvent) bool {
	least, most := crashes[0].mostEvents, crashes[0].mostEvents
	for _, e := range crashes {
		least, most = min(least, e.mostEvents), max(most, e.mostEvents)
	}
	return most-least >= progressedEvents
}

// observed reports whether enough crashes happened minObservation ago: an answer may take longer to clear a part than targets take
// to crash that often.
func observed(crashes []crashEvent, now time.Time) bool {
	return len(crashes) >= answeredPartThreshold && now.Sub(crashes[answeredPartThreshold-1].at) >= minObservation
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

// liftExplained lifts the quarantines of parts whose crashes are explained by other quarantined parts that crashed
// further targets.
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
