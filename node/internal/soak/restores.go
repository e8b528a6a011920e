package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Restore is what a round recorded in which the store is restored from an older copy and a newer version is
// confirmed in the place of the one that the restore loses.
type Restore struct {
	Absence absence
	// Route is the temporary route that the newer version adds.
	Route int
	// Confirmed is when that version was confirmed, Returned when the store was back.
	Confirmed, Returned time.Time
	// Served is when each daemon first served the route, by index; zero if none of the probes was.
	Served []time.Time
}

// absence is a way in which the store is away before it comes back from a copy.
type absence string

const (
	refuses     absence = "refuses connections"
	silent      absence = "is silent"
	unavailable absence = "answers 503"
	cuts        absence = "cuts its connections"
	unseen      absence = "is never away"
	forgets     absence = "drops its history while watches are mute"
)

var absences = []absence{refuses, silent, unavailable, cuts, unseen, forgets}

const (
	// maxAbsence bounds for how long the store is away, maxWriteDelay the time from its return to
	// the newer version.
	maxAbsence    = 1200 * time.Millisecond
	maxWriteDelay = 900 * time.Millisecond
	// probeInterval is the pause between two probes of a daemon, probeTime how long it is probed.
	probeInterval = 15 * time.Millisecond
	probeTime     = 12 * time.Second
	// restoreFaultShare is the share of the rounds in which a daemon is killed, terminated or suspended too.
	restoreFaultShare = 0.4
	// restoreSeries is the probability that a restore follows before its era can settle.
	restoreSeries = 0.3
)

// playRestores plays rounds of restores.
func (tb *testbed) playRestores(ctx context.Context, seed uint64, rounds int) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for range rounds {
		restore := tb.playRestore(ctx, rng)
		tb.mu.Lock()
		tb.restores = append(tb.restores, restore)
		tb.mu.Unlock()
		if rng.Float64() >= restoreSeries {
			sleep(ctx, time.Until(restore.Returned.Add(2*undisturbedBefore)))
		}
	}
}

// playRestore plays one restore: a copy is taken, a version that will be lost comes into force, the
// store is away and comes back from the copy, and a newer version is written before or after that.
func (tb *testbed) playRestore(ctx context.Context, rng *rand.Rand) Restore {
	defer tb.beginDisturbance(StoreRestore, allDaemons)()
	older := tb.store.Backup()
	if rng.IntN(2) == 0 { // Otherwise the lost version and the newer one get the same revision.
		tb.rewriteTargets()
	}
	tb.publishNextConfig()
	tb.probe(ctx, tb.lastRoute(), probeTime)
	restore := Restore{Absence: absences[rng.IntN(len(absences))], Served: make([]time.Time, len(tb.daemons))}
	duration, delay := randomDuration(rng, maxAbsence), randomDuration(rng, maxWriteDelay)
	rewrites, early, faulty := rng.IntN(3) == 0, rng.IntN(2) == 0, rng.Float64() < restoreFaultShare
	fault, daemon := rng.IntN(3), tb.daemons[rng.IntN(len(tb.daemons))]
	var faults sync.WaitGroup
	if faulty {
		faults.Go(func() { tb.disturbDaemon(ctx, daemon, fault) })
	}
	tb.takeStoreAway(ctx, restore.Absence, duration)
	tb.store.Restore(older)
	write := func() {
		if rewrites {
			tb.mu.Lock()
			tb.store.PutConfig(tb.config)
			tb.mu.Unlock()
		}
		tb.publishNextConfig()
		restore.Confirmed = time.Now()
	}
	if early {
		write()
	}
	tb.bringStoreBack(restore.Absence)
	restore.Returned = time.Now()
	if !early {
		sleep(ctx, delay)
		write()
	}
	restore.Route = tb.lastRoute()
	restore.Served = tb.probe(ctx, restore.Route, probeTime)
	faults.Wait()
	return restore
}

