package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// floodTime is how long one account floods the daemons. It is longer than the timeouts of the calls made, so
	// that an account without an answer was starved and not just slow.
	floodTime = 6 * time.Second
	// floodCallers is how many callers the large account has, ten times those of each other account. They repeat
	// at once and do not follow Retry-After.
	floodCallers = 40
	floodAccount = "b"
	// floodSlots is how many concurrent calls a target accepts meanwhile, so that calls wait.
	floodSlots = 2
	// drainAfter is when, from the start of the flood, the coordinator of the engines is drained.
	drainAfter = 2 * time.Second
)

// otherAccounts have callersPerAccount callers each during a flood.
var otherAccounts = []string{accountName, "c", "d"}

const callersPerAccount = 4

// Flood is the time in which one account floods the daemons, and the other accounts that call.
type Flood struct {
	From, To time.Time
	Others   []string
}

// Drain is the time from the SIGTERM to a daemon, at which calls waited, to the end of its process.
type Drain struct {
	From, To time.Time
	Daemon   int
}

// flood makes the calls of a flood, and drains the coordinator of the engines while calls wait.
func (tb *testbed) flood(ctx context.Context) {
	round, err := tb.playRound(ctx) // It tells which daemon coordinates.
	tb.setSlots(floodSlots)
	defer tb.setSlots(targetSlots)
	f := Flood{From: time.Now(), Others: otherAccounts}
	callCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	run := func(account string, n int, pause time.Duration) {
		for i := range n {
			callers.Go(func() { tb.callAs(callCtx, account, i, pause) })
		}
	}
	run(floodAccount, floodCallers, 0)
	for _, account := range otherAccounts {
		run(account, callersPerAccount, maxThinkTime)
	}
	sleep(ctx, drainAfter)
	if coordinator := slices.IndexFunc(round.Steps[engineService]["coordinate"], func(n float64) bool { return n > 0 }); err == nil && coordinator >= 0 {
		tb.drainDaemon(ctx, tb.daemons[coordinator])
	}
	sleep(ctx, time.Until(f.From.Add(floodTime)))
	stop()
	callers.Wait()
	f.To = time.Now()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.floods = append(tb.floods, f)
}

// callAs makes calls of an account to daemons in rotation until ctx ends.
func (tb *testbed) callAs(ctx context.Context, account string, caller int, pause time.Duration) {
	client := newClient()
	defer client.CloseIdleConnections()
	for n := caller; ctx.Err() == nil; n++ {
		path := []*Path{safePath, streamPath, unsafePath, streamPath}[n%4]
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), path.Timeout+giveUpAfter)
		c := tb.send(callCtx, client, Call{Daemon: tb.pickReadyDaemon(), Path: path, Account: account, RequestBody: "a body"})
		cancel()
		if c.Status == 0 {
			pause = max(pause, retryInterval) // A daemon that does not listen would be called in a busy loop.
		}
		sleep(ctx, pause)
	}
}

// setSlots publishes how many concurrent calls each target accepts.
func (tb *testbed) setSlots(n int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, b := range tb.backends {
		tb.store.PutTargetWithStart(b.target, b.link.Address(), b.service, n)
	}
}

// drainDaemon ends a daemon by SIGTERM, records its drain and starts it again.
func (tb *testbed) drainDaemon(ctx context.Context, p *process) {
	d := Drain{From: time.Now(), Daemon: p.index}
	endDisturbance := tb.beginDisturbance(Term, p.index)
	defer endDisturbance()
	p.stop(syscall.SIGTERM)
	d.To = time.Now()
	tb.mu.Lock()
	tb.drains = append(tb.drains, d)
	tb.mu.Unlock()
	sleep(ctx, restartDelay)
	if err := p.start(); err != nil {
		panic(err) // The program exists: it was started before.
	}
	p.awaitReady(ctx)
}

// checkFloods checks that each other account got an answer during a flood.
func checkFloods(r *Record) []Violation {
	var list []Violation
	for _, f := range r.Floods {
		for _, account := range f.Others {
			served := slices.ContainsFunc(r.Calls, func(c Call) bool {
				return c.account() == account && c.Status == http.StatusOK && c.Complete && c.Sent.After(f.From) && c.Done.Before(f.To)
			})
			if !served {
				list = append(list, Violation{"STARVED", account, fmt.Sprintf("got no answer in the %v in which another account flooded the daemons", f.To.Sub(f.From).Round(time.Millisecond))})
			}
		}
	}
	return list
}

// checkDrains checks that a call at another daemon gets an answer while a coordinator drains: calls that wait there
// are not lost with it.
func checkDrains(r *Record, c *Call) string {
	if c.Disconnected || c.Status != 0 && c.Complete || c.Done.Sub(c.Sent) > c.Timeout*7/10 {
		return ""
	}
	for _, d := range r.Drains {
		if c.Daemon != d.Daemon && c.Sent.Before(d.To) && c.Done.After(d.From) && r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, isFault) {
			return fmt.Sprintf("DRAINED: no complete answer from daemon %d while daemon %d drained; status %d", c.Daemon, d.Daemon, c.Status)
		}
	}
	return ""
}

// reached counts the calls of each account that a flood's answers went to, those in flight elsewhere during a drain,
// those that a starting fleet refused or served late, the rounds and the steps toward placements. It is printed, not judged.
func (r *Record) reached() string {
	served, waited, refused, held := map[string]int{}, 0, 0, 0
	for i := range r.Calls {
		c := &r.Calls[i]
		took := c.Done.Sub(c.Sent)
		for _, f := range r.Floods {
			if c.Status == http.StatusOK && c.Sent.After(f.From) && c.Done.Before(f.To) {
				served[c.account()]++
			}
		}
		for _, d := range r.Drains {
			if c.Daemon != d.Daemon && c.Sent.Before(d.From) && c.Done.After(d.From) {
				waited++
			}
		}
		for _, d := range r.Disturbances {
			if d.Kind == FleetStart && d.overlaps(c.Sent, c.Done) {
				switch {
				case c.Status == http.StatusServiceUnavailable && strings.Contains(c.Body, notReadyKind):
					refused++
				case c.Status == http.StatusOK && took > minStoreSilence/2:
					held++
				}
			}
		}
	}
	herd := 0
	for i := range r.Herds {
		n, _ := r.herdCalls(&r.Herds[i])
		herd += n
	}
	var repeats []string
	for _, c := range r.mostRepeats() {
		repeats = append(repeats, fmt.Sprintf("%d of %.0f for %s", c.repeats, c.allowed, c.service))
	}
	slices.Sort(repeats)
	return fmt.Sprintf("%s; %d calls of herds judged, flood served %v, %d calls in flight elsewhere at a drain, %d refused and %d held and served at a start, %d rounds; most repeats %v; steps by the plan's end, by daemon: %v", r.reachedByDuplicates(), herd, served, waited, refused, held, len(r.Rounds), repeats, r.PlanSteps.Steps)
}
