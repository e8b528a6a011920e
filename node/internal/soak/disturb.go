package soak

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// beginDisturbance records a disturbance of a daemon, or of allDaemons, which lasts until the
// returned function is called.
func (tb *testbed) beginDisturbance(k Kind, daemon int) (end func()) {
	return tb.recordDisturbance(Disturbance{Kind: k, Daemon: daemon})
}

// beginTargetDisturbance records a disturbance of one target, which affects all daemons, until the
// returned function is called.
func (tb *testbed) beginTargetDisturbance(k Kind, b *backend) (end func()) {
	return tb.recordDisturbance(Disturbance{Kind: k, Daemon: allDaemons, Target: b.target.ID})
}

// recordDisturbance records a disturbance that begins now and ends at the call of end.
func (tb *testbed) recordDisturbance(d Disturbance) (end func()) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	index := len(tb.disturbances)
	d.From, d.To = time.Now(), time.Now().Add(time.Hour)
	tb.disturbances = append(tb.disturbances, d)
	return func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.disturbances[index].To = time.Now()
	}
}

// apply executes an event and returns when it is over.
func (tb *testbed) apply(ctx context.Context, e Event) {
	daemon := tb.daemons[e.Selector%len(tb.daemons)]
	switch e.Kind {
	case Term:
		tb.restartDaemon(ctx, daemon, e.Kind, syscall.SIGTERM)
	case Kill:
		tb.restartDaemon(ctx, daemon, e.Kind, syscall.SIGKILL)
	case Suspend:
		tb.suspendDaemon(ctx, daemon, e.Duration)
	case Hup:
		defer tb.beginDisturbance(e.Kind, daemon.index)()
		daemon.signal(syscall.SIGHUP)
	case Config:
		defer tb.beginDisturbance(e.Kind, allDaemons)()
		tb.publishNextConfig()
	case TargetDrain:
		tb.replaceTarget(ctx, e.Selector)
	case FrontendDelay, FrontendReset, FrontendOneWay, FrontendSilent:
		defer tb.beginDisturbance(e.Kind, daemon.index)()
		injectLinkFault(ctx, daemon.frontend, e)
	case TargetRestart:
		defer tb.beginDisturbance(e.Kind, allDaemons)()
		tb.restartTarget(ctx, e)
	case StoreInvalidEntries:
		tb.writeInvalidEntries(e.Selector)
	case CallCrashes:
		defer tb.beginDisturbance(e.Kind, allDaemons)()
		tb.sendCrashingCalls(ctx, e)
	case TargetBackoff:
		defer tb.beginDisturbance(e.Kind, allDaemons)()
		tb.requestBackoff(ctx, e)
	case PartCrashes:
		defer tb.beginDisturbance(e.Kind, allDaemons)()
		tb.sendCrashingParts(ctx, e)
	case UnframedAnswers:
		defer tb.beginDisturbance(e.Kind, allDaemons)()
		tb.answerUnframed(ctx, e)
	case PathCut:
		tb.cutPath(ctx, e)
	case ConnectionHerd:
		tb.herdConnections(ctx, e)
	case TargetRateLimit:
		tb.setRateLimits(ctx, e)
	case Evacuation:
		tb.evacuate(ctx, e)
	case ColdTargets:
		tb.coolTargets(ctx, e)
	case SlowCallers:
		tb.slowCallersDown(ctx, e)
	case SlowPeers:
		tb.slowPeersDown(ctx, e)
	case LatePeer:
		injectLinkFault(ctx, daemon.peerLink, e)
	case StoreRestore:
		defer tb.beginDisturbance(e.Kind, allDaemons)()
		tb.restoreStore(ctx, e)
	case TargetReset, TargetOneWay, TargetSilent, TargetFailures:
		defer tb.beginDisturbance(e.Kind, allDaemons)()
		tb.injectTargetFault(ctx, e)
	default:
		defer tb.beginDisturbance(e.Kind, allDaemons)()
		tb.injectStoreFault(ctx, e)
	}
}

// resetFraction is the share of a link's connections that a reset event resets.
const resetFraction = 0.6

