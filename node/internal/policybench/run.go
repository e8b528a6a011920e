package policybench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"doorstack.dev/core/settings"
	"doorstack.dev/node/internal/standin"
	"doorstack.dev/node/internal/vtime"
)

// Setup holds the parameters of a run.
type Setup struct {
	Mix    Mix
	Policy string
	// Load is the offered load as a share of the engines' prefill capacity.
	Load float64
	// Duration is the virtual time in which requests arrive.
	Duration time.Duration
	Seed     uint64
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// KillEngine reports whether an engine is killed halfway through Duration.
	KillEngine bool
	Tree       *settings.Tree
}

// engineCount is the number of engines, as in the present pools of the two users.
const engineCount = 20

// Result is the outcome of a run.
type Result struct {
	Setup Setup
	// FirstToken holds the times to first token by class of prompt length, sorted.
	FirstToken map[string][]time.Duration
	// Unanswered is the number of requests without a first token at the end of the run.
	Unanswered int
	// MaxLongFirstToken is the longest time to first token of a long prompt.
	MaxLongFirstToken time.Duration
}

// Quantile returns the quantile q of a class's times to first token, and zero for an empty class.
func (r *Result) Quantile(class string, q float64) time.Duration {
	list := r.FirstToken[class]
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// The classes of prompt length.
const (
	Short = "short"
	Long  = "long"
)

// run is the state of a run. It executes in the virtual time of a synctest bubble,
// in one goroutine, so that nothing depends on scheduling.
type run struct {
	setup          Setup
	start          time.Time
	events         vtime.Queue
	engines        []*standin.Engine
	busy           []bool
	killed         []bool
	jobs           [][]*job
	policies       []policy // the policy of Setup.Policy, by daemon
	requests       map[int]*request
	lastCacheEvent [][]int64 // sequence number seen last, by daemon and engine
}

// job is a request submitted to an engine.
type job struct {
	request *request
	running *standin.RunningJob
}

// The daemons' intervals in a run.
const (
	reportInterval = 500 * time.Millisecond
	placeInterval  = 50 * time.Millisecond
	// drainTime is the time after Setup.Duration in which requests may still complete.
	drainTime = 120 * time.Second
	// missedReports is the number of missed reports that each poll of a killed engine records: as
	// many as make a daemon take a target for dead, so that the first poll is enough.
	missedReports = 3
)

// Run runs a setup and returns its outcome. It must be called inside a synctest bubble.
func Run(s Setup) *Result {
	r := &run{setup: s, start: time.Now(), requests: map[int]*request{}}
	cost := standin.DefaultCostModel()
	for i := range engineCount {
		e := standin.NewEngine(fmt.Sprint("e", i), cost, s.Tree.Pool("llm").Model)
		e.SetFaults(standin.Faults{ReportLag: s.ReportLag})
		r.engines = append(r.engines, e)
	}
	r.busy, r.killed, r.jobs = make([]bool, engineCount), make([]bool, engineCount), make([][]*job, engineCount)
	for d := range daemonCount {
		r.policies = append(r.policies, constructorOf(s.Policy)(d, engineCount, s.Tree, s.Seed))
		r.lastCacheEvent = append(r.lastCacheEvent, make([]int64, engineCount))
	}
	perToken := cost.PerPromptToken + cost.FixedStepTime/time.Duration(cost.StepTokenBudget)
	rate := s.Load * engineCount / (s.Mix.meanPromptWithLong() * perToken.Seconds())
	r.schedule(s.Mix.generateRequests(rate, s.Duration, s.Seed))
	r.runEvents()
	return r.summarize()
}

// meanPromptWithLong returns the mean prompt length of the mix including long prompts.
// Run derives the rate of requests from it, so that a mix without long prompts has the
// same stream of short prompts.
func (m Mix) meanPromptWithLong() float64 {
	m.LongShare = drawnLongShare
	return m.meanPrompt()
}

// now returns the virtual time since the start of the run.
func (r *run) now() time.Duration { return time.Since(r.start) }

// schedule schedules the arrivals and the daemons' periodic work.
func (r *run) schedule(requests []*request) {
	for _, q := range requests {
		r.requests[q.id] = q
		r.events.Schedule(q.arrival, func() {
			r.policies[q.daemon].enqueue(q)
			r.place(q.daemon)
		})
	}
	for d := range daemonCount {
		offset := time.Duration(d) * reportInterval / daemonCount
		r.scheduleEvery(offset, reportInterval, func() { r.pollEngines(d) })
		r.scheduleEvery(offset, placeInterval, func() { r.place(d) })
	}
	if r.setup.KillEngine {
		r.events.Schedule(r.setup.Duration/2, func() { r.killEngine(0) })
	}
}

// scheduleEvery schedules do at a time and then once each period, until the end of the run.
func (r *run) scheduleEvery(at, period time.Duration, do func()) {
	if at > r.setup.Duration+drainTime {
		return
	}
	r.events.Schedule(at, func() {
		do()
		r.scheduleEvery(at+period, period, do)
	})
}

// runEvents executes events until the end of the run.
func (r *run) runEvents() {
	for {
		at, do, ok := r.events.Next()
		if !ok {
			return
		}
		if wait := at - r.now(); wait > 0 {
			time.Sleep(wait)
		}
		if r.now() > r.setup.Duration+drainTime {
			return
		}
		do()
	}
}

// place submits the requests that a daemon's policy places now, in order of their IDs.
func (r *run) place(d int) {
	list := r.policies[d].place(time.Now())
	slices.SortFunc(list, func(a, b placement) int { return cmp.Compare(a.request.id, b.request.id) })
	for _, p := range list {
		r.submit(r.requests[p.request.id], p.engine)
	}
}

// submit sends a request to an engine; at a killed engine the request fails.
func (r *run) submit(q *request, engine int) {
	if r.killed[engine] {
		r.failRequest(q)
		return
	}
	running := r.engines[engine].Submit(standin.Job{
		Attempt: fmt.Sprint(q.id), PromptTokens: q.promptTokens, OutputTokens: q.outputTokens, Level: q.level, Prefixes: q.prefixes,
	})
	r.jobs[engine] = append(r.jobs[engine], &job{q, running})
	if !r.busy[engine] {
		r.busy[engine] = true
		r.events.Schedule(r.now(), func() { r.step(engine) })
	}
}

// failRequest returns a failed request to its daemon, which places it again.
func (r *run) failRequest(q *request) {
	p := r.policies[q.daemon]
	p.recordFailed(q, time.Now())
	r.events.Schedule(r.now()+time.Millisecond, func() {
		p.enqueue(q)
		r.place(q.daemon)
	})
}

// killEngine ends an engine, and all its requests fail.
func (r *run) killEngine(engine int) {
	r.killed[engine] = true
	jobs := r.jobs[engine]
	r.jobs[engine] = nil
	for _, j := range jobs {
		r.failRequest(j.request)
	}
}

// step executes a step of an engine; the daemons see its outcome at the end of the step.
func (r *run) step(engine int) {
	if r.killed[engine] {
		return
	}
	duration, work := r.engines[engine].Step()
	if !work {
		r.busy[engine] = false
		return
	}
	r.events.Schedule(r.now()+duration, func() {
		r.recordProgress(engine)
		r.step(engine)
	})
}

// recordProgress informs the daemons of first tokens and completed requests at an engine.
func (r *run) recordProgress(engine int) {
	if r.killed[engine] {
		return
	}
	now := time.Now()
	wake := map[int]bool{}
	r.jobs[engine] = slices.DeleteFunc(r.jobs[engine], func(j *job) bool {
		if j.request.firstToken == 0 && j.running.HasFirstToken() {
			j.request.firstToken = r.now() - j.request.arrival
			r.policies[j.request.daemon].recordFirstToken(j.request, now)
			wake[j.request.daemon] = true
		}
		if !j.running.Ended() {
			return false
		}
		j.request.completed = true
		r.policies[j.request.daemon].recordCompleted(j.request, now)
		wake[j.request.daemon] = true
		return true
	})
	for d := range daemonCount {
		if wake[d] {
			r.place(d)
		}
	}
}

// pollEngines passes each engine's load report and new cache events to a daemon's policy.
func (r *run) pollEngines(d int) {
	now := time.Now()
	for i, e := range r.engines {
		if r.killed[i] {
			for range missedReports {
				r.policies[d].recordMissedReport(i, now)
			}
			continue
		}
		r.policies[d].recordReport(i, e.Report(), now)
		events := e.CacheEventsAfter(r.lastCacheEvent[d][i])
		if len(events) > 0 {
			r.lastCacheEvent[d][i] = events[len(events)-1].Sequence
		}
		r.policies[d].recordCacheEvents(i, events)
	}
}

// summarize returns the outcome of all requests.
func (r *run) summarize() *Result {
	result := &Result{Setup: r.setup, FirstToken: map[string][]time.Duration{}}
	for _, q := range r.requests {
		if q.firstToken == 0 {
			result.Unanswered++
			continue
		}
		class := Short
		if q.long {
			class = Long
			result.MaxLongFirstToken = max(result.MaxLongFirstToken, q.firstToken)
		}
		result.FirstToken[class] = append(result.FirstToken[class], q.firstToken)
	}
	for _, list := range result.FirstToken {
		slices.Sort(list)
	}
	return result
}
