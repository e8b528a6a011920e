package claim

import (
	"slices"
	"time"
)

// State is how far a claim is.
type State uint8

// The states of a claim.
const (
	// Pending claims wait for answers.
	Pending State = iota
	// Won claims may send while the permit lasts.
	Won
	// Lost claims can no longer reach a majority in some set.
	Lost
)

// Claimer counts the answers to one claim.
type Claimer struct {
	Request Request

	sets       [][]string
	replies    map[string]Reply
	unanswered map[string]bool
	started    time.Time
	gaveUp     bool
}

// NewClaimer starts a claim at sets of witnesses, made by History.Sets. The
// permit counts from now, before the first message is sent.
func NewClaimer(r Request, sets [][]string, now time.Time) *Claimer {
	return &Claimer{Request: r, sets: sets, replies: map[string]Reply{}, unanswered: map[string]bool{}, started: now}
}

// WitnessCount lists whom to ask, each once.
func (c *Claimer) Witnesses() []string {
	var all []string
	for _, set := range c.sets {
		all = append(all, set...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Receive takes a witness's answer. Answers after the claim gave up do not count.
func (c *Claimer) Receive(from string, r Reply) {
	if !c.gaveUp {
		c.replies[from] = r
	}
}

// Fail records that a witness did not answer.
func (c *Claimer) RecordNoAnswer(from string) { c.unanswered[from] = true }

// majority is the number of grants needed in a set.
func majority(set []string) int { return len(set)/2 + 1 }

// State works out how far the claim is.
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

// MaySend tells whether the call may be sent now. It is asked last thing before.
func (c *Claimer) MaySend(now time.Time) bool {
	return c.State() == Won && now.Sub(c.started) < PermitTTL
}

// Ends is when the permit ends.
func (c *Claimer) PermitExpiry() time.Time { return c.started.Add(PermitTTL) }

// GiveUp ends the claim for good. It returns false when the claim was won, which
// cannot be given up any more because the call may have been sent.
func (c *Claimer) GiveUp() bool {
	if c.State() == Won {
		return false
	}
	c.gaveUp = true
	return true
}

// TakenBy returns the attempt that most witnesses say has the key.
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

// Tally counts the answers.
type Tally struct {
	Needed, Granted, Denied, Unanswered int
	// Answers counts the denials by kind.
	WitnessTooNew, KeyTooOld, KeyFromFuture int
}

// Tally describes how the witnesses answered so far.
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
