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

// The kinds of events that addNoticeEvents draws, from a random source of their own as in
// restarts.go: the backoff notices of targets, and two more. A notice is what a target says of
// itself in an answer: that the daemon is to back off, that the target drains, or its rate limit.
const (
	CallCrashes   Kind = "call-crashes"  // a call that crashes each target that executes it is sent repeatedly
	TargetBackoff Kind = "target-rests"  // half of the targets reject calls and ask daemons to back off
	StoreRestore  Kind = "store-restore" // the store is restored from a backup
)

const (
	// meanNoticeInterval is the mean time between two events that addNoticeEvents draws.
	meanNoticeInterval = 2500 * time.Millisecond
	// crashBodyPrefix begins the body of a call that crashes its targets.
	crashBodyPrefix = "crash "
	// crashInterval is the pause between two sends of a crashing call.
	crashInterval = 120 * time.Millisecond
	// finalRounds is how often each daemon gets a crashing call again, once all daemons have had
	// time to learn of the crashes.
	finalRounds = 2
	// backoffTime is the time for which targets ask daemons to back off.
	backoffTime = 2 * time.Second
	// maxRewriteDelay bounds the time from a restore of the store until the lost entries are
	// written again.
	maxRewriteDelay = 1500 * time.Millisecond
)

// addNoticeEvents adds crashing calls, backoff notices and restores of the store to a plan, in
// the phases with faults.
func addNoticeEvents(plan []Event, seed uint64, duration time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 2))
	kinds := []Kind{CallCrashes, TargetBackoff, StoreRestore}
	for at := meanNoticeInterval; at < duration; at += randomDuration(rng, 2*meanNoticeInterval) {
		e := Event{Start: at, Duration: minFaultDuration + randomDuration(rng, maxFaultDuration-minFaultDuration), Kind: kinds[rng.IntN(len(kinds))], Selector: rng.IntN(1000)}
		if at/phaseDuration%2 == 1 && e.Start+e.Duration <= duration {
			plan = append(plan, e)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// sendCrashingCalls sends a call that crashes its targets: every crashInterval to a random
// daemon for the event's duration, and later finalRounds times to each daemon.
func (tb *testbed) sendCrashingCalls(ctx context.Context, e Event) {
	call := Call{Path: paths[e.Selector%3], RequestBody: crashBodyPrefix + fmt.Sprint(e.Start, " ", e.Selector)}
	if call.Path.Streaming {
		call.PromptParts = soundParts(fmt.Sprint("crash-", e.Selector))
	}
	client := newClient()
	defer client.CloseIdleConnections()
	send := func(daemon int) {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Path.Timeout+giveUpAfter)
		defer cancel()
		repeat := call
		repeat.Daemon = daemon
		tb.send(callCtx, client, repeat)
	}
	var sends sync.WaitGroup
	for end := time.Now().Add(e.Duration); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, crashInterval) {
		daemon := tb.pickReadyDaemon()
		sends.Go(func() { send(daemon) })
	}
	sends.Wait()
	sleep(ctx, undisturbedBefore+loadSlack)
	for range finalRounds {
		for daemon := range tb.daemons {
			send(daemon)
		}
	}
}

// crash simulates that the target's process ends during a call and another one starts under its
// ID: the target loses its reservations and closes its connections.
func (b *backend) crash(w http.ResponseWriter, r *http.Request, c standin.Call) {
	b.target.Restart(time.Now())
	standin.CloseConnection(w, r, c)
}

// requestBackoff lets half of the targets reject calls with a backoff notice for the event's
// duration.
func (tb *testbed) requestBackoff(ctx context.Context, e Event) {
	half := tb.everySecondTarget(e.Selector)
	for _, b := range half {
		b.updateNotices(func() { b.requestBackoff = true })
	}
	sleep(ctx, e.Duration)
	for _, b := range half {
		b.updateNotices(func() { b.requestBackoff = false })
	}
}

// everySecondTarget lists every second target; a selector chooses which half.
func (tb *testbed) everySecondTarget(selector int) []*backend {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var half []*backend
	for i, b := range tb.backends {
		if i%2 == selector%2 {
			half = append(half, b)
		}
	}
	return half
}

