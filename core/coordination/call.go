package coordination

import (
	"slices"
	"time"
)

// Candidate is a daemon that may coordinate a pool, in one incarnation.
type Candidate struct {
	Name        string
	Incarnation int64
}

// Self is what a daemon knows of itself.
type Self struct {
	Name string
	// Draining means that the daemon coordinates no pool.
	Draining bool
	// Searching means that the daemon knows no other one and still looks for them.
	Searching bool
}

// Action is what a daemon does next to place a call.
type Action uint8

// The actions.
const (
	// Ask sends a placement request to a peer.
	Ask Action = iota
	// Hold waits until a link opens or the given time, and then asks Next again.
	Hold
	// Coordinate places the call here, since this daemon is the first that may coordinate.
	Coordinate
	// Alone places the call here without a coordinator.
	Alone
)

// String returns the name of the action in metrics and logs.
func (a Action) String() string {
	return [...]string{"ask", "hold", "coordinate", "alone"}[a]
}

// The reasons for steps, in metrics and logs.
const (
	ReasonFirst     = "first"            // the first in the ranking
	ReasonNext      = "next"             // those ranked before cannot be asked
	ReasonProbe     = "probe"            // the peer was late and has been heard since
	ReasonRedirect  = "redirect"         // named by the daemon that was asked
	ReasonInsist    = "insist"           // the daemon named cannot be asked
	ReasonLink      = "link"             // a link is being opened
	ReasonStarting  = "starting"         // the peer is starting
	ReasonSearch    = "search"           // no other daemon is known yet
	ReasonNobody    = "nobody"           // no daemon can be asked
	ReasonExhausted = "requests_used_up" // as many requests were sent as a call may take
	ReasonTime      = "time_used_up"     // requests and holds have taken the share of the goal
)

// maxRequests is how many daemons a call is sent to: the first, the second, and one more after a redirect or a
// refusal each. maxStartRetries is how often a starting daemon is asked again besides.
const (
	maxRequests     = 4
	maxStartRetries = 8
)

// Step is the next step of a call.
type Step struct {
	Action Action
	Reason string
	// Peer is the daemon to ask or to open a link to, and Rank its position in this daemon's ranking, counted
	// from 1.
	Peer Candidate
	Rank int
	// Insist asks the peer to place the call although a daemon ranked before it is reachable from there.
	Insist bool
	// Timeout is that of the request.
	Timeout time.Duration
	// Until is when a hold ends.
	Until time.Time
}

// Call is the state of one call while a daemon looks for its placement.
type Call struct {
	// until is when requests, holds and redirects have taken their share of the goal, and holdUntil when a call is no
	// longer held if another daemon can be asked.
	until, holdUntil time.Time
	requests         int
	startRetries     int
	tried            []string
	redirected       bool
	// follow is the daemon to which the call was redirected and insistAt the one that is asked again,
	// while these requests are to be sent.
	follow, insistAt *Candidate
	redirectedBy     Candidate
}

// NewCall returns a call that needs a placement from now on. A zero goalDue means that the call has no goal.
func NewCall(now, goalDue, deadline time.Time) *Call {
	due := goalDue
	if !due.After(now) {
		due = deadline
	}
	share := max(due.Sub(now)/goalShare, minBound)
	return &Call{until: now.Add(share), holdUntil: now.Add(min(share*holdNumerator/holdDenominator, maxHold))}
}

// Waited records that the call has waited for its turn at a coordinator that answers. That time does not count as
// spent on finding one.
func (c *Call) Waited(d time.Duration) { c.until = c.until.Add(d) }

// RequestTimeout returns the timeout of a request for a call to a peer.
func (p *Peers) RequestTimeout(c *Call, name string, now time.Time) time.Duration {
	return min(p.Timeout(name), c.until.Sub(now))
}

// RepeatTimeout returns the timeout of a repeated request for a call that waits at a peer.
func (p *Peers) RepeatTimeout(c *Call, name string, now time.Time) time.Duration {
	return max(p.RequestTimeout(c, name, now), minBound)
}

// Tried records that a peer did not place the call.
func (c *Call) Tried(name string) {
	if !slices.Contains(c.tried, name) {
		c.tried = append(c.tried, name)
	}
}

// Redirected records that a peer named the daemon that should have been asked. A second redirect, which no daemon
// gives to a request that insists, counts as a refusal.
func (p *Peers) Redirected(c *Call, by, to Candidate, now time.Time) {
	if x := p.get(by.Name); x.state == Late || x.state == Busy {
		x.enter(Ready, now)
	}
	if c.redirected {
		c.Tried(by.Name)
		return
	}
	c.redirected, c.redirectedBy = true, by
	if x := p.byName[to.Name]; x != nil && x.state == Late {
		x.heard = true // The peer hears it.
	}
	if slices.Contains(c.tried, to.Name) || to.Name == by.Name || to.Name == "" {
		p.insist(c, to)
		return
	}
	c.follow = &to
}

// insist lets the call ask the redirecting daemon again.
func (p *Peers) insist(c *Call, to Candidate) {
	c.follow = nil
	by := c.redirectedBy
	c.insistAt = &by
	if x := p.byName[to.Name]; x != nil && (x.state == Late || x.state == Failed) {
		x.redirected = true
	}
}

// Next returns the next step of a call. The ranking has all daemons that may coordinate the pool, in order.
func (p *Peers) Next(c *Call, ranking []Candidate, self Self, now time.Time) Step {
	if !now.Before(c.until) && !self.Searching {
		if len(ranking) > 0 && ranking[0].Name == self.Name && !self.Draining {
			return Step{Action: Coordinate, Reason: ReasonFirst, Rank: 1}
		}
		return Step{Action: Alone, Reason: ReasonTime}
	}
	step := p.next(c, ranking, self, now)
	if step.Action == Ask {
		c.requests++
		step.Timeout = p.RequestTimeout(c, step.Peer.Name, now)
	}
	return step
}

