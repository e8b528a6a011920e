// Package stream puts the chunks of an answer in order and tells a whole answer
// from a broken one. Chunks carry the attempt that they belong to and an index;
// the last one carries an end mark with the total. Late, doubled or misordered
// chunks are harmless, and a stream that stops without its end mark is never
// taken for an answer.
package stream

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Chunk is one piece of an answer.
type Chunk struct {
	// Attempt is the id under which the daemon asked for the answer.
	Attempt string
	// Index counts the tokens of the answer from zero.
	Index int64
	// Text is the token's text.
	Text string
	// End marks the chunk after the last token; Total is then their number.
	End   bool
	Total int64
	// FinishReason says why the answer ended, on the end chunk.
	FinishReason string
}

// maxPending bounds the chunks kept while an earlier one is missing.
const maxPending = 1024

// The ways in which a stream can be broken.
var (
	// ErrTruncated means that the stream ended without its end mark.
	ErrTruncated = errors.New("the target's stream ended without its end mark")
	// ErrMissingChunks means that chunks are missing in the middle.
	ErrMissingChunks = errors.New("chunks are missing in the target's stream")
	// ErrConflict means that two chunks claim the same place.
	ErrConflict = errors.New("the target sent two different chunks with one index")
)

// Assembler puts one attempt's chunks in order.
type Assembler struct {
	attempt      string
	next         int64
	ended        bool
	total        int64
	finishReason string
	lastText     string
	pending      map[int64]string
}

// NewAssembler expects the chunks of an attempt from index first on.
func NewAssembler(attempt string, first int64) *Assembler {
	return &Assembler{attempt: attempt, next: first}
}

// Push takes a chunk and hands each token that is now in order to emit, once.
// A chunk of another attempt or one seen before is dropped.
func (a *Assembler) Push(c Chunk, emit func(index int64, text string) error) error {
	if c.Attempt != a.attempt {
		return nil
	}
	if c.End {
		return a.setEnd(c)
	}
	if a.ended && c.Index >= a.total {
		return errors.Wrap(ErrConflict, fmt.Sprintf("index %d after an end at %d", c.Index, a.total))
	}
	if c.Index < a.next {
		return a.checkDuplicate(c)
	}
	if c.Index > a.next {
		return a.buffer(c)
	}
	if err := a.emit(c.Text, emit); err != nil {
		return err
	}
	return a.emitBuffered(emit)
}

func (a *Assembler) emit(text string, emit func(int64, string) error) error {
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
		if err := a.emit(text, emit); err != nil {
			return err
		}
	}
	return nil
}

// duplicate drops a chunk seen before; the last one can still be compared.
func (a *Assembler) checkDuplicate(c Chunk) error {
	if c.Index == a.next-1 && c.Text != a.lastText {
		return errors.Wrap(ErrConflict, fmt.Sprintf("index %d", c.Index))
	}
	return nil
}

func (a *Assembler) buffer(c Chunk) error {
	if text, seen := a.pending[c.Index]; seen && text != c.Text {
		return errors.Wrap(ErrConflict, fmt.Sprintf("index %d", c.Index))
	}
	if len(a.pending) >= maxPending {
		return errors.Wrap(ErrMissingChunks, fmt.Sprintf("index %d never came", a.next))
	}
	if a.pending == nil {
		a.pending = map[int64]string{}
	}
	a.pending[c.Index] = c.Text
	return nil
}

func (a *Assembler) setEnd(c Chunk) error {
	if a.ended && c.Total != a.total {
		return errors.Wrap(ErrConflict, fmt.Sprintf("ends at %d and at %d", a.total, c.Total))
	}
	if c.Total < a.next {
		return errors.Wrap(ErrConflict, fmt.Sprintf("ends at %d after %d tokens", c.Total, a.next))
	}
	a.ended, a.total, a.finishReason = true, c.Total, c.FinishReason
	return nil
}

// Complete tells whether the end mark and every token before it have come.
func (a *Assembler) Complete() bool { return a.ended && a.next == a.total }

// Next is the index of the first token that has not been emitted.
func (a *Assembler) Next() int64 { return a.next }

// FinishReason is the target's reason for the end.
func (a *Assembler) FinishReason() string { return a.finishReason }

// Close is called when the stream is over. It returns nil only for a whole answer.
func (a *Assembler) Close() error {
	switch {
	case a.Complete():
		return nil
	case a.ended:
		return errors.Wrap(ErrMissingChunks, fmt.Sprintf("%d of %d tokens came", a.next, a.total))
	default:
		return errors.Wrap(ErrTruncated, fmt.Sprintf("after %d tokens", a.next))
	}
}
