package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"doorstack.dev/core/forward"
	"github.com/go-faster/errors"
)

// loadMessage is the question of a witness in the project's own protocol, which every target answers at once.
var loadMessage = forward.Message{Method: http.MethodGet, URI: "/v1/load", Header: http.Header{}}

// loadAsker asks targets of the project's own protocol for their load report.
type loadAsker struct{ client *Client }

// openWitness implements asker.
func (a loadAsker) openWitness(ctx context.Context, address string) (*persistConn, error) {
	conn, err := a.client.transport.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	socket, ok := conn.(Socket)
	if !ok {
		_ = conn.Close()
		return nil, errors.Errorf("a connection of type %T cannot be a witness", conn)
	}
	return newPersistConn(address, "", socket), nil
}

// ask implements asker.
func (a loadAsker) ask(ctx context.Context, pc *persistConn, _ process) (reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = pc.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	pc.reuse()
	message := loadMessage
	message.Host = pc.address
	pc.startWrite(&message)
	resp, err := pc.readFinalResponse(&http.Request{Method: message.Method})
	if err != nil {
		return false, askError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReportSize))
	return err == nil && !resp.Close && pc.reusable() && stop(), nil
}

// keepWitness implements asker.
func (a loadAsker) keepWitness(pc *persistConn) { pc.close() }

// endCheck checks the end of the answer to one call of a plain service.
type endCheck struct {
	witnesses *witnesses
	process   process
	watch     *watch
	framing   Framing
	sent      time.Time
	headTook  time.Duration
	// writeDone is closed when the write of the call has ended; writeErr is nil if the whole call was written.
	writeDone chan struct{}
	writeErr  error
}

// beginEndCheck prepares the check of an answer. The context is that of the call; release must be called.
func (c *Client) beginEndCheck(ctx context.Context, address string) (context.Context, *endCheck) {
	e := &endCheck{witnesses: c.witnesses, process: process{address: address}, sent: time.Now(), writeDone: make(chan struct{})}
	var once sync.Once
	if c.witnesses.expectsUnframed(e.process) {
		e.watch = c.witnesses.watch(e.process, nil)
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		once.Do(func() {
			e.writeErr = info.Err
			close(e.writeDone)
		})
	}}), e
}

// recordHead records how the answer ends.
func (e *endCheck) recordHead(resp *http.Response) {
	e.headTook = time.Since(e.sent)
	e.framing = framingOf(resp.ContentLength, resp)
	if e.framing == FramedByConnection && e.watch == nil {
		e.watch = e.witnesses.watch(e.process, nil)
	}
	e.witnesses.recordFraming(e.process, e.framing)
}

// confirm returns nil if the answer, which has been read to its end, is whole. A connection that was opened after the end has to
// do: a process that starts again at once at the same address is not told apart.
func (e *endCheck) confirm(ctx context.Context) error {
	if e.framing != FramedByConnection {
		return nil
	}
	if err := e.awaitWrite(ctx); err != nil {
		return err
	}
	timeout := max(e.headTook, unackedTimeout)
	err := e.watch.confirm(ctx, timeout)
	if errors.Is(err, errNotWitnessed) {
		return nil
	}
	return err
}

// awaitWrite waits until the call has been written and returns the error of the write, which may have taken the reset that the reader
// has missed. net/http ends a write that still lasts at the end of the answer.
func (e *endCheck) awaitWrite(ctx context.Context) error {
	select {
	case <-e.writeDone:
		return e.writeErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *endCheck) release() {
	if e.watch != nil {
		e.watch.release()
	}
}
