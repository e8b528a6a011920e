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
	ShortMedian float64
	// LongLow and LongHigh bound the long prompts, whose logarithm is uniform.
	LongLow, LongHigh float64
	// OutputTokens is the mean length of an answer.
	OutputTokens float64
	// Prefixes is the number of shared beginnings, PrefixTokens their length.
	Prefixes     int
	PrefixTokens int64
}

// Clara asks many short questions, and one in fifty is a referral file.
func Clara() Mix {
	return Mix{Name: "clara", LongShare: 0.02, LongLevel: 2, ShortMedian: 1500, LongLow: 100_000, LongHigh: 350_000, OutputTokens: 80, Prefixes: 20, PrefixTokens: 1024}
}

// Kilnmark asks less often and longer, and audits are long.
func Kilnmark() Mix {
	return Mix{Name: "kilnmark", LongShare: 0.02, LongLevel: 2, ShortMedian: 4000, LongLow: 100_000, LongHigh: 400_000, OutputTokens: 150, Prefixes: 12, PrefixTokens: 2048}
}

// WithoutLong is the same stream of short requests alone.
func (m Mix) WithoutLong() Mix {
	m.LongShare = 0
	return m
}

// request is a request of the stream.
type request struct {
	id       int
	at       time.Duration
	prompt   int64
	output   int64
	long     bool
	level    int
	prefixes []uint64
	daemon   int
	account  int

	first time.Duration // time to first token; zero until then
	ended bool
}

// meanShort is the mean length of a short prompt: a log-normal's.
const shortSigma = 0.7

func (m Mix) meanPrompt() float64 {
	short := m.ShortMedian * math.Exp(shortSigma*shortSigma/2)
	long := (m.LongHigh - m.LongLow) / math.Log(m.LongHigh/m.LongLow)
	return (1-m.LongShare)*short + m.LongShare*long
}

const (
	accounts = 10
	daemons  = 6
)

// requests draws the stream for a time at a rate. Long and short requests are
// drawn from sources of their own, so that leaving the long ones out does not
// change the short ones.
func (m Mix) requests(rate float64, length time.Duration, seed uint64) []*request {
	arrivals := rand.New(rand.NewPCG(seed, 1))
	sizes := rand.New(rand.NewPCG(seed, 2))
	var list []*request
	at := 0.0
	for id := 0; ; id++ {
		at += arrivals.ExpFloat64() / rate
		if at > length.Seconds() {
			return list
		}
		r := m.draw(sizes, id)
		r.at = time.Duration(at * float64(time.Second))
		if r.long && m.LongShare == 0 {
			continue
		}
		list = append(list, r)
	}
}

// longDraw is the part of requests that are drawn as long, whether kept or not.
const longDraw = 0.02

func (m Mix) draw(rng *rand.Rand, id int) *request {
	r := &request{id: id, level: m.ShortLevel, daemon: rng.IntN(daemons), account: rng.IntN(accounts)}
	size, prefix := rng.Float64(), rng.IntN(max(1, m.Prefixes))
	normal, output := rng.NormFloat64(), rng.ExpFloat64()
	r.output = 1 + int64(min(output, 4)*m.OutputTokens)
	if rng.Float64() < longDraw {
		r.long, r.level = true, m.LongLevel
		r.prompt = int64(m.LongLow * math.Pow(m.LongHigh/m.LongLow, size))
		r.prefixes = ownPrefixes(id, r.prompt)
		return r
	}
	r.prompt = max(200, min(30_000, int64(m.ShortMedian*math.Exp(shortSigma*normal))))
	r.prefixes = ownPrefixes(id, r.prompt)
	for i := range r.prefixes {
		if target.PrefixTokens(i) <= m.PrefixTokens {
			r.prefixes[i] = uint64(prefix)<<32 | uint64(i)<<1 | 1
		}
	}
	return r
}

// ownPrefixes are hashes that no other prompt shares.
func ownPrefixes(id int, prompt int64) []uint64 {
	var hashes []uint64
	for i := 0; target.PrefixTokens(i) <= prompt && i < 24; i++ {
		hashes = append(hashes, uint64(id+1000)<<40|uint64(i)<<1)
	}
	return hashes
}
