package coordbench

import (
	"math"
	"math/rand/v2"
	"time"
)

// CallClass describes the calls of one kind.
type CallClass struct {
	Name string
	// Rate is the mean number of calls per second and engine.
	Rate float64
	// MeanPrompt is the mean length of a prompt in tokens, PromptSigma the standard deviation
	// of its logarithm, and MaxPrompt the maximum length.
	MeanPrompt, PromptSigma, MaxPrompt float64
	// MeanEvents is the mean number of events of an answer, EventsSigma the standard deviation
	// of its logarithm. An event carries the tokens that a pass decodes for the call.
	MeanEvents, EventsSigma float64
	// Goal is the wanted time to the first event, GapGoal the longest wanted gap between two
	// events, and Timeout how long a call may wait for its placement.
	Goal, GapGoal, Timeout time.Duration
	// Value is the value of a call of mean prompt length that is answered in time, in a unit
	// common to all classes. A longer prompt has a higher value.
	Value float64
	// RateFactors are factors of Rate that alternate every rateFactorPeriod, index 0 first.
	RateFactors [2]float64
}

const (
	// rateFactorPeriod is the time between two changes of the rates.
	rateFactorPeriod = 10 * time.Second
	// lateValueShare is the share of its value that a late answer earns.
	lateValueShare = 0.25
	// maxValueFactor bounds a call's value, as a factor of its class's Value.
	maxValueFactor = 4
	// maxEventsFactor bounds an answer's number of events, as a factor of the mean.
	maxEventsFactor = 2.5
)

// abandonAfter returns how long a caller waits for the first or the next event before it disconnects.
// The simulation only records this: the engines answer an abandoned call to its end.
func (k *CallClass) abandonAfter() time.Duration { return max(2*time.Second, 4*k.Goal, 8*k.GapGoal) }

// call is a simulated call and its progress. Times are since the start of the simulation.
type call struct {
	id           int
	class        *CallClass
	arrival      time.Duration
	promptTokens int64
	events       int
	dataCentre   int
	account      int
	value        float64

	coordinator  *coordinator
	attempt      int           // number of earlier attempts
	sentAt       time.Duration // when the caller sent the current attempt
	engine       *simEngine
	pendingParts int // parts of the prompt that are not prefilled yet
	eventsSent   int
	firstEvent   time.Duration // arrival of the first event; zero until then
	lastEvent    time.Duration // arrival of the last event so far
	longestGap   time.Duration // longest time between two events
	refused      bool
	completed    bool
	abandoned    bool // the caller disconnected, having waited too long for an event
}

// onTime reports whether the answer is complete and met both goals.
func (c *call) onTime() bool {
	return c.completed && c.firstEvent-c.arrival <= c.class.Goal && c.longestGap <= c.class.GapGoal
}

// generateCalls draws the calls of a simulation. Arrivals are a Poisson process at the highest rate
// of a class, thinned to the rate of the period.
func generateCalls(s *Setup) []*call {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	var list []*call
	for i := range s.Workload.Classes {
		k := &s.Workload.Classes[i]
		maxRate := k.Rate * float64(s.Engines) * max(k.RateFactors[0], k.RateFactors[1]) * s.Load
		for at := 0.0; ; {
			at += rng.ExpFloat64() / maxRate
			arrival := time.Duration(at * float64(time.Second))
			if arrival >= s.Duration {
				break
			}
			factor := k.RateFactors[int(arrival/rateFactorPeriod)%2]
			if rng.Float64() > factor/max(k.RateFactors[0], k.RateFactors[1]) {
				continue
			}
			prompt := min(k.MaxPrompt, lognormal(rng, k.MeanPrompt, k.PromptSigma))
			events := min(maxEventsFactor*k.MeanEvents, lognormal(rng, k.MeanEvents, k.EventsSigma))
			list = append(list, &call{
				class: k, arrival: arrival, sentAt: arrival, promptTokens: int64(math.Round(prompt)), events: max(1, int(math.Round(events))),
				dataCentre: s.drawDataCentre(arrival, rng), value: k.Value * min(maxValueFactor, 0.3+0.7*prompt/k.MeanPrompt),
			})
		}
	}
	accountRNG := rand.New(rand.NewPCG(s.Seed, 3)) // The other draws do not depend on the accounts.
	for i, c := range list {
		c.id = i
		c.account = i % 40
		if s.Accounts != nil {
			c.account = drawIndex(s.Accounts, accountRNG)
		}
	}
	return list
}

// drawIndex draws an index with probabilities in proportion to the weights.
func drawIndex(weights []float64, rng *rand.Rand) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	draw := rng.Float64() * sum
	for i, w := range weights {
		if draw < w {
			return i
		}
		draw -= w
	}
	return len(weights) - 1
}

// lognormal draws from the log-normal distribution of the given mean, where sigma is the standard
// deviation of the logarithm.
func lognormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// drawDataCentre draws the data centre where a call arrives. With MoveCallers, half of the calls in
// the second half of the simulation are moved from the data centre drawn to the first one.
func (s *Setup) drawDataCentre(at time.Duration, rng *rand.Rand) int {
	draw, moved := rng.IntN(s.DataCentres), rng.Float64() < 0.5
	if s.MoveCallers && at >= s.Duration/2 && moved {
		return 0
	}
	return draw
}
