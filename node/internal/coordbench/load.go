package coordbench

import (
	"math"
	"math/rand/v2"
	"time"
)

// CallClass is a kind of call.
type CallClass struct {
	Name string
	// Rate is the calls a second for each engine.
	Rate float64
	// Prompt is the mean length of a prompt in tokens, PromptSpread the standard deviation of
	// its logarithm, and PromptMost the longest.
	MeanPrompt, PromptSigma, MaxPrompt float64
	// Events is the mean number of events of an answer, EventsSpread as above.
	MeanEvents, EventsSigma float64
	// Goal and GapGoal are what its callers want, Limit how long they wait.
	Goal, GapGoal, Timeout time.Duration
	// Worth is what a call of mean length is worth in time, a quarter of it when late.
	Value float64
	// Swing is the factor of the rate in the odd and in the even spans of rateFactorPeriod.
	RateFactors [2]float64
}

const (
	// rateFactorPeriod is how long the traffic stays as it is.
	rateFactorPeriod = 10 * time.Second
	// lateValueShare is the part of its worth that a late answer has.
	lateValueShare = 0.25
	// maxValueFactor bounds a call's worth, as a factor of that of one of mean length.
	maxValueFactor = 4
	// maxEventsFactor bounds an answer, as a factor of the mean.
	maxEventsFactor = 2.5
)

// patience is how long a caller waits without any event before it leaves.
func (k *CallClass) abandonAfter() time.Duration { return max(2*time.Second, 4*k.Goal, 8*k.GapGoal) }

// call is a call of a caller.
type call struct {
	id           int
	class        *CallClass
	arrival      time.Duration
	promptTokens int64
	events       int
	dataCentre   int
	value        float64

	coordinator  *coordinator
	attempt      int           // tries before this one
	sentAt       time.Duration // when its caller sent it, the last time
	engine       *simEngine
	pendingParts int // parts that no engine has read yet
	eventsSent   int
	firstEvent   time.Duration // when the first event came; zero until then
	lastEvent    time.Duration
	longestGap   time.Duration // the longest pause between two events
	refused      bool
	completed    bool
	abandoned    bool // its caller left, for want of an event
}

// onTime tells whether an answer that has ended met its goals.
func (c *call) onTime() bool {
	return c.completed && c.firstEvent-c.arrival <= c.class.Goal && c.longestGap <= c.class.GapGoal
}

// generateCalls draws the calls of a play.
func generateCalls(s *Setup) []*call {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	var list []*call
	for i := range s.Workload.Classes {
		k := &s.Workload.Classes[i]
		most := k.Rate * float64(s.Engines) * max(k.RateFactors[0], k.RateFactors[1]) * s.Load
		for at := 0.0; ; {
			at += rng.ExpFloat64() / most
			when := time.Duration(at * float64(time.Second))
			if when >= s.Duration {
				break
			}
			factor := k.RateFactors[int(when/rateFactorPeriod)%2]
			if rng.Float64() > factor/max(k.RateFactors[0], k.RateFactors[1]) {
				continue
			}
			prompt := min(k.MaxPrompt, lognormal(rng, k.MeanPrompt, k.PromptSigma))
			events := min(maxEventsFactor*k.MeanEvents, lognormal(rng, k.MeanEvents, k.EventsSigma))
			list = append(list, &call{
				class: k, arrival: when, sentAt: when, promptTokens: int64(math.Round(prompt)), events: max(1, int(math.Round(events))),
				dataCentre: s.drawDataCentre(when, rng), value: k.Value * min(maxValueFactor, 0.3+0.7*prompt/k.MeanPrompt),
			})
		}
	}
	for i, c := range list {
		c.id = i
	}
	return list
}

// lognormal draws a length with a mean and the standard deviation of its logarithm.
func lognormal(rng *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
}

// dataCentre draws where a call comes in. In the second half of a play in which callers move,
// half of all come in at the first data centre.
func (s *Setup) drawDataCentre(at time.Duration, rng *rand.Rand) int {
	draw, moved := rng.IntN(s.DataCentres), rng.Float64() < 0.5
	if s.MoveCallers && at >= s.Duration/2 && moved {
		return 0
	}
	return draw
}
