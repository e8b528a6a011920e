package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"doorstack.dev/platform/standin"
)

// Calls that end their targets, targets that ask for rest or say that they leave, and a store
// that comes back from a copy are drawn beside the plan as well.
const (
	CallCrashes   Kind = "call-crashes"  // a call ends each target that runs it, and comes again and again
	TargetBackoff Kind = "target-rests"  // half of the targets turn calls away and ask for rest
	StoreRestore  Kind = "store-restore" // the store comes back from a copy that is some time old
)

const (
	// meanNoticeInterval is the mean time between two such events.
	meanNoticeInterval = 2500 * time.Millisecond
	// crashBodyPrefix begins the body of a call that ends its targets.
	crashBodyPrefix = "crash "
	// crashInterval is the pause between two sends of such a call.
	crashInterval = 120 * time.Millisecond
	// finalRounds is how often each daemon gets it once all can know it.
	finalRounds = 2
	// backoffTime is the rest that targets ask for.
	backoffTime = 2 * time.Second
	// maxRewriteDelay is how soon after the store's return all that it lacks is written again.
	maxRewriteDelay = 1500 * time.Millisecond
)

// addNoticeEvents adds such events to a plan, in the phases that have faults.
func addNoticeEvents(plan []Event, seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 2))
	kinds := []Kind{CallCrashes, TargetBackoff, StoreRestore}
	for at := meanNoticeInterval; at < length; at += randomDuration(rng, 2*meanNoticeInterval) {
		e := Event{Start: at, Duration: minFaultDuration + randomDuration(rng, maxFaultDuration-minFaultDuration), Kind: kinds[rng.IntN(len(kinds))], Selector: rng.IntN(1000)}
		if at/phaseDuration%2 == 1 && e.Start+e.Duration <= length {
			plan = append(plan, e)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// crashCalls sends a call that ends its targets by any daemon, for the event's time often and
// later by each of them in turn.
func (w *testbed) sendCrashingCalls(ctx context.Context, e Event) {
	path, body := paths[e.Selector%3], crashBodyPrefix+fmt.Sprint(e.Start, " ", e.Selector)
	client := newClient()
	defer client.CloseIdleConnections()
	send := func(daemon int) {
		own, cancel := context.WithTimeout(context.WithoutCancel(ctx), path.Timeout+giveUpAfter)
		defer cancel()
		w.callWithBody(own, client, daemon, path, 0, body)
	}
	var sending sync.WaitGroup
	for end := time.Now().Add(e.Duration); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, crashInterval) {
		daemon := w.pickReadyDaemon()
		sending.Go(func() { send(daemon) })
	}
	sending.Wait()
	sleep(ctx, undisturbedBefore+loadSlack)
	for range finalRounds {
		for daemon := range w.daemons {
			send(daemon)
		}
	}
}

// crash ends the target's process under a call, and starts another under its id.
func (b *backend) crash(w http.ResponseWriter, r *http.Request, c standin.Call) {
	b.target.Restart(time.Now())
	standin.CloseConnection(w, r, c)
}

// restTargets lets half of the targets turn calls away and ask for rest.
func (w *testbed) requestBackoff(ctx context.Context, e Event) {
	half := w.everySecondTarget(e.Selector)
	for _, b := range half {
		b.updateNotices(func() { b.requestBackoff = true })
	}
	sleep(ctx, e.Duration)
	for _, b := range half {
		b.updateNotices(func() { b.requestBackoff = false })
	}
}

// half is every second target.
func (w *testbed) everySecondTarget(which int) []*backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var half []*backend
	for i, b := range w.backends {
		if i%2 == which%2 {
			half = append(half, b)
		}
	}
	return half
}

