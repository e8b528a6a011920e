// Package coordination decides, for a daemon that needs a placement, which daemon of the fleet it asks.
//
// One daemon of the fleet coordinates each pool: the first in the pool's ranking. While daemons ask different ones,
// several of them place the pool's calls without knowing each other's, and targets get too many calls. So a call
// waits for a link that is being opened, within a share of the time that its caller grants; the timeout of a request
// follows the round-trip time to the peer; and a daemon that is asked although it can reach one ranked before it
// names that one (a redirect). A call is redirected at most once: all further requests for it insist.
//
// No rule of correctness depends on whom a daemon asks.
//
// The package is a pure state machine without a clock or I/O.
package coordination

import "time"

// The parameters of requests and links.
const (
	// AnswerDelay is how long a coordinator may hold a request in order to answer it with a placement.
	AnswerDelay = 5 * time.Millisecond
	// MinTimeout is the least timeout of a request, unless the call's goal is tighter: a daemon on a fifth of a
	// core lags by 10 to 30 ms.
	MinTimeout = 40 * time.Millisecond
	// MaxTimeout is the greatest timeout of a request, and its timeout to a peer without samples is
	// unknownTimeout.
	MaxTimeout     = 250 * time.Millisecond
	unknownTimeout = 100 * time.Millisecond
	// goalShare is the share of what is left of a call's goal that its requests, holds and redirects take in all before
	// it is decided alone: 100 of 300 ms and 40 of 120 ms. While a daemon ranked later can be asked, holds take
	// two thirds of that.
	goalShare       = 3
	holdNumerator   = 2
	holdDenominator = 3
	// minBound is the least time that a goal leaves to a call's requests, and to a repeated one of a call that waits. A
	// call whose goal is nearly over gains nothing from a placement without the coordinator.
	minBound = 20 * time.Millisecond
	// maxHold bounds the time that a call is held, and maxLinkWait the time since a link began to be opened: a
	// daemon whose host is frozen or cut off may not answer for seconds.
	maxHold     = 500 * time.Millisecond
	maxLinkWait = 250 * time.Millisecond
	// busyTime is how long a daemon that refused a request is passed over. Where all hosts start together it
	// will coordinate some milliseconds later.
	busyTime = 100 * time.Millisecond
	// startRetry is the pause after which a call that is held asks a starting daemon again, and maxStartWait the
	// time since that daemon's first refusal in which calls are held for it.
	startRetry   = 10 * time.Millisecond
	maxStartWait = 500 * time.Millisecond
	// The first pause before a failed peer is dialed again, and the greatest.
	minRedialPause = 10 * time.Millisecond
	maxRedialPause = time.Second
	// HeardWithin is how recently a daemon must have received something from another for it to count as heard.
	HeardWithin = 250 * time.Millisecond
	// sampleMaxAge is the age of the newest sample after which the round-trip time is measured again. A fleet of
	// 520 measures its coordinator 9 times a second. It must be less than the 5 minutes after which the peer closes
	// a link without calls as idle.
	sampleMaxAge = time.Minute
	// probeInterval is the pause between two measurements of a late peer.
	probeInterval = 100 * time.Millisecond
)

// State is what a daemon knows of its link to a peer, as far as placements are concerned.
type State uint8

