package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// The kinds of events that addPartEvents draws, from a random source of their own.
const (
	PartCrashes     Kind = "part-crashes"     // prompts that share a part which crashes each engine are sent, no two alike
	UnframedAnswers Kind = "unframed-answers" // targets answer without a length and without chunks
	ConnectionHerd  Kind = "connection-herd"  // most callers open their connections to one daemon
)

const (
	// badPartPrefix begins the id of a part that crashes engines.
	badPartPrefix = "bad-"
	// partCrashInterval is the pause between two prompts with such a part.
	partCrashInterval = 120 * time.Millisecond
	// longPartCrashes is how long they are sent in a long run, so that sound prompts are judged meanwhile, and longRun
	// the duration of such a run.
	longPartCrashes = 9 * time.Second
	longRun         = 20 * time.Second
	// quietPartCrashes is how long they are sent after the plan, when nothing else disturbs daemons: longer than
	// soundAfter.
	quietPartCrashes = 8 * time.Second
	// herdTime is how long a herd lasts, and herdShare the share of new connections that goes to its daemon. It fits into
	// a phase of planned operations.
	herdTime  = 4500 * time.Millisecond
	herdShare = 0.75
)

// The bounds that the users of doorstack set on crashing parts and herds.
const (
	// crashesUntilKnown is the number of crashes after which daemons have undisturbedBefore to learn of a part, and
	// maxLatePartSends how many more of its prompts may reach engines later.
	crashesUntilKnown = 5
	maxLatePartSends  = 3
	// soundAfter is the time from the crashesUntilKnown'th crash on, or from the last if there are fewer, after which sound
	// prompts must be served.
	soundAfter = 2 * undisturbedBefore
	// minSoundShare is the share of sound prompts that must not be refused because of a crashing part, and
	// minHerdShare the share of calls that the daemon of a herd must serve, from undisturbedBefore on.
	minSoundShare = 0.5
	minHerdShare  = 0.75
	// minCallsJudged is the number of calls from which on their share is judged.
	minCallsJudged = 20
)

// addPartEvents adds a herd at the start of the run, where nothing else disturbs daemons, and crashing parts and unframed
// answers in the phases with faults.
func addPartEvents(plan []Event, seed uint64, duration time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 7))
	if duration > phaseDuration {
		plan = append(plan, Event{Start: 0, Duration: herdTime, Kind: ConnectionHerd, Selector: rng.IntN(1000)})
	}
	for start := phaseDuration; start+maxFaultDuration <= duration; start += 2 * phaseDuration {
		plan = append(plan, Event{Start: start + randomDuration(rng, phaseDuration/2), Duration: maxFaultDuration, Kind: UnframedAnswers, Selector: rng.IntN(1000)})
	}
	crashes := Event{Start: phaseDuration + randomDuration(rng, phaseDuration/2), Duration: maxFaultDuration, Kind: PartCrashes, Selector: rng.IntN(1000)}
	if duration >= longRun {
		crashes.Duration = longPartCrashes
	}
	if crashes.Start+crashes.Duration <= duration {
		plan = append(plan, crashes)
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// soundParts returns the prompt parts of a call: two that other calls share, and its own.
func soundParts(id string) string {
	return fmt.Sprintf("system:40,topic-%d:400,%s:1000", rand.IntN(4), id)
}

// sendCrashingParts sends prompts with a bad part and the parts that sound prompts share, every partCrashInterval to a random
// daemon for the event's duration, and later finalRounds times to each daemon.
func (tb *testbed) sendCrashingParts(ctx context.Context, e Event) {
	bad := fmt.Sprint(badPartPrefix, e.Start.Milliseconds(), "-", e.Selector)
	client := newClient()
	defer client.CloseIdleConnections()
	var sends sync.WaitGroup
	send := func(daemon, number int) {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), streamPath.Timeout+giveUpAfter)
		defer cancel()
		tb.send(callCtx, client, Call{
			Daemon: daemon, Path: streamPath, RequestBody: fmt.Sprint("prompt ", bad, " ", number), BadPart: bad,
			PromptParts: fmt.Sprintf("system:40,%s:400,own-%d:1000", bad, number),
		})
	}
	n := 0
	for end := time.Now().Add(e.Duration); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, partCrashInterval) {
		n++
		daemon, number := tb.pickReadyDaemon(), n
		sends.Go(func() { send(daemon, number) })
	}
	sends.Wait()
	sleep(ctx, undisturbedBefore+loadSlack)
	for range finalRounds {
		for daemon := range tb.daemons {
			n++
			send(daemon, n)
		}
	}
}

