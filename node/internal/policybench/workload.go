// Package policybench simulates doorstack's routing policy with stand-in engines in
// virtual time and measures the times to first token. It compares the policy with
// simpler ones on the same requests, whose mix is that of one of the two users, Clara
// and Kilnmark (see package examples). The same seed gives the same results.
package policybench

import (
	"math"
	"math/rand/v2"
	"time"

	"doorstack.dev/node/target"
)

// Mix describes a stream of requests.
type Mix struct {
	Name string
	// LongShare is the share of requests with a long prompt: zero or drawnLongShare.
	LongShare float64
	// LongLevel and ShortLevel are the priority levels of long and short prompts.
	LongLevel, ShortLevel int
	// MedianShortPrompt is the median length of a short prompt, in tokens.
	MedianShortPrompt float64
	// MinLongPrompt and MaxLongPrompt bound the lengths of long prompts, in tokens, which
	// are drawn log-uniformly.
	MinLongPrompt, MaxLongPrompt float64
	// MeanOutput is the mean length of an answer, in tokens.
	MeanOutput float64
	// Prefixes is the number of shared prompt prefixes, PrefixTokens their length.
	Prefixes     int
	PrefixTokens int64
}

// Clara returns the mix of a booking assistant: many short prompts, and one in fifty is a long
// referral file.
func Clara() Mix {
	return Mix{Name: "clara", LongShare: 0.02, LongLevel: 2, MedianShortPrompt: 1500, MinLongPrompt: 100_000, MaxLongPrompt: 350_000, MeanOutput: 80, Prefixes: 20, PrefixTokens: 1024}
}

// Kilnmark returns the mix of a quality log: fewer and longer prompts, and long audits.
func Kilnmark() Mix {
	return Mix{Name: "kilnmark", LongShare: 0.02, LongLevel: 2, MedianShortPrompt: 4000, MinLongPrompt: 100_000, MaxLongPrompt: 400_000, MeanOutput: 150, Prefixes: 12, PrefixTokens: 2048}
}

// WithoutLong returns the mix with the same stream of short prompts and no long ones.
func (m Mix) WithoutLong() Mix {
	m.LongShare = 0
	return m
}

// request is a request of the stream and its progress.
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

// shortSigma is the standard deviation of the logarithm of a short prompt's length, which is
// log-normal.
const shortSigma = 0.7

// meanPrompt returns the mean length of a prompt, in tokens.
func (m Mix) meanPrompt() float64 {
	short := m.MedianShortPrompt * math.Exp(shortSigma*shortSigma/2)
	long := (m.MaxLongPrompt - m.MinLongPrompt) / math.Log(m.MaxLongPrompt/m.MinLongPrompt)
	return (1-m.LongShare)*short + m.LongShare*long
}

const (
	accountCount = 10
	daemonCount  = 6
)

// generateRequests draws the requests that arrive within length, at the given mean rate
// per second. Where LongShare is zero, long requests are still drawn and then dropped,
// so that leaving them out does not change the short ones.
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

// drawnLongShare is the share of requests that are drawn as long, whether kept or not.
const drawnLongShare = 0.02

// drawRequest draws a request without its arrival time.
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

// uniquePrefixes returns the prefix hashes of a prompt; no other prompt has the same hashes.
func uniquePrefixes(id int, prompt int64) []uint64 {
	var hashes []uint64
	for i := 0; target.PrefixTokens(i) <= prompt && i < 24; i++ {
		hashes = append(hashes, uint64(id+1000)<<40|uint64(i)<<1)
	}
	return hashes
}
