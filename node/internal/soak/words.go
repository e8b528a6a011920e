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
	CallCrashes  Kind = "call-crashes"  // a call ends each target that runs it, and comes again and again
	TargetRests  Kind = "target-rests"  // half of the targets turn calls away and ask for rest
	StoreRestore Kind = "store-restore" // the store comes back from a copy that is some time old
)

const (
	// meanWords is the mean time between two such events.
	meanWords = 2500 * time.Millisecond
	// crashBody begins the body of a call that ends its targets.
	crashBody = "crash "
	// crashAgain is the pause between two sends of such a call.
	crashAgain = 120 * time.Millisecond
	// lastRounds is how often each daemon gets it once all can know it.
	lastRounds = 2
	// restFor is the rest that targets ask for.
	restFor = 2 * time.Second
	// writeAgain is how soon after the store's return all that it lacks is written again.
	writeAgain = 1500 * time.Millisecond
)

// withWords adds such events to a plan, in the phases that have faults.
func withWords(plan []Event, seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 2))
	kinds := []Kind{CallCrashes, TargetRests, StoreRestore}
	for at := meanWords; at < length; at += draw(rng, 2*meanWords) {
		e := Event{At: at, For: shortest + draw(rng, longest-shortest), Kind: kinds[rng.IntN(len(kinds))], Which: rng.IntN(1000)}
		if at/phase%2 == 1 && e.At+e.For <= length {
			plan = append(plan, e)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}

// crashCalls sends a call that ends its targets by any daemon, for the event's time often and
// later by each of them in turn.
func (w *world) crashCalls(ctx context.Context, e Event) {
	path, body := paths[e.Which%3], crashBody+fmt.Sprint(e.At, " ", e.Which)
	client := newClient()
	defer client.CloseIdleConnections()
	send := func(daemon int) {
		own, cancel := context.WithTimeout(context.WithoutCancel(ctx), path.Allowed+giveUpAfter)
		defer cancel()
		w.callOf(own, client, daemon, path, 0, body)
	}
	var sending sync.WaitGroup
	for end := time.Now().Add(e.For); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, crashAgain) {
		daemon := w.pickReady()
		sending.Go(func() { send(daemon) })
	}
	sending.Wait()
	pause(ctx, touch+busy)
	for range lastRounds {
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
func (w *world) restTargets(ctx context.Context, e Event) {
	half := w.half(e.Which)
	for _, b := range half {
		b.say(func() { b.rests = true })
	}
	pause(ctx, e.For)
	for _, b := range half {
		b.say(func() { b.rests = false })
	}
}

// half is every second target.
func (w *world) half(which int) []*backend {
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
func (b *backend) say(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// speak adds what the target says of itself to an answer, and tells whether it turns the call away.
func (b *backend) speak(w http.ResponseWriter, run *Run) (turnsAway bool) {
	b.mu.Lock()
	leaves, rests := b.leaves, b.rests
	b.speakLimit(w, run)
	b.mu.Unlock()
	if leaves {
		w.Header().Set("Server-Leaving", "1")
		b.seen.note(func() { run.Leaves = true })
	}
	if rests {
		w.Header().Set("Retry-After", strconv.Itoa(int(restFor.Seconds())))
		b.seen.note(func() { run.Rest, run.TurnedAway = restFor, true })
	}
	return rests
}

// restoreStore brings the store back from a copy, and lets the operators and the targets write
// again what it lacks.
func (w *world) restoreStore(ctx context.Context, e Event) {
	older := w.store.Backup()
	pause(ctx, e.For)
	w.store.Restore(older)
	pause(ctx, rand.N(writeAgain))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.PutConfig(w.config)
	for _, b := range w.backends {
		w.store.PutTargetWithStart(b.target, b.link.Address(), b.service, slots)
	}
	for _, b := range w.gone {
		w.store.RemoveTarget(b.target)
	}
}

// A daemon that was told something may have lost it with its process, or in a freeze.
func forgets(k Kind) bool { return k == Term || k == Kill || k == Pause }

// heard tells whether a daemon must have had what a target said in an answer: the daemon went on,
// and neither the target's link nor its process was disturbed around it.
func (r *Record) heard(daemon int, said Run, runs []Run) bool {
	from, to := said.At.Add(-answerSlack), said.Ended.Add(answerSlack)
	if !r.calm(daemon, from, to, forgets) {
		return false
	}
	for _, d := range r.Disturbances {
		if d.Target == said.Target && d.From.Before(to) && d.To.After(from) {
			return false
		}
	}
	return !slices.ContainsFunc(runs, func(run Run) bool { return run.Crashed && run.At.After(from) && run.At.Before(to) })
}

// wordsKept checks what targets said of themselves against what they were sent afterwards.
func wordsKept(r *Record) []Violation {
	type pair struct {
		daemon int
		target string
	}
	calls := map[string]*Call{}
	for i := range r.Calls {
		calls[r.Calls[i].ID] = &r.Calls[i]
	}
	arrivals := map[pair][]Run{}
	for id, runs := range r.Runs {
		for _, run := range runs {
			if c := calls[id]; c != nil {
				p := pair{c.Daemon, run.Target}
				arrivals[p] = append(arrivals[p], run)
			}
		}
	}
	var list []Violation
	for p, runs := range arrivals {
		slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
		for _, said := range runs {
			if what := r.restKept(p.daemon, said, runs); what != "" {
				list = append(list, Violation{"BUDGET", said.ID, what})
			}
			if what := r.leavingKept(p.daemon, said, runs, calls); what != "" {
				list = append(list, Violation{"DRAIN", said.ID, what})
			}
		}
	}
	return list
}

// at lists all calls that reached a target.
func (r *Record) at(target string) []Run {
	var list []Run
	for _, runs := range r.Runs {
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
func (r *Record) restKept(daemon int, said Run, runs []Run) string {
	ends := said.Ended.Add(said.Rest)
	if said.Rest == 0 || !r.heard(daemon, said, r.at(said.Target)) || !r.calm(daemon, said.At, ends, forgets) {
		return ""
	}
	n := 0
	for _, run := range runs {
		if run.At.After(said.Ended.Add(answerSlack)) && run.At.Before(ends) {
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
func (r *Record) leavingKept(daemon int, said Run, runs []Run, calls map[string]*Call) string {
	told := calls[said.ID]
	if !said.Leaves || told.Status != 200 || !told.Whole || !r.heard(daemon, said, r.at(said.Target)) {
		return ""
	}
	for _, run := range runs {
		sent := calls[run.ID].Sent
		if sent.After(told.Done.Add(drainFor)) && r.calm(daemon, told.Done, run.At, forgets) {
			return fmt.Sprintf("daemon %d was told that %s leaves, and sent it %s %v later", daemon, said.Target, run.ID, sent.Sub(told.Done))
		}
	}
	return ""
}

// crashesStop: a call under which three targets have ended reaches targets in three more sends of
// its callers at most, by daemons that have run for a while, once all of them can know.
func crashesStop(r *Record) []Violation {
	sends := map[string][]*Call{}
	for i := range r.Calls {
		if c := &r.Calls[i]; strings.HasPrefix(c.Asked, crashBody) {
			sends[c.Asked] = append(sends[c.Asked], c)
		}
	}
	var list []Violation
	for body, calls := range sends {
		var ends []time.Time
		for _, c := range calls {
			for _, run := range r.Runs[c.ID] {
				if run.Crashed {
					ends = append(ends, run.At)
				}
			}
		}
		if len(ends) < 3 {
			continue
		}
		slices.SortFunc(ends, time.Time.Compare)
		known := ends[2].Add(touch)
		more := 0
		for _, c := range calls {
			if c.Sent.After(known) && len(r.ran(c.ID)) > 0 && r.calm(c.Daemon, c.Sent.Add(-touch), c.Done, forgets) {
				more++
			}
		}
		if more > 3 {
			list = append(list, Violation{"BUDGET", body, fmt.Sprintf("sent %d times more after three targets had ended, %d in all", more, len(ends))})
		}
	}
	return list
}
