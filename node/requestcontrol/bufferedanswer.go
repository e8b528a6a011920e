package requestcontrol

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// bufferedAnswer is a complete answer held in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// held is what the answer takes of the director's memory, in bytes.
	held int64
}

// keepErrorAnswer keeps a target's own error answer, which the caller receives unless
// another target answers.
func (f *forwarding) keepErrorAnswer(ctx context.Context, reply *target.Reply) error {
	answer, err := f.holdAnswer(ctx, reply)
	if err != nil {
		return truncatedError(err)
	}
	f.releaseErrorAnswer()
	f.errorAnswer = answer
	return errors.Wrap(errTargetError, fmt.Sprintf("status %d", reply.Status))
}

// releaseErrorAnswer drops the kept error answer, if there is one.
func (f *forwarding) releaseErrorAnswer() {
	if f.errorAnswer != nil {
		f.director.Memory.Release(f.errorAnswer.held)
		f.errorAnswer = nil
	}
}

// maxBufferedAnswer bounds, in bytes, an answer that is buffered before delivery, so that a
// caller never receives half of one and a repeatable call can go to another target.
const maxBufferedAnswer = 8 << 20

// unaccountedAnswer is the part of a buffered answer or of an event, in bytes, that each call may hold whatever the
// others hold, so that each goes on.
const unaccountedAnswer = 16 << 10

var errAnswerTooLarge = errors.New("the answer exceeds the size limit")

// holdAnswer reads an answer to its end within the memory for calls. While that is exhausted, the target has
// to wait.
func (f *forwarding) holdAnswer(ctx context.Context, reply *target.Reply) (*bufferedAnswer, error) {
	if reply.Length > maxBufferedAnswer {
		return nil, errAnswerTooLarge
	}
	var body []byte
	chunk := make([]byte, relayBufferSize)
	for {
		n, err := reply.Body.Read(chunk)
		if growErr := f.growHold(ctx, len(body)+n); growErr != nil {
			return nil, growErr
		}
		body = append(body, chunk[:n]...)
		if len(body) > maxBufferedAnswer {
			return nil, errAnswerTooLarge
		}
		if errors.Is(err, io.EOF) {
			return &bufferedAnswer{status: reply.Status, header: reply.Header, body: body, held: f.hold.Keep()}, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growHold reserves memory for size bytes of the answer that is being read, but for the part that is not accounted.
func (f *forwarding) growHold(ctx context.Context, size int) error {
	if more := int64(size) - unaccountedAnswer - f.hold.Size(); more > 0 {
		return f.hold.Grow(ctx, more)
	}
	return nil
}

func (f *forwarding) writeBuffered(a *bufferedAnswer) error {
	f.progress.AnswerStarted = true
	if err := f.out.WriteHead(a.status, a.header, int64(len(a.body))); err != nil {
		return err
	}
	if len(a.body) == 0 {
		return nil
	}
	if err := f.out.Write(a.body); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}
