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
}

// keepErrorAnswer keeps a target's own error answer, which the caller receives unless
// another target answers.
func (f *forwarding) keepErrorAnswer(ctx context.Context, reply *target.Reply) error {
	answer, err := f.holdAnswer(ctx, reply)
	if err != nil {
		return truncatedError(err)
	}
	f.errorAnswer = answer
	return errors.Wrap(errTargetError, fmt.Sprintf("status %d", reply.Status))
}

// maxBufferedAnswer bounds, in bytes, an answer that is buffered before delivery, so that a
// caller never receives half of one and a repeatable call can go to another target.
const maxBufferedAnswer = 8 << 20

// unaccountedAnswer is the part of a buffered answer, in bytes, that each call may hold whatever the others
// hold, so that each goes on.
const unaccountedAnswer = 16 << 10

// holdAnswer reads an answer to its end within the memory for calls. While that is exhausted, the target has
// to wait.
func (f *forwarding) holdAnswer(ctx context.Context, reply *target.Reply) (*bufferedAnswer, error) {
	read := int64(0)
	return readAnswer(reply, func(n int) error {
		read += int64(n)
		if read <= unaccountedAnswer {
			return nil
		}
		if err := f.director.Memory.Reserve(ctx, int64(n)); err != nil {
			return err
		}
		f.heldBytes += int64(n)
		return nil
	})
}

// bufferAnswer reads a short answer, such as a rejection, to its end.
func bufferAnswer(reply *target.Reply) (*bufferedAnswer, error) {
	return readAnswer(reply, func(int) error { return nil })
}

// readAnswer reads an answer to its end. It calls hold with the length of each part that it has read.
func readAnswer(reply *target.Reply, hold func(n int) error) (*bufferedAnswer, error) {
	var body []byte
	chunk := make([]byte, relayBufferSize)
	for {
		n, err := reply.Body.Read(chunk)
		if holdErr := hold(n); holdErr != nil {
			return nil, holdErr
		}
		body = append(body, chunk[:n]...)
		if errors.Is(err, io.EOF) || len(body) > maxBufferedAnswer {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(body) > maxBufferedAnswer {
		return nil, errors.New("the answer exceeds the size limit")
	}
	return &bufferedAnswer{status: reply.Status, header: reply.Header, body: body}, nil
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