// playQuietly makes calls while nothing disturbs daemons but a herd and, after it, prompts with a bad part.
func (tb *testbed) playQuietly(ctx context.Context, seed uint64) {
	callCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for range callerCount {
		callers.Go(func() { tb.runCaller(callCtx) })
	}
	tb.apply(ctx, Event{Duration: herdTime, Kind: ConnectionHerd, Selector: int(seed % 1000)})
	tb.apply(ctx, Event{Duration: quietPartCrashes, Kind: PartCrashes, Selector: int(seed % 1000)})
	stop()
	callers.Wait()
}

// Herd is the time in which most callers opened their connections to one daemon.
type Herd struct {
	From, To time.Time
	Daemon   int
}

// herdConnections lets most callers choose one daemon for the event's duration, and open a connection for each call.
func (tb *testbed) herdConnections(ctx context.Context, e Event) {
	h := Herd{From: time.Now(), Daemon: e.Selector % len(tb.daemons)}
	tb.herdDaemon.Store(int64(h.Daemon) + 1)
	sleep(ctx, e.Duration)
	tb.herdDaemon.Store(0)
	h.To = time.Now()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.herds = append(tb.herds, h)
}

// checkCrashingParts checks that prompts with a crashing part no longer reach engines once the daemons must know of it,
// and that sound prompts are not refused because of it.
func checkCrashingParts(r *Record) []Violation {
	byPart := map[string][]*Call{}
	for i := range r.Calls {
		if c := &r.Calls[i]; c.BadPart != "" {
			byPart[c.BadPart] = append(byPart[c.BadPart], c)
		}
	}
	var list []Violation
	for part, calls := range byPart {
		var crashes []Execution
		last := calls[0].Sent
		for _, c := range calls {
			for _, execution := range r.Executions[c.ID] {
				if execution.Crashed {
					crashes = append(crashes, execution)
				}
			}
			if c.Sent.After(last) {
				last = c.Sent
			}
		}
		ends := processEnds(crashes)
		if len(ends) == 0 {
			continue
		}
		known := ends[min(len(ends), crashesUntilKnown)-1]
		late := 0
		for _, c := range calls {
			if c.Sent.After(known.Add(undisturbedBefore)) && len(r.executionsOf(c.ID)) > 0 && r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, losesState) {
				late++
			}
		}
		if len(ends) >= crashesUntilKnown && late > maxLatePartSends {
			list = append(list, Violation{"BUDGET", part, fmt.Sprintf("%d prompts with this part were executed later than %v after its fifth crash; %d crashes in all", late, undisturbedBefore, len(ends))})
		}
		if problem := r.refusedForPart(known.Add(soundAfter), last); problem != "" {
			list = append(list, Violation{"LOST", part, problem})
		}
	}
	return list
}

// checkUnprovokedRefusals checks that no sound prompt is refused as one that crashes targets while none that does was sent lately:
// targets end for other reasons too, and most prompts share a part.
func checkUnprovokedRefusals(r *Record) []Violation {
	var provoked []time.Time
	for i := range r.Calls {
		if c := &r.Calls[i]; c.crashesTargets() {
			provoked = append(provoked, c.Sent)
		}
	}
	slices.SortFunc(provoked, time.Time.Compare)
	n, refused := 0, 0
	for i := range r.Calls {
		c := &r.Calls[i]
		if c.crashesTargets() || !c.Path.Streaming || !r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, losesState) {
			continue
		}
		next, _ := slices.BinarySearchFunc(provoked, c.Sent, time.Time.Compare)
		if next > 0 && c.Sent.Sub(provoked[next-1]) < soundAfter {
			continue
		}
		n++
		if c.refusedAsCrashing() {
			refused++
		}
	}
	if refused == 0 {
		return nil
	}
	return []Violation{{"LOST", "sound prompts", fmt.Sprintf("%d of %d were refused because of a crashing part, though none was sent in the %v before", refused, n, soundAfter)}}
}