// say changes what the target says of itself.
func (b *backend) updateNotices(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// speak adds what the target says of itself to an answer, and tells whether it turns the call away.
func (b *backend) writeNotices(w http.ResponseWriter, run *Execution) (turnsAway bool) {
	b.mu.Lock()
	leaves, rests := b.announceDraining, b.requestBackoff
	b.writeRateLimit(w, run)
	b.mu.Unlock()
	if leaves {
		w.Header().Set("Server-Leaving", "1")
		b.executions.update(func() { run.Draining = true })
	}
	if rests {
		w.Header().Set("Retry-After", strconv.Itoa(int(backoffTime.Seconds())))
		b.executions.update(func() { run.Backoff, run.Rejected = backoffTime, true })
	}
	return rests
}

// restoreStore brings the store back from a copy, and lets the operators and the targets write
// again what it lacks.
func (w *testbed) restoreStore(ctx context.Context, e Event) {
	older := w.store.Backup()
	sleep(ctx, e.Duration)
	w.store.Restore(older)
	sleep(ctx, rand.N(maxRewriteDelay))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.PutConfig(w.config)
	for _, b := range w.backends {
		w.store.PutTargetWithStart(b.target, b.link.Address(), b.service, targetSlots)
	}
	for _, b := range w.removed {
		w.store.RemoveTarget(b.target)
	}
}

// A daemon that was told something may have lost it with its process, or in a freeze.
func losesState(k Kind) bool { return k == Term || k == Kill || k == Suspend }

// heard tells whether a daemon must have had what a target said in an answer: the daemon went on,
// and neither the target's link nor its process was disturbed around it.
func (r *Record) mustHaveReceived(daemon int, said Execution, runs []Execution) bool {
	from, to := said.Started.Add(-answerSlack), said.Ended.Add(answerSlack)
	if !r.undisturbed(daemon, from, to, losesState) {
		return false
	}
	for _, d := range r.Disturbances {
		if d.Target == said.Target && d.From.Before(to) && d.To.After(from) {
			return false
		}
	}
	return !slices.ContainsFunc(runs, func(run Execution) bool { return run.Crashed && run.Started.After(from) && run.Started.Before(to) })
}

// checkNotices checks what targets said of themselves against what they were sent afterwards.
func checkNotices(r *Record) []Violation {
	type pair struct {
		daemon int
		target string
	}
	calls := map[string]*Call{}
	for i := range r.Calls {
		calls[r.Calls[i].ID] = &r.Calls[i]
	}
	arrivals := map[pair][]Execution{}
	for id, runs := range r.Executions {
		for _, run := range runs {
			if c := calls[id]; c != nil {
				p := pair{c.Daemon, run.Target}
				arrivals[p] = append(arrivals[p], run)
			}
		}
	}
	var list []Violation
	for p, runs := range arrivals {
		slices.SortFunc(runs, func(a, b Execution) int { return a.Started.Compare(b.Started) })
		for _, said := range runs {
			if what := r.checkBackoff(p.daemon, said, runs); what != "" {
				list = append(list, Violation{"BUDGET", said.ID, what})
			}
			if what := r.checkDraining(p.daemon, said, runs, calls); what != "" {
				list = append(list, Violation{"DRAIN", said.ID, what})
			}
		}
	}
	return list
}

// timeAt lists all calls that reached a target.
func (r *Record) executionsAt(target string) []Execution {
	var list []Execution
	for _, runs := range r.Executions {
		for _, run := range runs {
			if run.Target == target {
				list = append(list, run)
			}
		}
	}
	return list
}

// restKept: from half a second after a target has asked a daemon for rest until the end of that
// time two calls of that daemon reach it at most.
func (r *Record) checkBackoff(daemon int, said Execution, runs []Execution) string {
	ends := said.Ended.Add(said.Backoff)
	if said.Backoff == 0 || !r.mustHaveReceived(daemon, said, r.executionsAt(said.Target)) || !r.undisturbed(daemon, said.Started, ends, losesState) {
		return ""
	}
	n := 0
	for _, run := range runs {
		if run.Started.After(said.Ended.Add(answerSlack)) && run.Started.Before(ends) {
			n++
		}
	}
	if n > 2 {
		return fmt.Sprintf("%s had asked daemon %d for rest, and got %d calls", said.Target, daemon, n)
	}
	return ""
}

// leavingKept: a call that was sent later than the drain time after a daemon had passed on that
// a target leaves does not reach that target.
func (r *Record) checkDraining(daemon int, said Execution, runs []Execution, calls map[string]*Call) string {
	told := calls[said.ID]
	if !said.Draining || told.Status != 200 || !told.Complete || !r.mustHaveReceived(daemon, said, r.executionsAt(said.Target)) {
		return ""
	}
	for _, run := range runs {
		sent := calls[run.ID].Sent
		if sent.After(told.Done.Add(drainTime)) && r.undisturbed(daemon, told.Done, run.Started, losesState) {
			return fmt.Sprintf("daemon %d was told that %s leaves, and sent it %s %v later", daemon, said.Target, run.ID, sent.Sub(told.Done))
		}
	}
	return ""
}

// checkCrashingCalls: a call under which three targets have ended reaches targets in three more sends of
// its callers at most, by daemons that have run for a while, once all of them can know.
func checkCrashingCalls(r *Record) []Violation {
	sends := map[string][]*Call{}
	for i := range r.Calls {
		if c := &r.Calls[i]; strings.HasPrefix(c.RequestBody, crashBodyPrefix) {
			sends[c.RequestBody] = append(sends[c.RequestBody], c)
		}
	}
	var list []Violation
	for body, calls := range sends {
		var ends []time.Time
		for _, c := range calls {
			for _, run := range r.Executions[c.ID] {
				if run.Crashed {
					ends = append(ends, run.Started)
				}
			}
		}
		if len(ends) < 3 {
			continue
		}
		slices.SortFunc(ends, time.Time.Compare)
		known := ends[2].Add(undisturbedBefore)
		more := 0
		for _, c := range calls {
			if c.Sent.After(known) && len(r.executionsOf(c.ID)) > 0 && r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, losesState) {
				more++
			}
		}
		if more > 3 {
			list = append(list, Violation{"BUDGET", body, fmt.Sprintf("sent %d times more after three targets had ended, %d in all", more, len(ends))})
		}
	}
	return list
}
