package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// PathCut is an event in which a daemon loses its path to all targets, so that other daemons relay its connections, and one
// of these ends meanwhile. It is drawn from a random source of its own.
const PathCut Kind = "path-cut"

const (
	// pathCutTime is how long a cut lasts: long enough for a daemon that ends in the middle of it to relay connections.
	pathCutTime = 2 * time.Second
	// meanPathCutInterval is the mean time between two cuts.
	meanPathCutInterval = 5 * time.Second
)

// addPathCutEvents adds cuts to the phases with faults of a plan.
func addPathCutEvents(plan []Event, seed uint64, duration time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 8))
	for at := phaseDuration + randomDuration(rng, phaseDuration/2); at+pathCutTime <= duration; at += pathCutTime + randomDuration(rng, 2*meanPathCutInterval) {
		if at/phaseDuration%2 == 1 {
			plan = append(plan, Event{Start: at, Duration: pathCutTime, Kind: PathCut, Selector: rng.IntN(1000)})
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// cutPath cuts a daemon off from all targets, and kills or stops another daemon in the middle of the cut.
func (tb *testbed) cutPath(ctx context.Context, e Event) {
	cut := tb.daemons[e.Selector%len(tb.daemons)]
	defer tb.beginDisturbance(e.Kind, cut.index)()
	tb.mu.Lock()
	links := make([]*Link, 0, len(tb.backends))
	for _, b := range tb.backends {
		links = append(links, b.link)
	}
	tb.mu.Unlock()
	for _, l := range links {
		l.SetFilter(func(client net.Conn) bool { return !cut.owns(client) })
	}
	sleep(ctx, e.Duration/2)
	if relay := tb.daemons[(e.Selector+1+e.Selector/7%(len(tb.daemons)-1))%len(tb.daemons)]; relay != cut {
		kind, signal := Kill, syscall.SIGKILL
		if e.Selector%3 == 0 {
			kind, signal = Term, syscall.SIGTERM
		}
		tb.restartDaemon(ctx, relay, kind, signal)
	}
	sleep(ctx, e.Duration/2)
	for _, l := range links {
		l.SetFilter(nil)
	}
}

// owns reports whether the process holds the other end of a connection that a link has accepted.
func (p *process) owns(accepted net.Conn) bool {
	inode, err := socketInode(accepted.RemoteAddr(), accepted.LocalAddr())
	if err != nil {
		return false // The connection has ended.
	}
	held := fmt.Sprintf("socket:[%d]", inode)
	proc, _ := p.running()
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", proc.Pid))
	if err != nil {
		return false
	}
	for _, name := range descriptors {
		if link, err := os.Readlink(name); err == nil && link == held {
			return true
		}
	}
	return false
}