func (p *Peers) next(c *Call, ranking []Candidate, self Self, now time.Time) Step {
	if step, ok := p.afterRedirect(c, ranking, self, now); ok {
		return step
	}
	if c.requests >= maxRequests {
		return Step{Action: Alone, Reason: ReasonExhausted}
	}
	if self.Searching {
		if now.Before(c.holdUntil) {
			return Step{Action: Hold, Reason: ReasonSearch, Until: c.holdUntil}
		}
		return Step{Action: Alone, Reason: ReasonSearch}
	}
	insist := c.redirected
	reason := ReasonFirst
	for i, candidate := range ranking {
		if candidate.Name == self.Name {
			if self.Draining {
				continue
			}
			return Step{Action: Coordinate, Reason: reason, Rank: i + 1}
		}
		if !slices.Contains(c.tried, candidate.Name) {
			if step, ok := p.stepTo(c, candidate, p.holdEnd(c, ranking[i+1:]), now); ok {
				step.Rank, step.Insist = i+1, insist && step.Action == Ask
				if step.Reason == "" {
					step.Reason = reason
				}
				return step
			}
		}
		reason = ReasonNext
		if x := p.byName[candidate.Name]; x != nil && (x.state == Busy || x.redirected) {
			insist = true // The peer has refused, or the daemon asked next is known to redirect to it.
		}
	}
	return Step{Action: Alone, Reason: ReasonNobody}
}

// afterRedirect returns the step that a redirect demands, if any.
func (p *Peers) afterRedirect(c *Call, ranking []Candidate, self Self, now time.Time) (Step, bool) {
	if c.follow != nil {
		to := *c.follow
		if to.Name == self.Name {
			c.follow = nil
			if !self.Draining {
				return Step{Action: Coordinate, Reason: ReasonRedirect, Peer: to}, true
			}
			p.insist(c, to)
		} else if step, ok := p.stepTo(c, to, c.holdUntil, now); ok {
			if step.Action == Ask {
				c.follow = nil
				step.Reason = ReasonRedirect
			}
			step.Rank, step.Insist = rankOf(ranking, to.Name), step.Action == Ask
			return step, true
		} else {
			p.insist(c, to)
		}
	}
	if c.insistAt == nil {
		return Step{}, false
	}
	at := *c.insistAt
	c.insistAt = nil
	if p.State(at.Name) != Ready {
		return Step{}, false
	}
	return Step{Action: Ask, Peer: at, Reason: ReasonInsist, Rank: rankOf(ranking, at.Name), Insist: true}, true
}

// rankOf returns the position of a daemon in a ranking, counted from 1.
func rankOf(ranking []Candidate, name string) int {
	at := slices.IndexFunc(ranking, func(c Candidate) bool { return c.Name == name })
	if at < 0 {
		return len(ranking) + 1
	}
	return at + 1
}

// holdEnd returns when the hold for a link ends: while a daemon ranked later can be asked, time for that is left.
func (p *Peers) holdEnd(c *Call, later []Candidate) time.Time {
	if slices.ContainsFunc(later, func(l Candidate) bool { return p.State(l.Name) == Ready && !slices.Contains(c.tried, l.Name) }) {
		return c.holdUntil
	}
	return c.until
}

// stepTo returns the step that leads to a placement by a peer, or false if the call goes on without it.
func (p *Peers) stepTo(c *Call, to Candidate, holdEnd, now time.Time) (Step, bool) {
	x := p.get(to.Name)
	hold := Step{Action: Hold, Reason: ReasonLink, Peer: to, Until: holdEnd}
	switch x.state {
	case Ready:
		return Step{Action: Ask, Peer: to}, true
	case NotLinked, Linking:
		if x.state == Linking && x.since.Add(maxLinkWait).Before(hold.Until) {
			hold.Until = x.since.Add(maxLinkWait)
		}
		if now.Before(hold.Until) {
			return hold, true
		}
		c.Tried(to.Name)
	case Late:
		if x.heard && !x.probing {
			x.probing, x.heard = true, false
			return Step{Action: Ask, Peer: to, Reason: ReasonProbe}, true
		}
	case Busy:
		return p.stepToBusy(c, x, to, now)
	}
	return Step{}, false
}

// stepToBusy returns the step that leads to a placement by a peer that has refused a request. A peer that has never
// answered is starting: where no daemon has answered yet, the whole fleet is, and the call is held.
func (p *Peers) stepToBusy(c *Call, x *peer, to Candidate, now time.Time) (Step, bool) {
	if now.Sub(x.since) >= busyTime {
		return Step{Action: Ask, Peer: to}, true
	}
	if x.answered || p.anyAnswered() || now.Sub(x.refusedSince) >= maxStartWait || !now.Before(c.holdUntil) {
		return Step{}, false
	}
	retryAt := x.since.Add(startRetry)
	if now.Before(retryAt) {
		if c.holdUntil.Before(retryAt) {
			retryAt = c.holdUntil
		}
		return Step{Action: Hold, Reason: ReasonStarting, Peer: to, Until: retryAt}, true
	}
	if c.startRetries >= maxStartRetries {
		return Step{}, false
	}
	c.startRetries++
	c.requests-- // A refusal costs a round trip only.
	return Step{Action: Ask, Peer: to}, true
}

// anyAnswered reports whether a daemon has answered a placement request over a link that is open.
func (p *Peers) anyAnswered() bool {
	for _, x := range p.byName {
		if x.answered && x.state != Failed {
			return true
		}
	}
	return false
}