// rewriteTargets writes the entries of all targets again, as targets do after a restore.
func (tb *testbed) rewriteTargets() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, b := range tb.backends {
		tb.store.PutTargetWithStart(b.target, b.link.Address(), b.service, targetSlots)
	}
}

// lastRoute returns the newest temporary route.
func (tb *testbed) lastRoute() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.version
}

// takeStoreAway makes the store unreachable for a time, or does nothing where the absence is
// momentary.
func (tb *testbed) takeStoreAway(ctx context.Context, a absence, duration time.Duration) {
	switch a {
	case refuses:
		tb.storeLink.Set(Refusing)
	case silent:
		tb.storeLink.Set(Silent)
	case unavailable:
		tb.storeEndpoint.Refuse(true)
	case forgets:
		tb.store.StallWatches(true)
	default:
		return
	}
	sleep(ctx, duration)
}

// bringStoreBack ends an absence.
func (tb *testbed) bringStoreBack(a absence) {
	switch a {
	case unavailable:
		tb.storeEndpoint.Refuse(false)
	case cuts:
		tb.storeLink.Reset(1)
	case forgets:
		tb.store.DropHistory()
		tb.store.StallWatches(false)
		tb.storeLink.Reset(1)
	default:
		tb.storeLink.Set(NoFault)
	}
}

// disturbDaemon kills, terminates or suspends a daemon.
func (tb *testbed) disturbDaemon(ctx context.Context, p *process, fault int) {
	switch fault {
	case 0:
		tb.restartDaemon(ctx, p, Kill, syscall.SIGKILL)
	case 1:
		tb.restartDaemon(ctx, p, Term, syscall.SIGTERM)
	default:
		tb.suspendDaemon(ctx, p, maxSuspension)
	}
}

// probe returns when each daemon first served a temporary route; zero if it did not within a time.
func (tb *testbed) probe(ctx context.Context, route int, patience time.Duration) []time.Time {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	served := make([]time.Time, len(tb.daemons))
	var probes sync.WaitGroup
	for daemon := range tb.daemons {
		probes.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			for ctx.Err() == nil && served[daemon].IsZero() {
				c := tb.send(ctx, client, Call{Daemon: daemon, Path: safePath, TemporaryRoute: route, RequestBody: "a body"})
				if c.Status == 200 {
					served[daemon] = c.Done
					return
				}
				sleep(ctx, probeInterval)
			}
		})
	}
	probes.Wait()
	return served
}

// checkRestores checks that a version which was confirmed after a restore of the store is served in
// time by each daemon.
func checkRestores(r *Record) []Violation {
	var list []Violation
	for _, restore := range r.Restores {
		for daemon, served := range restore.Served {
			due := r.configDue(&restore, daemon).Add(loadSlack)
			subject := fmt.Sprint("daemon ", daemon)
			switch {
			case served.IsZero():
				list = append(list, Violation{"CONFIG", subject, fmt.Sprintf("temporary route %d was not served within %v of its confirmation after a store that %s was restored", restore.Route, probeTime, restore.Absence)})
			case served.After(due):
				list = append(list, Violation{"CONFIG", subject, fmt.Sprintf("temporary route %d was served %v after its confirmation, and %v after the return of a store that %s and was restored",
					restore.Route, served.Sub(restore.Confirmed).Round(time.Millisecond), served.Sub(restore.Returned).Round(time.Millisecond), restore.Absence)})
			}
		}
	}
	return list
}

// configDue returns when a daemon has to serve the version of a restore.
func (r *Record) configDue(restore *Restore, daemon int) time.Time {
	due := latest(restore.Confirmed.Add(configApplyTime), restore.Returned.Add(undisturbedBefore))
	for _, d := range r.Disturbances {
		if d.Daemon == daemon && d.overlaps(restore.Returned.Add(-undisturbedBefore), due) {
			due = latest(due, d.To.Add(undisturbedBefore))
		}
	}
	return due
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }
