package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/coordination"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
)

// placementLinks keeps the links to the daemons that coordinate, and what this daemon knows of them. Its mutex is
// taken after that of the Placer, and before the hub's.
type placementLinks struct {
	cluster *Cluster

	mu    sync.Mutex
	peers *coordination.Peers
	// changed is closed, and replaced, when the state of a peer or the members change.
	changed chan struct{}
	// wake makes maintain look at the links at once.
	wake chan struct{}
	// pinging are the measurements under way, by peer.
	pinging map[string]chan struct{}
	// named are the addresses of daemons that a redirect named and that were no members then.
	named map[string]string

	// wanted are the daemons to which links are kept, as of a view of the members and of the settings.
	wanted         []string
	wantedMembers  *blackboard.MembersView
	wantedSettings *blackboard.SettingsView
}

func newPlacementLinks(c *Cluster) *placementLinks {
	return &placementLinks{
		cluster: c, peers: coordination.NewPeers(), changed: make(chan struct{}), wake: make(chan struct{}, 1),
		pinging: map[string]chan struct{}{}, named: map[string]string{},
	}
}

// update calls f under the lock and wakes what waits for a change.
func (l *placementLinks) update(f func(*coordination.Peers, time.Time)) {
	l.mu.Lock()
	f(l.peers, time.Now())
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.wakeUp()
}

// wakeUp makes maintain look at the links at once.
func (l *placementLinks) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// membersChanged wakes the calls that are held and maintain.
func (l *placementLinks) membersChanged() { l.update(func(*coordination.Peers, time.Time) {}) }

// LinkChanged implements peer.Observer.
func (l *placementLinks) LinkChanged(name string) {
	l.update(func(peers *coordination.Peers, now time.Time) {
		if l.cluster.Hub.HasLink(name) {
			peers.LinkOpened(name, now)
		} else if slices.Contains(l.wanted, name) {
			peers.LinkFailed(name, now)
		} else {
			peers.LinkClosed(name)
		}
	})
}

// Answered implements peer.Observer. Only messages whose answers are small and need no work measure the round-trip
// time.
func (l *placementLinks) Answered(name string, kind peer.Kind, took time.Duration, late bool) {
	if kind != peer.KindPlace && kind != peer.KindPing && kind != peer.KindHeartbeat && kind != peer.KindSingleSend {
		return
	}
	l.mu.Lock()
	before := l.peers.State(name)
	now := time.Now()
	l.peers.Sample(name, took, now)
	if late && kind == peer.KindPlace {
		l.peers.Answered(name, now)
	}
	after := l.peers.State(name)
	l.mu.Unlock()
	if before != after {
		l.membersChanged()
	}
}

func (l *placementLinks) usable(name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.Usable(name, now)
}

// stateAndChange returns the state of a peer, and a channel that is closed when it may have changed.
func (l *placementLinks) stateAndChange(name string) (coordination.State, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.State(name), l.changed
}

// nextChange returns a channel that is closed when the state of a peer or the members change.
func (l *placementLinks) nextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// answered records an answer to a placement request in time.
func (l *placementLinks) answered(name string) {
	l.mu.Lock()
	before := l.peers.State(name)
	l.peers.Answered(name, time.Now())
	after := l.peers.State(name)
	l.mu.Unlock()
	if before != after {
		l.membersChanged()
	}
}

// successor returns the daemon that coordinates a pool after this one.
func (l *placementLinks) successor(ranking []coordination.Candidate, now time.Time) (coordination.Candidate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.Successor(l.cluster.Board.Self.Name, ranking, now)
}

// mayAnswer reports whether nothing suggests that a message to a peer will not be answered.
func (l *placementLinks) mayAnswer(name string) bool {
	heard := l.cluster.Hub.LastHeard(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers.Heard(name, heard)
	return l.peers.MayAnswer(name)
}

// timeout returns the timeout of a message to a peer that is answered at once.
func (l *placementLinks) timeout(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.Timeout(name)
}

// unanswered records that a peer did not answer a message for a time.
func (l *placementLinks) unanswered(name string, waited time.Duration) {
	l.update(func(peers *coordination.Peers, now time.Time) {
		if l.cluster.Hub.HasLink(name) {
			peers.TimedOut(name, waited, now)
		} else {
			peers.LinkFailed(name, now)
		}
	})
}

func (l *placementLinks) state(name string) coordination.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.State(name)
}

// address returns the name and the peer address of a daemon, which need not be a member yet.
func (l *placementLinks) address(name string) peer.Address {
	to := l.cluster.address(name)
	if to.Address == "" {
		l.mu.Lock()
		to.Address = l.named[name]
		l.mu.Unlock()
	}
	return to
}

// next returns the next step of a call, and a channel that is closed when a later step may differ.
func (l *placementLinks) next(call *coordination.Call, ranking []coordination.Candidate, self coordination.Self) (coordination.Step, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range ranking {
		if l.peers.State(c.Name) == coordination.Late {
			l.peers.Heard(c.Name, l.cluster.Hub.LastHeard(c.Name))
		}
	}
	return l.peers.Next(call, ranking, self, time.Now()), l.changed
}

