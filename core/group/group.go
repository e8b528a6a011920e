// Package group plans how a prompt larger than one engine's memory is spread
// over several.
//
// The engines of a group hold one part of the prompt each, in the order of the
// text. The plan prefers few engines, those with the most free memory, and all in
// one data centre; only a prompt that no data centre has room for, even when
// empty, spans those of a region, as its KV cache then crosses between them. It
// leaves the headroom for short requests free on each.
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

// Part is a part of a prompt at a target.
type Part struct {
	// Target is the id of the target.
	Target string
	// PromptTokens is the length of the part; Tokens adds room for the answer on
	// the last one.
	PromptTokens, MemoryTokens int64
}

// ErrTooLarge means that even all engines of a region, empty, are too small.
var ErrTooLarge = errors.New("the prompt is larger than the memory of all engines of a region")

// ErrNoRoom means that the engines are too full at the moment.
var ErrNoRoom = errors.New("the engines have no room for the prompt at the moment")

// minPartTokens is the least part worth an engine of its own, in tokens.
const minPartTokens = 8192

// NewPlan spreads a prompt over targets. The home data centre is preferred where
// it has room.
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
		fits = fits || totalCapacity(here, headroom) >= prompt+output
		if plan := planWithin(here, prompt, output, headroom); plan != nil {
			return plan, nil
		}
	}
	if fits {
		return nil, ErrNoRoom
	}
	return nil, errors.Wrap(ErrTooLarge, fmt.Sprintf("%d tokens", prompt+output))
}

func dataCentreOf(t *routing.Target) string { return t.DataCentre }

func regionOf(t *routing.Target) string { return t.Region }

// placeNames lists the places of targets, home first.
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

// freeTokens is the memory that a part may take of a target.
func freeTokens(t *routing.Target, headroom float64) int64 {
	return int64(float64(t.MemoryTokens)*(1-headroom)) - t.Load.MemoryTokens
}

func totalCapacity(targets []routing.Target, headroom float64) int64 {
	sum := int64(0)
	for i := range targets {
		sum += int64(float64(targets[i].MemoryTokens) * (1 - headroom))
	}
	return sum
}

// planWithin fills the emptiest targets first. Targets that hold a long prefill or
// whose breaker is open are left out.
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
		// Each part leaves room for the answer, so that any could be the last.
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

// Split cuts a text into the parts of a plan, each of its PromptTokens times
// bytesPerToken bytes, and the rest in the last one. A cut that would fall inside a
// character moves behind it: half a character is not text, and would be replaced
// on its way to the engine.
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

// Backoff is a growing, random pause.
type Backoff struct {
	Initial, Max time.Duration
	Seed         uint64

	rng  *rand.Rand
	next time.Duration
}

// Next returns the next pause: between half and all of a doubling time.
func (b *Backoff) Next() time.Duration {
	if b.rng == nil {
		b.rng = rand.New(rand.NewPCG(b.Seed, b.Seed))
		b.next = b.Initial
	}
	pause := b.next/2 + time.Duration(b.rng.Int64N(int64(b.next/2)+1))
	b.next = min(2*b.next, b.Max)
	return pause
}
