package coordbench

import (
	"math"
	"math/rand/v2"
	"time"
)

// class is a kind of call.
type class struct {
	name string
	// rate is the calls a second for each engine, prompt the mean length of a prompt.
	rate   float64
	prompt float64
	// events is the number of events of an answer.
	events int
	// goal and gapGoal are what its callers want, limit how long they wait.
	goal, gapGoal, limit time.Duration
	// worth is what a call of mean length is worth in time, a quarter of it when late.
	worth float64
	// swing is the factor of the rate in the odd and in the even spans of swingEvery.
	swing [2]float64
}

// The users' load on a pool of 150 engines (the largest deployment served), in calls for each
// engine. Swings take their traffic from long prompts to short ones and back. Audits are a fifth
// shorter than the users' own, so that each fits into the memory of one engine.
var classes = []class{
	{"chat", 1.38, 5_000, 24, 400 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second, 1.3, [2]float64{2.5, 0.35}},
	{"review", 0.101, 45_000, 14, 1500 * time.Millisecond, 800 * time.Millisecond, 10 * time.Second, 3.1, [2]float64{1, 1}},
	{"audit", 0.0335, 170_000, 12, 4 * time.Second, 1200 * time.Millisecond, 15 * time.Second, 26, [2]float64{0.1, 2.8}},
}

const (
	// swingEvery is how long the traffic stays as it is.
	swingEvery = 10 * time.Second
	// lateWorth is the part of its worth that a late answer has.
	lateWorth = 0.25
	// spread is the part of the mean by which prompts are shorter or longer.
	spread = 0.75
)

// call is a call of a caller.
type call struct {
	id         int
	class      *class
	at         time.Duration
	prompt     int64
	dataCentre int
	worth      float64

	by      *coordinator
	engine  *passEngine
	unread  int // parts that no engine has read yet
	written int
	first   time.Duration // when the first event came; zero until then
	last    time.Duration
	gap     time.Duration // the longest pause between two events
	refused bool
	ended   bool
}

// onTime tells whether an answer that has ended met its goals.
func (c *call) onTime() bool {
	return c.ended && c.first-c.at <= c.class.goal && c.gap <= c.class.gapGoal
}

// calls draws the calls of a play.
func calls(s *Setup) []*call {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	var list []*call
	for i := range classes {
		k := &classes[i]
		most := k.rate * float64(s.Engines) * max(k.swing[0], k.swing[1]) * s.Load
		for at := 0.0; ; {
			at += rng.ExpFloat64() / most
			when := time.Duration(at * float64(time.Second))
			if when >= s.Length {
				break
			}
			factor := k.swing[int(when/swingEvery)%2]
			if rng.Float64() > factor/max(k.swing[0], k.swing[1]) {
				continue
			}
			prompt := k.prompt * (1 + spread*(2*rng.Float64()-1))
			list = append(list, &call{
				class: k, at: when, prompt: int64(math.Round(prompt)), dataCentre: s.dataCentre(when, rng),
				worth: k.worth * (0.3 + 0.7*prompt/k.prompt),
			})
		}
	}
	for i, c := range list {
		c.id = i
	}
	return list
}

// dataCentre draws where a call comes in. In the second half of a play in which callers move,
// half of all come in at the first data centre.
func (s *Setup) dataCentre(at time.Duration, rng *rand.Rand) int {
	draw, moved := rng.IntN(s.DataCentres), rng.Float64() < 0.5
	if s.Move && at >= s.Length/2 && moved {
		return 0
	}
	return draw
}