// The states of a peer.
const (
	// NotLinked means that there is no link and none was tried.
	NotLinked State = iota
	// Linking means that the first link is being opened.
	Linking
	// Ready means that there is a link, and that no request over it is known to be late.
	Ready
	// Late means that a request was not answered in time, and nothing shows that the next one would be.
	Late
	// Busy means that the peer has refused a request: it starts or drains.
	Busy
	// Failed means that the link was closed or could not be opened.
	Failed
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"not linked", "linking", "ready", "late", "busy", "failed"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Peers holds what a daemon knows of the daemons that it asks.
type Peers struct {
	byName map[string]*peer
}

// NewPeers returns an empty table.
func NewPeers() *Peers { return &Peers{byName: map[string]*peer{}} }

// peer is one daemon of the table.
type peer struct {
	state State
	since time.Time // of the state
	rtt   RTT
	// sampledAt is when the last sample was taken, measuredAt when a measurement was last begun.
	sampledAt, measuredAt time.Time
	// answered is true once the peer has answered a placement request.
	answered bool
	// While the peer is late: heard is true if something has arrived from it since, and probing if one call asks it.
	// While it is late or failed: redirected is true if another daemon that can reach the peer has named it.
	heard, probing, redirected bool
	// refusedSince is when the peer's first refusal since its last answer was received.
	refusedSince time.Time
	// redialing is true while a link to a failed peer is being opened.
	redialing   bool
	redialAt    time.Time
	redialPause time.Duration
}

func (p *Peers) get(name string) *peer {
	x := p.byName[name]
	if x == nil {
		x = &peer{}
		p.byName[name] = x
	}
	return x
}

func (x *peer) enter(s State, now time.Time) {
	if x.state != s {
		x.state, x.since = s, now
	}
	x.heard, x.probing, x.redirected = false, false, false
}

// State returns the state of a peer.
func (p *Peers) State(name string) State {
	if x := p.byName[name]; x != nil {
		return x.state
	}
	return NotLinked
}

// RTT returns the mean round-trip time to a peer, and false if none was measured.
func (p *Peers) RTT(name string) (time.Duration, bool) {
	if x := p.byName[name]; x != nil {
		return x.rtt.Mean()
	}
	return 0, false
}

// Retain removes the peers without a link for which keep returns false.
func (p *Peers) Retain(keep func(name string) bool) {
	for name, x := range p.byName {
		if (x.state == NotLinked || x.state == Failed) && !keep(name) {
			delete(p.byName, name)
		}
	}
}

// BeginLink reports whether a link to a peer is to be opened now, and records that it is.
func (p *Peers) BeginLink(name string, now time.Time) bool {
	x := p.get(name)
	switch {
	case x.state == NotLinked:
		x.enter(Linking, now)
		return true
	case x.state == Failed && !x.redialing && !now.Before(x.redialAt):
		x.redialing = true
		return true
	}
	return false
}

// LinkOpened records that a link to a peer is open, whichever side opened it.
func (p *Peers) LinkOpened(name string, now time.Time) {
	x := p.get(name)
	x.redialing, x.redialPause, x.measuredAt = false, 0, time.Time{}
	if x.state == NotLinked || x.state == Linking || x.state == Failed {
		x.answered, x.refusedSince = false, time.Time{}
	}
	if x.state != Busy {
		x.enter(Ready, now)
	}
}

// LinkFailed records that the link to a peer was closed, or that none could be opened.
func (p *Peers) LinkFailed(name string, now time.Time) {
	x := p.get(name)
	x.redialing = false
	x.redialPause = min(max(2*x.redialPause, minRedialPause), maxRedialPause)
	x.redialAt = now.Add(x.redialPause)
	x.enter(Failed, now)
}

// LinkClosed records that a link was closed to a peer to which no link is kept. Nothing suggests that the peer has
// failed.
func (p *Peers) LinkClosed(name string) { delete(p.byName, name) }

// Heard records that something arrived from a peer.
func (p *Peers) Heard(name string, at time.Time) {
	if x := p.byName[name]; x != nil && x.state == Late && at.After(x.since) {
		x.heard = true
	}
}

// Sample records the time that an answer of a peer took.
func (p *Peers) Sample(name string, rtt time.Duration, now time.Time) {
	x := p.get(name)
	x.rtt.Add(rtt)
	x.sampledAt = now
	p.Heard(name, now)
}

// Answered records an answer to a placement request, in time or late. It shows that the peer answers again.
func (p *Peers) Answered(name string, now time.Time) {
	x := p.get(name)
	x.answered, x.refusedSince = true, time.Time{}
	if x.state == Late || x.state == Busy {
		x.enter(Ready, now)
	}
}

// TimedOut records that a peer did not answer within a time. A time cut short by a call's goal proves little:
// the peer is late only if it took half of its own timeout or more.
func (p *Peers) TimedOut(name string, waited time.Duration, now time.Time) {
	x := p.get(name)
	x.probing = false
	if (x.state == Ready || x.state == Late || x.state == Busy) && 2*waited >= x.timeout() {
		x.enter(Late, now)
		x.since = now // What was heard before this timeout is no sign of an answer.
	}
}

// Refused records that a peer refused a request.
func (p *Peers) Refused(name string, now time.Time) {
	x := p.get(name)
	if x.refusedSince.IsZero() {
		x.refusedSince = now
	}
	if x.state == Ready || x.state == Late || x.state == Busy {
		x.enter(Busy, now)
		x.since = now
	}
}

// Abandoned records that a request to a peer was given up for a reason that says nothing about the peer.
func (p *Peers) Abandoned(name string) {
	if x := p.byName[name]; x != nil {
		x.probing = false
	}
}

// BeginMeasurement reports whether the round-trip time to a peer is to be measured now, and records that it is: where
// there is no recent sample, and while the peer is late and nothing was heard from it.
func (p *Peers) BeginMeasurement(name string, now time.Time) bool {
	x := p.byName[name]
	if x == nil {
		return false
	}
	since := now.Sub(x.measuredAt)
	due := x.state == Late && !x.heard && since >= probeInterval ||
		x.state == Ready && now.Sub(x.sampledAt) >= sampleMaxAge && since >= time.Second
	if due {
		x.measuredAt = now
	}
	return due
}

// Unsettled reports whether a link to a peer is to be opened or measured soon.
func (p *Peers) Unsettled(name string) bool {
	x := p.byName[name]
	return x == nil || x.state == NotLinked || x.state == Linking || x.state == Failed || x.state == Late && !x.heard
}

// Usable reports whether a peer may coordinate, as far as this daemon knows.
func (p *Peers) Usable(name string, now time.Time) bool {
	x := p.byName[name]
	if x == nil {
		return true
	}
	switch x.state {
	case Late, Failed:
		return false
	case Busy:
		return now.Sub(x.since) >= busyTime
	}
	return true
}

// MayAnswer reports whether nothing suggests that a message to a peer will not be answered: its link has not failed, and something
// was heard from it since it last was late.
func (p *Peers) MayAnswer(name string) bool {
	x := p.byName[name]
	return x == nil || x.state != Failed && (x.state != Late || x.heard)
}

// Timeout returns the timeout of a request to a peer, without regard to a call's goal.
func (p *Peers) Timeout(name string) time.Duration {
	if x := p.byName[name]; x != nil {
		return x.timeout()
	}
	return unknownTimeout
}

func (x *peer) timeout() time.Duration {
	if !x.rtt.known {
		return unknownTimeout
	}
	return min(max(x.rtt.Timeout()+AnswerDelay, MinTimeout), MaxTimeout)
}
