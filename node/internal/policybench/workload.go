// Package policybench measures the routing policy over stand-in engines in
// virtual time: the same seed gives the same figures. It compares the policy with
// simpler ones in the same run, on the mixes of both users.
package policybench

import (
	"math"
	"math/rand/v2"
	"time"

	"doorstack.dev/node/target"
)

// Mix is a stream of requests.
type Mix struct {
	Name string
	// LongShare is the part of requests with a long prompt.
	LongShare float64
	// LongLevel and ShortLevel are their priorities.
	LongLevel, ShortLevel int
	// ShortMedian is the median length of a short prompt, in tokens.
	MedianShortPrompt float64
	// LongLow and LongHigh bound the long prompts, whose logarithm is uniform.
	MinLongPrompt, MaxLongPrompt float64
	// OutputTokens is the mean length of an answer.
	MeanOutput float64
	// Prefixes is the number of shared beginnings, PrefixTokens their length.
	Prefixes     int
	PrefixTokens int64
}

// Clara asks many short questions, and one in fifty is a referral file.
func Clara() Mix {
	return Mix{Name: "clara", LongShare: 0.02, LongLevel: 2, MedianShortPrompt: 1500, MinLongPrompt: 100_000, MaxLongPrompt: 350_000, MeanOutput: 80, Prefixes: 20, PrefixTokens: 1024}
}

// Kilnmark asks less often and longer, and audits are long.
func Kilnmark() Mix {
	return Mix{Name: "kilnmark", LongShare: 0.02, LongLevel: 2, MedianShortPrompt: 4000, MinLongPrompt: 100_000, MaxLongPrompt: 400_000, MeanOutput: 150, Prefixes: 12, PrefixTokens: 2048}
}

// WithoutLong is the same stream of short requests alone.
func (m Mix) WithoutLong() Mix {
	m.LongShare = 0
	return m
}

// request is a request of the stream.
type request struct {
	id           int
	arrival      time.Duration
	promptTokens int64
	outputTokens int64
	long         bool
	level        int
	prefixes     []uint64
	daemon       int
	account      int

	firstToken time.Duration // time to first token; zero until then
	completed  bool
}

// meanShort is the mean length of a short prompt: a log-normal's.
const shortSigma = 0.7

func (m Mix) meanPrompt() float64 {
	short := m.MedianShortPrompt * math.Exp(shortSigma*shortSigma/2)
	long := (m.MaxLongPrompt - m.MinLongPrompt) / math.Log(m.MaxLongPrompt/m.MinLongPrompt)
	return (1-m.LongShare)*short + m.LongShare*long
}

const (
	accountCount = 10
	daemonCount  = 6
)

// requests draws the stream for a time at a rate. Long and short requests are
// drawn from sources of their own, so that leaving the long ones out does not
// change the short ones.
func (m Mix) generateRequests(rate float64, length time.Duration, seed uint64) []*request {
	arrivals := rand.New(rand.NewPCG(seed, 1))
	sizes := rand.New(rand.NewPCG(seed, 2))
	var list []*request
	at := 0.0
	for id := 0; ; id++ {
		at += arrivals.ExpFloat64() / rate
		if at > length.Seconds() {
			return list
		}
		r := m.drawRequest(sizes, id)
		r.arrival = time.Duration(at * float64(time.Second))
		if r.long && m.LongShare == 0 {
			continue
		}
		list = append(list, r)
	}
}

// drawnLongShare is the part of requests that are drawn as long, whether kept or not.
const drawnLongShare = 0.02

func (m Mix) drawRequest(rng *rand.Rand, id int) *request {
	r := &request{id: id, level: m.ShortLevel, daemon: rng.IntN(daemonCount), account: rng.IntN(accountCount)}
	size, prefix := rng.Float64(), rng.IntN(max(1, m.Prefixes))
	normal, output := rng.NormFloat64(), rng.ExpFloat64()
	r.outputTokens = 1 + int64(min(output, 4)*m.MeanOutput)
	if rng.Float64() < drawnLongShare {
		r.long, r.level = true, m.LongLevel
		r.promptTokens = int64(m.MinLongPrompt * math.Pow(m.MaxLongPrompt/m.MinLongPrompt, size))
		r.prefixes = uniquePrefixes(id, r.promptTokens)
		return r
	}
	r.promptTokens = max(200, min(30_000, int64(m.MedianShortPrompt*math.Exp(shortSigma*normal))))
	r.prefixes = uniquePrefixes(id, r.promptTokens)
	for i := range r.prefixes {
		if target.PrefixTokens(i) <= m.PrefixTokens {
			r.prefixes[i] = uint64(prefix)<<32 | uint64(i)<<1 | 1
		}
	}
	return r
}

// uniquePrefixes are hashes that no other prompt shares.
func uniquePrefixes(id int, prompt int64) []uint64 {
	var hashes []uint64
	for i := 0; target.PrefixTokens(i) <= prompt && i < 24; i++ {
		hashes = append(hashes, uint64(id+1000)<<40|uint64(i)<<1)
	}
	return hashes
}
