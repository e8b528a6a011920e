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

// Setup is one measurement.
type Setup struct {
	Mix    Mix
	Policy string
	// Load is the offered work as a part of what the engines can read.
	Load float64
	// Length is the virtual time of arrivals.
	Duration time.Duration
	Seed     uint64
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// Kill ends an engine in the middle of the run.
	KillEngine bool
	Tree       *settings.Tree
}

// engineCount is the number of engines: the users' pools of today.
const engineCount = 20

// Result is what a measurement gave.
type Result struct {
	Setup Setup
	// FirstToken holds the times to first token by length class, sorted.
	FirstToken map[string][]time.Duration
	// Lost requests had no first token at the end of the run.
	Unanswered int
	// Longest is the longest time to first token of a long prompt.
	MaxLongFirstToken time.Duration
}

// Quantile is a quantile of a class's times to first token.
func (r *Result) Quantile(class string, q float64) time.Duration {
	list := r.FirstToken[class]
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// The classes of length.
const (
	Short = "short"
	Long  = "long"
)

// run is a measurement in progress. It works in the virtual time of a synctest
// bubble, in one goroutine, so that nothing depends on scheduling.
type run struct {
	setup          Setup
	start          time.Time
	events         vtime.Queue
	engines        []*standin.Engine
	busy           []bool
	killed         []bool
	jobs           [][]*job
	policies       []policy
	requests       map[int]*request
	lastCacheEvent [][]int64 // last cache event, by daemon and engine
}

type job struct {
	request *request
	running *standin.RunningJob
}

// The pace of the daemons in a run.
const (
	reportInterval = 500 * time.Millisecond
	placeInterval  = 50 * time.Millisecond
	// tail is the time after the last arrival in which requests may still end.
	drainTime = 120 * time.Second
	// missedReports is how often a dead engine must be asked in vain.
	missedReports = 3
)

// Run measures. It must be called inside a synctest bubble.
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

// ratePrompt is the mean prompt of the whole mix, long ones included, so that a
// mix without them has the same stream of short ones.
func (m Mix) meanPromptWithLong() float64 {
	m.LongShare = drawnLongShare
	return m.meanPrompt()
}

func (r *run) now() time.Duration { return time.Since(r.start) }

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

// every repeats until the end of the run.
func (r *run) scheduleEvery(at, period time.Duration, do func()) {
	if at > r.setup.Duration+drainTime {
		return
	}
	r.events.Schedule(at, func() {
		do()
		r.scheduleEvery(at+period, period, do)
	})
}

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

func (r *run) place(d int) {
	list := r.policies[d].place(time.Now())
	slices.SortFunc(list, func(a, b placement) int { return cmp.Compare(a.request.id, b.request.id) })
	for _, p := range list {
		r.submit(r.requests[p.request.id], p.engine)
	}
}

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

// fail gives a request back to its daemon, which places it again.
func (r *run) failRequest(q *request) {
	p := r.policies[q.daemon]
	p.recordFailed(q, time.Now())
	r.events.Schedule(r.now()+time.Millisecond, func() {
		p.enqueue(q)
		r.place(q.daemon)
	})
}

func (r *run) killEngine(engine int) {
	r.killed[engine] = true
	jobs := r.jobs[engine]
	r.jobs[engine] = nil
	for _, j := range jobs {
		r.failRequest(j.request)
	}
}

// step does a step of an engine; what it brings is seen when the step is over.
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
