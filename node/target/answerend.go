package target

import (
	"context"
	"fmt"
	"io"
	"time"

	"doorstack.dev/core/forward"
	"github.com/go-faster/errors"
)

// checkEndOf makes the end of an answer that ends with its connection an error unless the target's process has outlived
// it.
func (e *Exchanger) checkEndOf(ctx context.Context, r *Reply, p process, to forward.Recipient) {
	framing := r.Framing()
	e.witnesses.recordFraming(p, framing)
	if framing != FramedByConnection {
		return
	}
	r.Body.begin = func() {
		if r.watch == nil {
			r.watch = e.witnesses.watch(p, r.conn.connected())
		}
	}
	r.Body.checkEnd = func() error {
		began := time.Now()
		err := e.confirmEnd(ctx, r, p, to)
		if e.OnEndCheck != nil && ctx.Err() == nil {
			e.OnEndCheck(endCheckOf(err), time.Since(began))
		}
		return err
	}
}

// confirmEnd returns nil if a target's process has outlived its answer. It waits no longer than the target took for the
// head of the answer, or a dead host takes to be noticed.
func (e *Exchanger) confirmEnd(ctx context.Context, r *Reply, p process, to forward.Recipient) error {
	if err := r.conn.awaitWrite(ctx); err != nil {
		return err
	}
	timeout := max(r.headTook, unackedTimeout)
	err := r.watch.confirm(ctx, timeout)
	switch {
	case !errors.Is(err, ErrEndUnconfirmed) || ctx.Err() != nil:
		return err
	case errors.Is(err, errNotWitnessed) && r.Relay != "" && to.HealthPath == "" && to.Started == 0:
		return nil // The relay has seen the end, a process at the address is alive, and there is no way to ask which.
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.confirmIdentity(ctx, p.address, to, err)
}

// awaitWrite waits until the call has been written and returns the error of the write. The kernel reports a reset once, so
// the reset that a write has met is an end of file for the reader.
func (pc *persistConn) awaitWrite(ctx context.Context) error {
	select {
	case <-pc.writeDone:
		return pc.writeErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// confirmIdentity returns nil if the process that now has the target's address says that it is the one that answered. It is of
// use where no witness was open, and err says why. Where the start of the process is not known, one that starts again under
// the same id is not told apart.
func (e *Exchanger) confirmIdentity(ctx context.Context, address string, to forward.Recipient, err error) error {
	if to.Started != 0 {
		if started, readErr := e.readStart(ctx, address, to.ID); readErr == nil && started != 0 {
			return checkIdentity(started == to.Started, fmt.Sprintf("the process at its address started at %d, not %d", started, to.Started))
		}
	}
	if to.HealthPath == "" {
		return err
	}
	reply, _, err := e.control(ctx, address, e.Dialect.HealthMessage(to.ID, to.HealthPath))
	switch {
	case err != nil:
		return errors.Wrap(ErrEndUnconfirmed, err.Error())
	case reply.Instance == "":
		return errors.Wrap(ErrEndUnconfirmed, fmt.Sprintf("the health check answers with status %d", reply.Status))
	default:
		return checkIdentity(reply.Instance == to.ID, reply.Instance+" has its address")
	}
}

// checkIdentity returns ErrProcessEnded for a process that is not the one that answered.
func checkIdentity(same bool, difference string) error {
	if same {
		return nil
	}
	return errors.Wrap(ErrProcessEnded, difference)
}

// readStart returns when the process at an address says that it started, in Unix milliseconds, or zero if it does not.
func (e *Exchanger) readStart(ctx context.Context, address, id string) (int64, error) {
	_, body, err := e.control(ctx, address, e.Dialect.ReportMessage(id))
	if err != nil {
		return 0, err
	}
	report, err := e.Dialect.ReadReport(body)
	return report.Started, err
}

// control sends a control request and returns its answer and the answer's body.
func (e *Exchanger) control(ctx context.Context, address string, m forward.Message) (*Reply, []byte, error) {
	reply, err := e.Send(ctx, address, &m)
	if err != nil {
		return nil, nil, err
	}
	defer e.Close(reply)
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxDrainSize))
	return reply, body, err
}

// openWitness implements asker.
func (e *Exchanger) openWitness(ctx context.Context, address string) (*persistConn, error) {
	return e.acquire(ctx, address)
}

// keepWitness implements asker.
func (e *Exchanger) keepWitness(pc *persistConn) { e.putIdle(pc) }

// ask implements asker. Any answer to the request for the report shows that the process is alive.
func (e *Exchanger) ask(ctx context.Context, pc *persistConn, target string) (reusable bool, err error) {
	pc.reuse()
	message := e.Dialect.ReportMessage(target)
	reply, err := e.sendOver(ctx, pc, &message)
	switch {
	case err != nil:
		return false, askError(err)
	case reply.Misdirected():
		reply.stopDeadline()
		return false, errors.Wrap(ErrProcessEnded, "another target has its address")
	case reply.RequestID != "":
		reply.stopDeadline()
		return false, errors.Wrap(ErrEndUnconfirmed, "the target sent an answer to another call")
	}
	_ = reply.DiscardArriving() // finish reports whether the body was read.
	return reply.finish(), nil
}
