package claim

import (
	"slices"
	"time"
)

// State is the state of a claim.
type State uint8

// The states of a claim.
const (
	// Pending means that the claim waits for answers.
	Pending State = iota
	// Won means that the call may be sent while the permit is valid.
	Won
	// Lost means that the claim can no longer get a majority in some set.
	Lost
)

// Claimer collects the answers to one claim.
type Claimer struct {
	Request Request

	sets       [][]string
	replies    map[string]Reply
	unanswered map[string]bool
	started    time.Time
	gaveUp     bool
}

// NewClaimer starts a claim at the sets of witnesses that History.Sets returned. The permit is
// valid for PermitTTL from now, which is before the first message is sent.
func NewClaimer(r Request, sets [][]string, now time.Time) *Claimer {
	return &Claimer{Request: r, sets: sets, replies: map[string]Reply{}, unanswered: map[string]bool{}, started: now}
}

// Witnesses returns the names of the witnesses to ask, sorted, without duplicates.
func (c *Claimer) Witnesses() []string {
	var all []string
	for _, set := range c.sets {
		all = append(all, set...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Receive records the answer of a witness. It ignores answers after the claimer gave up.
func (c *Claimer) Receive(from string, r Reply) {
	if !c.gaveUp {
		c.replies[from] = r
	}
}

// RecordNoAnswer records that a witness did not answer.
func (c *Claimer) RecordNoAnswer(from string) { c.unanswered[from] = true }

// majority returns the number of grants needed in a set.
func majority(set []string) int { return len(set)/2 + 1 }

// State returns the state of the claim after the answers so far.
func (c *Claimer) State() State {
	if c.gaveUp || len(c.sets) == 0 {
		return Lost
	}
	state := Won
	for _, set := range c.sets {
		granted, open := c.countAnswers(set)
		if granted+open < majority(set) {
			return Lost
		}
		if granted < majority(set) {
			state = Pending
		}
	}
	return state
}

func (c *Claimer) countAnswers(set []string) (granted, open int) {
	for _, name := range set {
		reply, answered := c.replies[name]
		switch {
		case answered && reply.Answer == Granted:
			granted++
		case !answered && !c.unanswered[name]:
			open++
		}
	}
	return granted, open
}

// MaySend reports whether the call may be sent now. It must be called immediately before the
// send.
func (c *Claimer) MaySend(now time.Time) bool {
	return c.State() == Won && now.Sub(c.started) < PermitTTL
}

// PermitExpiry returns the time at which the permit expires.
func (c *Claimer) PermitExpiry() time.Time { return c.started.Add(PermitTTL) }

// GiveUp ends the claim for good and reports whether it did. A claim that was won cannot be
// given up, because the call may have been sent.
func (c *Claimer) GiveUp() bool {
	if c.State() == Won {
		return false
	}
	c.gaveUp = true
	return true
}

// CurrentHolder returns the attempt that most witnesses name as the holder of the key.
func (c *Claimer) CurrentHolder() (attempt, holder string, found bool) {
	counts := map[Reply]int{}
	best := 0
	for _, r := range c.replies {
		if r.Answer != Taken {
			continue
		}
		counts[r]++
		if n := counts[r]; n > best || n == best && r.Attempt < attempt {
			best, attempt, holder = n, r.Attempt, r.Holder
		}
	}
	return attempt, holder, best > 0
}

// Tally counts the answers to a claim.
type Tally struct {
	Needed, Granted, Denied, Unanswered int
	// WitnessTooNew, KeyTooOld and KeyFromFuture count these reasons among the denials.
	WitnessTooNew, KeyTooOld, KeyFromFuture int
}

// Tally counts the answers so far. Needed is the largest majority among the sets.
func (c *Claimer) Tally() Tally {
	var t Tally
	for _, set := range c.sets {
		t.Needed = max(t.Needed, majority(set))
	}
	for _, name := range c.Witnesses() {
		reply, answered := c.replies[name]
		switch {
		case !answered:
			t.Unanswered++
		case reply.Answer == Granted:
			t.Granted++
		default:
			t.Denied++
		}
		switch reply.Answer {
		case WitnessTooNew:
			t.WitnessTooNew++
		case KeyTooOld:
			t.KeyTooOld++
		case KeyFromFuture:
			t.KeyFromFuture++
		case Granted, Taken:
		}
	}
	return t
}
