// Package group plans which engines share a prompt that is larger than the memory of one
// engine.
//
// Each engine of a group holds one part of the prompt, in the order of the text. From the
// state of the targets the plan chooses few engines, those with the most free memory, in one
// data centre. Only a prompt that no data centre has room for, even when its engines are
// empty, spans the data centres of a region, since its KV cache then crosses between them. On
// every engine the plan leaves the headroom for short requests free.
package group

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
	"unicode/utf8"

	"doorstack.dev/core/routing"
	"github.com/go-faster/errors"
)

// Part is the part of a prompt that one target holds.
type Part struct {
	// Target is the ID of the target.
	Target string
	// PromptTokens is the length of the part. MemoryTokens is the memory it needs: the same,
	// plus room for the answer in the last part.
	PromptTokens, MemoryTokens int64
}

// ErrTooLarge means that the prompt does not fit into any region, even if all its engines were
// empty.
var ErrTooLarge = errors.New("the prompt is larger than the memory of all engines of a region")

// ErrNoRoom means that the engines are too full at the moment.
var ErrNoRoom = errors.New("the engines have no room for the prompt at the moment")

// minPartTokens is the smallest part for which an engine is added to a group.
const minPartTokens = 8192

// NewPlan divides a prompt over targets. Prompt is its length and output the maximum length of
// the answer, in tokens. NewPlan leaves the fraction headroom of each target's memory free, and
// tries home, the name of a data centre, first. It returns ErrNoRoom if the prompt fits only
// when the targets are less full, or when those that do not answer are back, and an error that wraps ErrTooLarge if it
// never fits.
func NewPlan(targets []routing.Target, prompt, output int64, headroom float64, home string) ([]Part, error) {
	usable := slices.DeleteFunc(slices.Clone(targets), func(t routing.Target) bool {
		return t.State != routing.Live || t.Unloaded || t.MemoryTokens == 0
	})
	fits := false
	for _, centre := range placeNames(usable, dataCentreOf, home) {
		here := slices.DeleteFunc(slices.Clone(usable), func(t routing.Target) bool { return t.DataCentre != centre })
		fits = fits || totalCapacity(here, headroom) >= prompt+output
		if plan := planWithin(here, prompt, output, headroom); plan != nil {
			return plan, nil
		}
	}
	if fits {
		return nil, ErrNoRoom
	}
	for _, region := range placeNames(usable, regionOf, "") {
		here := slices.DeleteFunc(slices.Clone(usable), func(t routing.Target) bool { return t.Region != region })
		if plan := planWithin(here, prompt, output, headroom); plan != nil {
			return plan, nil
		}
	}
	for _, region := range placeNames(targets, regionOf, "") {
		here := slices.DeleteFunc(slices.Clone(targets), func(t routing.Target) bool {
			return t.Region != region || t.Unloaded || t.State != routing.Live && t.State != routing.Unavailable
		})
		if totalCapacity(here, headroom) >= prompt+output {
			return nil, ErrNoRoom
		}
	}
	return nil, errors.Wrap(ErrTooLarge, fmt.Sprintf("%d tokens", prompt+output))
}

func dataCentreOf(t *routing.Target) string { return t.DataCentre }

func regionOf(t *routing.Target) string { return t.Region }

// placeNames returns the distinct names that place gives for the targets, sorted, with home
// first.
func placeNames(targets []routing.Target, place func(*routing.Target) string, home string) []string {
	var names []string
	for i := range targets {
		if name := place(&targets[i]); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if (a == home) != (b == home) {
			if a == home {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return names
}

// freeTokens returns the memory of a target that a part may take, in tokens.
func freeTokens(t *routing.Target, headroom float64) int64 {
	return int64(float64(t.MemoryTokens)*(1-headroom)) - t.Load.MemoryTokens
}

// totalCapacity returns the memory that parts may take of the targets when they are empty.
func totalCapacity(targets []routing.Target, headroom float64) int64 {
	sum := int64(0)
	for i := range targets {
		sum += int64(float64(targets[i].MemoryTokens) * (1 - headroom))
	}
	return sum
}

// planWithin plans with the given targets, those with the most free memory first, or returns
// nil. It leaves out targets that are reserved for a long request, hold a long prefill or have
// an open circuit breaker.
func planWithin(targets []routing.Target, prompt, output int64, headroom float64) []Part {
	free := slices.DeleteFunc(targets, func(t routing.Target) bool {
		return t.BreakerOpen || t.ReservedFor != "" || t.Load.LongPrefills > 0 || freeTokens(&t, headroom) < minPartTokens+output
	})
	slices.SortStableFunc(free, func(a, b routing.Target) int {
		return cmp.Or(cmp.Compare(freeTokens(&b, headroom), freeTokens(&a, headroom)), cmp.Compare(a.ID, b.ID))
	})
	var parts []Part
	left := prompt
	for i := range free {
		have := freeTokens(&free[i], headroom)
		// Each part leaves room for the answer, since any part may turn out to be the last.
		take := min(left, have-output)
		parts = append(parts, Part{Target: free[i].ID, PromptTokens: take, MemoryTokens: take})
		left -= take
		if left == 0 {
			parts[len(parts)-1].MemoryTokens += output
			return parts
		}
	}
	return nil
}

// Split cuts a text into the parts of a plan. Each part gets its PromptTokens times
// bytesPerToken bytes, and the last one the rest. A cut that would fall inside a character
// moves behind it: a partial character is not valid UTF-8 and would be replaced on its way to
// the engine.
func Split(text string, plan []Part, bytesPerToken int) []string {
	parts := make([]string, 0, len(plan))
	for i, p := range plan {
		end := min(len(text), int(p.PromptTokens)*bytesPerToken)
		for end < len(text) && !utf8.RuneStart(text[end]) {
			end++
		}
		if i == len(plan)-1 {
			end = len(text)
		}
		parts = append(parts, text[:end])
		text = text[end:]
	}
	return parts
}

// Backoff computes exponentially growing pauses with jitter.
type Backoff struct {
	Initial, Max time.Duration
	Seed         uint64

	rng  *rand.Rand
	next time.Duration
}

// Next returns the next pause: a random time between half of the current interval and all of
// it. The interval starts at Initial and doubles with each call, up to Max.
func (b *Backoff) Next() time.Duration {
	if b.rng == nil {
		b.rng = rand.New(rand.NewPCG(b.Seed, b.Seed))
		b.next = b.Initial
	}
	pause := b.next/2 + time.Duration(b.rng.Int64N(int64(b.next/2)+1))
	b.next = min(2*b.next, b.Max)
	return pause
}