// injectLinkFault puts an event's fault on a link for the event's duration.
func injectLinkFault(ctx context.Context, l *Link, e Event) {
	switch e.Kind {
	case FrontendReset, TargetReset, StoreReset:
		l.Reset(resetFraction)
		return
	case FrontendDelay, LatePeer:
		l.Set(Delayed)
	case FrontendOneWay, TargetOneWay:
		l.Set(OneWay)
	case StoreRefuse:
		l.Set(Refusing)
	default:
		l.Set(Silent)
	}
	sleep(ctx, e.Duration)
	l.Set(NoFault)
}

// injectTargetFault puts a link fault on one target, or lets every second target fail.
func (tb *testbed) injectTargetFault(ctx context.Context, e Event) {
	tb.mu.Lock()
	b := tb.backends[e.Selector%len(tb.backends)]
	var half []*backend // Half of the targets fail, because daemons soon avoid a single failing one.
	for i, other := range tb.backends {
		if i%2 == e.Selector%2 {
			half = append(half, other)
		}
	}
	tb.mu.Unlock()
	if e.Kind != TargetFailures {
		defer tb.beginTargetDisturbance(e.Kind, b)()
		injectLinkFault(ctx, b.link, e)
		return
	}
	for _, b := range half {
		b.setInjectFailures(true)
	}
	sleep(ctx, e.Duration)
	for _, b := range half {
		b.setInjectFailures(false)
	}
}

// injectStoreFault discards the store's history, stalls its watches or puts a fault on its link.
func (tb *testbed) injectStoreFault(ctx context.Context, e Event) {
	switch e.Kind {
	case StoreDropHistory:
		tb.store.DropHistory()
	case StoreStallWatches:
		tb.store.StallWatches(true)
		sleep(ctx, e.Duration)
		tb.store.StallWatches(false)
		tb.storeEndpoint.CloseClientConnections() // Stalled watches stay stalled; clients must open new ones.
	default:
		injectLinkFault(ctx, tb.storeLink, e)
	}
}

// restartDelay is the pause between the end of a process and its next start.
const restartDelay = 200 * time.Millisecond

// restartDaemon stops a daemon by a signal and starts it again, unless another event already
// restarts or suspends it.
func (tb *testbed) restartDaemon(ctx context.Context, p *process, k Kind, s syscall.Signal) {
	if !p.controlMu.TryLock() {
		return
	}
	defer p.controlMu.Unlock()
	defer tb.beginDisturbance(k, p.index)()
	p.stop(s)
	sleep(ctx, restartDelay)
	if err := p.start(); err != nil {
		panic(err) // The program exists: it was started before.
	}
	p.awaitReady(ctx)
}

// suspendDaemon stops a daemon by SIGSTOP for a time, unless another event already restarts
// or suspends it.
func (tb *testbed) suspendDaemon(ctx context.Context, p *process, d time.Duration) {
	if !p.controlMu.TryLock() {
		return
	}
	defer p.controlMu.Unlock()
	defer tb.beginDisturbance(Suspend, p.index)()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	p.signal(syscall.SIGCONT)
}

// drainTime is how long a target goes on serving after it has announced that it drains.
const drainTime = 2 * time.Second

// replaceTarget drains and removes a target and adds a new one, unless the service has only
// two targets.
func (tb *testbed) replaceTarget(ctx context.Context, selector int) {
	tb.mu.Lock()
	index := selector % len(tb.backends)
	b := tb.backends[index]
	sameService := 0
	for _, other := range tb.backends {
		if other.service == b.service {
			sameService++
		}
	}
	if sameService > 2 {
		tb.backends = slices.Delete(tb.backends, index, index+1)
		tb.removed = append(tb.removed, b)
	}
	tb.mu.Unlock()
	if sameService <= 2 {
		return
	}
	defer tb.beginDisturbance(TargetDrain, allDaemons)()
	if err := tb.addTarget(b.service); err != nil {
		panic(err) // No free port was found.
	}
	if selector%2 == 0 { // In half of the events the target's entry in the store announces the drain.
		tb.store.PutDraining(b.target.ID, b.link.Address(), b.service, targetSlots)
		sleep(ctx, drainTime)
	} else { // In the others the target's answers announce the drain, or nothing does.
		b.updateNotices(func() { b.announceDraining = selector%4 == 1 })
		sleep(ctx, drainTime)
	}
	tb.store.RemoveTarget(b.target)
	sleep(ctx, drainTime)
}