// crashesTargets reports whether a call or a part of its prompt crashes targets.
func (c *Call) crashesTargets() bool {
	return c.BadPart != "" || strings.HasPrefix(c.RequestBody, crashBodyPrefix)
}

// refusedAsCrashing reports whether a call was refused as one that crashes targets.
func (c *Call) refusedAsCrashing() bool {
	return c.Status == 503 && strings.Contains(c.Body, "crashes_targets")
}

// restartTime is the shortest time from the end of a target's process to the end of the next one. Daemons count reports
// of crashes that are less apart as one crash.
const restartTime = time.Second

// processEnds returns when targets' processes ended, in ascending order, given the executions that crashed them. A
// stand-in restarts at once, so it also executes prompts that a process would still have had when it ended; they count
// with the same crash.
func processEnds(crashes []Execution) []time.Time {
	slices.SortFunc(crashes, func(a, b Execution) int { return a.Started.Compare(b.Started) })
	var ends []time.Time
	last := map[string]time.Time{}
	for _, e := range crashes {
		if at, crashed := last[e.Target]; crashed && e.Started.Sub(at) < restartTime {
			continue
		}
		last[e.Target] = e.Started
		ends = append(ends, e.Started)
	}
	return ends
}

// refusedForPart checks how many sound prompts were refused because of a crashing part between two times. It returns what
// is wrong, or nothing.
func (r *Record) refusedForPart(from, to time.Time) string {
	n, refused := 0, 0
	for i := range r.Calls {
		c := &r.Calls[i]
		if c.BadPart != "" || c.Path != streamPath || c.Sent.Before(from) || c.Sent.After(to) || !r.undisturbed(c.Daemon, c.Sent.Add(-undisturbedBefore), c.Done, losesState) {
			continue
		}
		n++
		if c.refusedAsCrashing() {
			refused++
		}
	}
	if n >= minCallsJudged && float64(n-refused) < minSoundShare*float64(n) {
		return fmt.Sprintf("%d of %d sound prompts were refused because of a crashing part", refused, n)
	}
	return ""
}

// herdCalls counts the calls by which the daemon of a herd is judged, and those of them that it served. There are none
// if something else disturbed the daemon. Calls of a service whose targets limit their rate are left out: daemons have to
// refuse them.
func (r *Record) herdCalls(h *Herd) (n, served int) {
	if !r.undisturbed(h.Daemon, h.From, h.To, func(k Kind) bool { return isFault(k) || losesState(k) }) {
		return 0, 0
	}
	limited := r.limitedServices(h.From, h.To)
	for i := range r.Calls {
		c := &r.Calls[i]
		if c.Daemon != h.Daemon || c.Sent.Before(h.From.Add(undisturbedBefore)) || c.Sent.After(h.To) || c.Disconnected || c.TemporaryRoute != 0 || c.BadPart != "" || limited[c.Path.Service] {
			continue
		}
		n++
		if c.Status == 200 && c.Complete {
			served++
		}
	}
	return n, served
}

// limitedServices returns the services of which a target announced a rate limit between two times.
func (r *Record) limitedServices(from, to time.Time) map[string]bool {
	limited := map[string]bool{}
	for _, executions := range r.Executions {
		for _, e := range executions {
			if e.RateLimit != nil && e.Started.After(from) && e.Started.Before(to) {
				limited[e.Service] = true
			}
		}
	}
	return limited
}

// checkHerds checks that the daemon of a herd serves its callers.
func checkHerds(r *Record) []Violation {
	var list []Violation
	for i := range r.Herds {
		h := &r.Herds[i]
		if n, served := r.herdCalls(h); n >= minCallsJudged && float64(served) < minHerdShare*float64(n) {
			list = append(list, Violation{"RECOVER", fmt.Sprint("daemon ", h.Daemon), fmt.Sprintf("served %d of %d calls while most callers opened their connections to it", served, n)})
		}
	}
	return list
}
