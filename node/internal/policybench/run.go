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
	Length time.Duration
	Seed   uint64
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// Kill ends an engine in the middle of the run.
	Kill bool
	Tree *settings.Tree
}

// engineCount is the number of engines: the users' pools of today.
const engineCount = 20

// Result is what a measurement gave.
type Result struct {
	Setup Setup
	// FirstToken holds the times to first token by length class, sorted.
	FirstToken map[string][]time.Duration
	// Lost requests had no first token at the end of the run.
	Lost int
	// Longest is the longest time to first token of a long prompt.
	Longest time.Duration
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
	setup    Setup
	start    time.Time
	queue    vtime.Queue
	engines  []*standin.Engine
	busy     []bool
	dead     []bool
	jobs     [][]*job
	policies []policy
	all      map[int]*request
	seen     [][]int64 // last cache event, by daemon and engine
}

type job struct {
	r       *request
	running *standin.RunningJob
}

// The pace of the daemons in a run.
const (
	reportEvery = 500 * time.Millisecond
	placeEvery  = 50 * time.Millisecond
	// tail is the time after the last arrival in which requests may still end.
	tail = 120 * time.Second
	// silentReports is how often a dead engine must be asked in vain.
	silentReports = 3
)

// Run measures. It must be called inside a synctest bubble.
func Run(s Setup) *Result {
	r := &run{setup: s, start: time.Now(), all: map[int]*request{}}
	cost := standin.DefaultCostModel()
	for i := range engineCount {
		e := standin.NewEngine(fmt.Sprint("e", i), cost, s.Tree.Pool("llm").Model)
		e.SetFaults(standin.Faults{ReportLag: s.ReportLag})
		r.engines = append(r.engines, e)
	}
	r.busy, r.dead, r.jobs = make([]bool, engineCount), make([]bool, engineCount), make([][]*job, engineCount)
	for d := range daemons {
		r.policies = append(r.policies, policyNamed(s.Policy)(d, engineCount, s.Tree, s.Seed))
		r.seen = append(r.seen, make([]int64, engineCount))
	}
	perToken := cost.PerPromptToken + cost.FixedStepTime/time.Duration(cost.StepTokenBudget)
	rate := s.Load * engineCount / (s.Mix.ratePrompt() * perToken.Seconds())
	r.schedule(s.Mix.requests(rate, s.Length, s.Seed))
	r.loop()
	return r.result()
}

// ratePrompt is the mean prompt of the whole mix, long ones included, so that a
// mix without them has the same stream of short ones.
func (m Mix) ratePrompt() float64 {
	m.LongShare = longDraw
	return m.meanPrompt()
}

func (r *run) now() time.Duration { return time.Since(r.start) }

func (r *run) schedule(requests []*request) {
	for _, q := range requests {
		r.all[q.id] = q
		r.queue.At(q.at, func() {
			r.policies[q.daemon].offer(q)
			r.place(q.daemon)
		})
	}
	for d := range daemons {
		offset := time.Duration(d) * reportEvery / daemons
		r.every(offset, reportEvery, func() { r.report(d) })
		r.every(offset, placeEvery, func() { r.place(d) })
	}
	if r.setup.Kill {
		r.queue.At(r.setup.Length/2, func() { r.kill(0) })
	}
}

// every repeats until the end of the run.
func (r *run) every(at, period time.Duration, do func()) {
	if at > r.setup.Length+tail {
		return
	}
	r.queue.At(at, func() {
		do()
		r.every(at+period, period, do)
	})
}

func (r *run) loop() {
	for {
		at, do, ok := r.queue.Next()
		if !ok {
			return
		}
		if wait := at - r.now(); wait > 0 {
			time.Sleep(wait)
		}
		if r.now() > r.setup.Length+tail {
			return
		}
		do()
	}
}

func (r *run) place(d int) {
	list := r.policies[d].place(time.Now())
	slices.SortFunc(list, func(a, b placed) int { return cmp.Compare(a.r.id, b.r.id) })
	for _, p := range list {
		r.submit(r.all[p.r.id], p.engine)
	}
}

func (r *run) submit(q *request, engine int) {
	if r.dead[engine] {
		r.fail(q)
		return
	}
	running := r.engines[engine].Submit(standin.Job{
		Attempt: fmt.Sprint(q.id), PromptTokens: q.prompt, OutputTokens: q.output, Level: q.level, Prefixes: q.prefixes,
	})
	r.jobs[engine] = append(r.jobs[engine], &job{q, running})
	if !r.busy[engine] {
		r.busy[engine] = true
		r.queue.At(r.now(), func() { r.step(engine) })
	}
}

// fail gives a request back to its daemon, which places it again.
func (r *run) fail(q *request) {
	p := r.policies[q.daemon]
	p.failed(q, time.Now())
	r.queue.At(r.now()+time.Millisecond, func() {
		p.offer(q)
		r.place(q.daemon)
	})
}

func (r *run) kill(engine int) {
	r.dead[engine] = true
	jobs := r.jobs[engine]
	r.jobs[engine] = nil
	for _, j := range jobs {
		r.fail(j.r)
	}
}

// step does a step of an engine; what it brings is seen when the step is over.
func (r *run) step(engine int) {
	if r.dead[engine] {
		return
	}
	duration, work := r.engines[engine].Step()
	if !work {
		r.busy[engine] = false
		return
	}
	r.queue.At(r.now()+duration, func() {
		r.observe(engine)
		r.step(engine)
	})
}

func (r *run) observe(engine int) {
	if r.dead[engine] {
		return
	}
	now := time.Now()
	wake := map[int]bool{}
	r.jobs[engine] = slices.DeleteFunc(r.jobs[engine], func(j *job) bool {
		if j.r.first == 0 && j.running.HasFirstToken() {
			j.r.first = r.now() - j.r.at
			r.policies[j.r.daemon].started(j.r, now)
			wake[j.r.daemon] = true
		}
		if !j.running.Ended() {
			return false
		}
		j.r.ended = true
		r.policies[j.r.daemon].ended(j.r, now)
		wake[j.r.daemon] = true
		return true
	})
	for d := range daemons {
		if wake[d] {
			r.place(d)
		}
	}
}

func (r *run) report(d int) {
	now := time.Now()
	for i, e := range r.engines {
		if r.dead[i] {
			for range silentReports {
				r.policies[d].silent(i, now)
			}
			continue
		}
		r.policies[d].report(i, e.Report(), now)
		events := e.CacheEventsAfter(r.seen[d][i])
		if len(events) > 0 {
			r.seen[d][i] = events[len(events)-1].Sequence
		}
		r.policies[d].events(i, events)
	}
}

func (r *run) result() *Result {
	result := &Result{Setup: r.setup, FirstToken: map[string][]time.Duration{}}
	for _, q := range r.all {
		if q.first == 0 {
			result.Lost++
			continue
		}
		class := Short
		if q.long {
			class = Long
			result.Longest = max(result.Longest, q.first)
		}
		result.FirstToken[class] = append(result.FirstToken[class], q.first)
	}
	for _, list := range result.FirstToken {
		slices.Sort(list)
	}
	return result
}
