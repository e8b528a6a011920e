// Package stream reassembles the chunks of a generated answer and distinguishes a
// complete answer from a broken one. Each chunk carries one token, its index and the
// attempt that it belongs to; the end chunk carries the total number of tokens instead.
// Chunks may arrive late, repeated or out of order. A stream without an end chunk is
// never accepted as an answer.
package stream

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Chunk is one token of an answer, or the end of the answer.
type Chunk struct {
	// Attempt is the id of the daemon's attempt that requested the answer.
	Attempt string
	// Index is the position of the token in the answer, from zero.
	Index int64
	// Text is the text of the token.
	Text string
	// End is true for the end chunk, which has no token; Total is then the number of tokens.
	End   bool
	Total int64
	// FinishReason is the reason why the answer ended; set only in the end chunk.
	FinishReason string
}

// The bounds of an answer.
const (
	// maxPending is the maximum number of chunks buffered while an earlier one is missing.
	maxPending = 1024
	// maxTextSize bounds the text of all tokens, in bytes, those that are buffered included. An answer of a million tokens
	// takes half of it.
	maxTextSize = 8 << 20
)

// Errors of a broken stream.
var (
	// ErrTruncated means that the stream ended without an end chunk.
	ErrTruncated = errors.New("the target's stream ended without its end chunk")
	// ErrMissingChunks means that tokens before the end are missing.
	ErrMissingChunks = errors.New("chunks are missing in the target's stream")
	// ErrConflict means that chunks contradict each other: two texts for one index, two totals,
	// or a token after the end.
	ErrConflict = errors.New("chunks of the target's stream contradict each other")
	// ErrTooLong means that the text of an answer exceeds maxTextSize.
	ErrTooLong = errors.New("the text of the target's stream exceeds the size limit")
)

// Assembler puts the chunks of one attempt in order.
type Assembler struct {
	attempt      string
	next         int64
	ended        bool
	total        int64
	finishReason string
	lastText     string
	pending      map[int64]string
	size         int // of the text so far, in bytes
}

// NewAssembler returns an assembler for the chunks of an attempt, beginning at index first.
func NewAssembler(attempt string, first int64) *Assembler {
	return &Assembler{attempt: attempt, next: first}
}

// Push adds a chunk and calls emit, in order and once, for each token whose predecessors have all
// arrived. Chunks of other attempts and repeated chunks are dropped. The error is that of emit, or
// wraps ErrConflict, ErrMissingChunks or ErrTooLong.
func (a *Assembler) Push(c Chunk, emit func(index int64, text string) error) error {
	if c.Attempt != a.attempt {
		return nil
	}
	if c.End {
		return a.setEnd(c)
	}
	if a.ended && c.Index >= a.total {
		return errors.Wrap(ErrConflict, fmt.Sprintf("index %d in an answer of %d tokens", c.Index, a.total))
	}
	if c.Index < a.next {
		return a.checkDuplicate(c)
	}
	if c.Index > a.next {
		return a.buffer(c)
	}
	if err := a.grow(c.Text); err != nil {
		return err
	}
	if err := a.emitNext(c.Text, emit); err != nil {
		return err
	}
	return a.emitBuffered(emit)
}

// grow counts the text of a token that has arrived for the first time.
func (a *Assembler) grow(text string) error {
	a.size += len(text)
	if a.size > maxTextSize {
		return errors.Wrap(ErrTooLong, fmt.Sprintf("after %d tokens", a.next))
	}
	return nil
}

func (a *Assembler) emitNext(text string, emit func(int64, string) error) error {
	index := a.next
	a.next++
	a.lastText = text
	return emit(index, text)
}

func (a *Assembler) emitBuffered(emit func(int64, string) error) error {
	for len(a.pending) > 0 {
		text, ok := a.pending[a.next]
		if !ok {
			return nil
		}
		delete(a.pending, a.next)
		if err := a.emitNext(text, emit); err != nil {
			return err
		}
	}
	return nil
}

// checkDuplicate checks a repeated chunk, which is dropped. Only the text of the last emitted
// token is still known for the comparison.
func (a *Assembler) checkDuplicate(c Chunk) error {
	if c.Index == a.next-1 && c.Text != a.lastText {
		return errors.Wrap(ErrConflict, fmt.Sprintf("different texts for index %d", c.Index))
	}
	return nil
}

func (a *Assembler) buffer(c Chunk) error {
	text, seen := a.pending[c.Index]
	switch {
	case seen && text != c.Text:
		return errors.Wrap(ErrConflict, fmt.Sprintf("different texts for index %d", c.Index))
	case seen:
		return nil
	case len(a.pending) >= maxPending:
		return errors.Wrap(ErrMissingChunks, fmt.Sprintf("index %d has not arrived", a.next))
	}
	if err := a.grow(c.Text); err != nil {
		return err
	}
	if a.pending == nil {
		a.pending = map[int64]string{}
	}
	a.pending[c.Index] = c.Text
	return nil
}

func (a *Assembler) setEnd(c Chunk) error {
	if a.ended && c.Total != a.total {
		return errors.Wrap(ErrConflict, fmt.Sprintf("totals of %d and %d tokens", a.total, c.Total))
	}
	if c.Total < a.next {
		return errors.Wrap(ErrConflict, fmt.Sprintf("a total of %d after %d tokens", c.Total, a.next))
	}
	a.ended, a.total, a.finishReason = true, c.Total, c.FinishReason
	return nil
}

// Complete reports whether the end chunk and all tokens have arrived.
func (a *Assembler) Complete() bool { return a.ended && a.next == a.total }

// Next returns the index of the first token that has not been emitted.
func (a *Assembler) Next() int64 { return a.next }

// FinishReason returns the finish reason of the end chunk; empty before it has arrived.
func (a *Assembler) FinishReason() string { return a.finishReason }

// Close checks the answer at the end of the stream. It returns nil if the answer is complete, else
// an error that wraps ErrMissingChunks or ErrTruncated.
func (a *Assembler) Close() error {
	switch {
	case a.Complete():
		return nil
	case a.ended:
		return errors.Wrap(ErrMissingChunks, fmt.Sprintf("%d of %d tokens arrived in order", a.next, a.total))
	default:
		return errors.Wrap(ErrTruncated, fmt.Sprintf("after %d tokens", a.next))
	}
}