// updateNotices calls change, which sets the notices in the target's answers, under the lock.
func (b *backend) updateNotices(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// writeNotices adds the target's notices to an answer and to the record of the execution, and
// reports whether the target rejects the call.
func (b *backend) writeNotices(w http.ResponseWriter, execution *Execution) (rejects bool) {
	b.mu.Lock()
	draining, backoff := b.announceDraining, b.requestBackoff
	b.writeRateLimit(w, execution)
	b.mu.Unlock()
	if draining {
		w.Header().Set("Server-Leaving", "1")
		b.executions.update(func() { execution.Draining = true })
	}
	if backoff {
		w.Header().Set("Retry-After", strconv.Itoa(int(backoffTime.Seconds())))
		b.executions.update(func() { execution.Backoff, execution.Rejected = backoffTime, true })
	}
	return backoff
}

// restoreStore restores the store from a backup taken at the start of the event. After a random
// delay it writes the lost entries again, as operators and targets do.
func (tb *testbed) restoreStore(ctx context.Context, e Event) {
	backup := tb.store.Backup()
	sleep(ctx, e.Duration)
	tb.store.Restore(backup)
	sleep(ctx, rand.N(maxRewriteDelay))
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.store.PutConfig(tb.config)
	for _, b := range tb.backends {
		tb.store.PutTargetWithStart(b.target, b.link.Address(), b.service, targetSlots)
	}
	for _, b := range tb.removed {
		tb.store.RemoveTarget(b.target)
	}
}

// losesState reports whether a daemon may have lost a notice by an event of a kind: with its
// process, or because the daemon was suspended.
func losesState(k Kind) bool { return k == Term || k == Kill || k == Suspend }

// mustHaveReceived reports whether a daemon must have received a target's notice: around the
// answer neither the daemon's process nor the target's process or link was disturbed.
func (r *Record) mustHaveReceived(daemon int, notice Execution, executions []Execution) bool {
	from, to := notice.Started.Add(-answerSlack), notice.Ended.Add(answerSlack)
	if !r.undisturbed(daemon, from, to, losesState) {
		return false
	}
	for _, d := range r.Disturbances {
		if d.Target == notice.Target && d.From.Before(to) && d.To.After(from) {
			return false
		}
	}
	return !slices.ContainsFunc(executions, func(execution Execution) bool {
		return execution.Crashed && execution.Started.After(from) && execution.Started.Before(to)
	})
}

// checkNotices checks which calls each daemon sent to a target after a notice of that target.
func checkNotices(r *Record) []Violation {
	type daemonTarget struct {
		daemon int
		target string
	}
	calls := map[string]*Call{}
	for i := range r.Calls {
		calls[r.Calls[i].ID] = &r.Calls[i]
	}
	arrivals := map[daemonTarget][]Execution{}
	for id, executions := range r.Executions {
		for _, execution := range executions {
			if c := calls[id]; c != nil {
				key := daemonTarget{c.Daemon, execution.Target}
				arrivals[key] = append(arrivals[key], execution)
			}
		}
	}
	var list []Violation
	for key, executions := range arrivals {
		slices.SortFunc(executions, func(a, b Execution) int { return a.Started.Compare(b.Started) })
		for _, notice := range executions {
			if problem := r.checkBackoff(key.daemon, notice, executions); problem != "" {
				list = append(list, Violation{"BUDGET", notice.ID, problem})
			}
			if problem := r.checkDraining(key.daemon, notice, executions, calls); problem != "" {
				list = append(list, Violation{"DRAIN", notice.ID, problem})
			}
		}
	}
	return list
}

// executionsAt lists all executions at a target, also the rejected ones.
func (r *Record) executionsAt(target string) []Execution {
	var list []Execution
	for _, executions := range r.Executions {
		for _, execution := range executions {
			if execution.Target == target {
				list = append(list, execution)
			}
		}
	}
	return list
}

// checkBackoff checks that from half a second after a target's backoff notice to a daemon until
// the end of the backoff at most two calls of that daemon reach the target. It returns what is
// wrong, or nothing.
func (r *Record) checkBackoff(daemon int, notice Execution, executions []Execution) string {
	ends := notice.Ended.Add(notice.Backoff)
	if notice.Backoff == 0 || !r.mustHaveReceived(daemon, notice, r.executionsAt(notice.Target)) || !r.undisturbed(daemon, notice.Started, ends, losesState) {
		return ""
	}
	n := 0
	for _, execution := range executions {
		if execution.Started.After(notice.Ended.Add(answerSlack)) && execution.Started.Before(ends) {
			n++
		}
	}
	if n > 2 {
		return fmt.Sprintf("%s asked daemon %d to back off and got %d calls within the backoff", notice.Target, daemon, n)
	}
	return ""
}

// checkDraining checks that no call which a caller sent later than drainTime after a daemon had
// relayed a target's draining notice reaches that target. It returns what is wrong, or nothing.
func (r *Record) checkDraining(daemon int, notice Execution, executions []Execution, calls map[string]*Call) string {
	call := calls[notice.ID]
	if !notice.Draining || call.Status != 200 || !call.Complete || !r.mustHaveReceived(daemon, notice, r.executionsAt(notice.Target)) {
		return ""
	}
	for _, execution := range executions {
		sent := calls[execution.ID].Sent
		if sent.After(call.Done.Add(drainTime)) && r.undisturbed(daemon, call.Done, execution.Started, losesState) {
			return fmt.Sprintf("daemon %d got a draining notice from %s and sent it call %s, made %v later", daemon, notice.Target, execution.ID, sent.Sub(call.Done))
		}
	}
	return ""
}

// checkCrashingCalls checks that at most three more requests with the same body are executed once
// three targets have crashed on that body. A request counts only if it was sent later than
// undisturbedBefore after the third crash, in which daemons learn of the crashes, and to a daemon
// that did not lose its state shortly before.
func checkCrashingCalls(r *Record) []Violation {
	sends := map[string][]*Call{}
	for i := range r.Calls {
		if c := &r.Calls[i]; strings.HasPrefix(c.RequestBody, crashBodyPrefix) {
			sends[c.RequestBody] = append(sends[c.RequestBody], c)
		}
	}
	var list []Violation
	for body, calls := range sends {
		var crashes []time.Time
		for _, c := range calls {
			for _, execution := range r.Executions[c.ID] {
				if execution.Crashed {
					crashes = append(crashes, execution.Started)
				}
			}
		}
		if len(crashes) < 3 {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		known := crashes[2].Add(undisturbedBefore)
		more := 0
		for _, c := range calls {
			if c.Sent.After(known) && len(r.executionsOf(c.ID)) > 0 && r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, losesState) {
				more++
			}
		}
		if more > 3 {
			list = append(list, Violation{"BUDGET", body, fmt.Sprintf("%d more requests with this body were executed after three targets had crashed; %d crashes in all", more, len(crashes))})
		}
	}
	return list
}