// dialTimeout bounds the opening of a link.
const dialTimeout = 2 * time.Second

// open opens a link to a daemon in the background unless one is being opened or a failed one is not to be tried yet.
func (l *placementLinks) open(name string) {
	l.mu.Lock()
	begin := l.peers.BeginLink(name, time.Now())
	l.mu.Unlock()
	if !begin {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		err := l.cluster.Hub.Open(ctx, l.address(name))
		if err != nil {
			l.cluster.Recorder.Log.Debug("link to a coordinator could not be opened", "peer", name, "error", err.Error())
		}
		l.update(func(peers *coordination.Peers, now time.Time) {
			if l.cluster.Hub.HasLink(name) {
				peers.LinkOpened(name, now)
			} else {
				peers.LinkFailed(name, now)
			}
		})
	}()
}

// keepRanks is how many daemons of each pool's ranking this daemon keeps links to.
const keepRanks = 2

// wantedPeers returns the daemons to which links are kept: the first of each pool's ranking.
func (l *placementLinks) wantedPeers() []string {
	members, settings := l.cluster.Board.Members.View(), l.cluster.Board.Settings.Current()
	l.mu.Lock()
	known := l.wantedMembers == members && l.wantedSettings == settings
	wanted := l.wanted
	l.mu.Unlock()
	if known || settings == nil {
		return wanted
	}
	names := map[string]bool{}
	for _, pool := range settings.Tree.Pools() {
		ranked := l.cluster.Placer.rankingOf(pool.Name)
		for _, c := range ranked[:min(keepRanks, len(ranked))] {
			names[c.Name] = true
		}
	}
	delete(names, l.cluster.Board.Self.Name)
	wanted = make([]string, 0, len(names))
	for name := range names {
		wanted = append(wanted, name)
	}
	alive := map[string]bool{}
	for _, m := range members.Members {
		alive[m.Name] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted, l.wantedMembers, l.wantedSettings = wanted, members, settings
	l.peers.Retain(func(name string) bool { return alive[name] })
	for name := range l.named {
		if alive[name] {
			delete(l.named, name)
		}
	}
	return wanted
}

// The pauses between two looks at the links: while one of them is to be opened or measured, and otherwise. What changes in between
// wakes maintain.
const (
	unsettledPause = 25 * time.Millisecond
	settledPause   = time.Second
)

// maintain keeps the links to the daemons that coordinate until ctx ends, measures them, and reports the calls that
// were placed elsewhere.
func (l *placementLinks) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		pause := settledPause
		for _, name := range l.wantedPeers() {
			l.open(name)
			l.mu.Lock()
			measure := l.peers.BeginMeasurement(name, time.Now())
			unsettled := l.peers.Unsettled(name)
			l.mu.Unlock()
			if measure {
				go l.ping(ctx, name, pingTimeout)
			}
			if unsettled {
				pause = unsettledPause
			}
		}
		if l.cluster.Placer.reportElsewhere(ctx) {
			pause = unsettledPause
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.wake:
			// Many changes come together when a fleet starts.
			controller.Sleep(ctx, time.Millisecond)
		}
		timer.Stop()
	}
}

// pingTimeout bounds the measurement of a link.
const pingTimeout = time.Second

// ping measures the round-trip time to a peer. It waits for a measurement that is under way.
func (l *placementLinks) ping(ctx context.Context, name string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.mu.Lock()
	pending := l.pinging[name]
	if pending == nil {
		done := make(chan struct{})
		l.pinging[name] = done
		l.mu.Unlock()
		go l.measure(name, done)
		pending = done
	} else {
		l.mu.Unlock()
	}
	select {
	case <-pending:
	case <-ctx.Done():
	}
}

// measure sends one ping and closes done at its end. An answer in time is recorded by Answered.
func (l *placementLinks) measure(name string, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	err := l.cluster.Hub.Call(ctx, l.address(name), peer.KindPing, empty{}, &empty{})
	if err != nil && ctx.Err() != nil && l.state(name) == coordination.Ready {
		l.update(func(peers *coordination.Peers, now time.Time) { peers.TimedOut(name, pingTimeout, now) })
	}
	l.mu.Lock()
	delete(l.pinging, name)
	l.mu.Unlock()
	close(done)
}

// hearTimeout bounds the time for which a daemon that is asked for a placement waits for an answer of one that is
// ranked before it.
const hearTimeout = 20 * time.Millisecond

// hears makes sure that something was received lately from a peer that answers.
func (l *placementLinks) hears(ctx context.Context, name string) {
	if time.Since(l.cluster.Hub.LastHeard(name)) > coordination.HeardWithin && l.state(name) == coordination.Ready {
		l.ping(ctx, name, hearTimeout)
	}
}

// servePing answers a measurement.
func servePing(context.Context, string, empty) (empty, error) { return empty{}, nil }

// repeatTimeout returns the timeout of a repeated request for a call that waits at a peer.
func (l *placementLinks) repeatTimeout(call *coordination.Call, name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.RepeatTimeout(call, name, time.Now())
}
