package target

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// checkEndOf makes the end of an answer that ends with its connection an error unless the target's process has outlived
// it.
func (e *Exchanger) checkEndOf(ctx context.Context, r *Reply, p process, healthPath string) {
	framing := r.Framing()
	e.witnesses.recordFraming(p, framing)
	if framing != FramedByConnection {
		return
	}
	r.Body.begin = func() { r.witness = e.witnesses.watch(p) }
	r.Body.checkEnd = func() error {
		began := time.Now()
		err := e.confirmEnd(ctx, r, p, healthPath)
		if e.OnEndCheck != nil && ctx.Err() == nil {
			e.OnEndCheck(endCheckOf(err), time.Since(began))
		}
		return err
	}
}

// confirmEnd returns nil if a target's process has outlived its answer. It waits no longer than the target took for the
// head of the answer, or a dead host takes to be noticed.
func (e *Exchanger) confirmEnd(ctx context.Context, r *Reply, p process, healthPath string) error {
	if err := r.conn.awaitWrite(ctx); err != nil {
		return err
	}
	timeout := max(r.headTook, unackedTimeout)
	err := r.witness.confirm(ctx, timeout)
	if !errors.Is(err, ErrEndUnconfirmed) || healthPath == "" || ctx.Err() != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.confirmByHealth(ctx, p, healthPath)
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

// confirmByHealth returns nil if the target's health check names the target. It takes any connection, so it is of use where
// no witness was open. A process that starts again under the id of the one before it is not told apart.
func (e *Exchanger) confirmByHealth(ctx context.Context, p process, path string) error {
	pc, err := e.acquire(ctx, p.address)
	if err != nil {
		return errors.Wrap(ErrEndUnconfirmed, err.Error())
	}
	message := e.Dialect.HealthMessage(p.id, path)
	reply, err := e.sendOver(ctx, pc, &message)
	if err != nil {
		return errors.Wrap(ErrEndUnconfirmed, err.Error())
	}
	defer e.Close(reply)
	if err := reply.DiscardArriving(); err != nil {
		return errors.Wrap(ErrEndUnconfirmed, err.Error())
	}
	switch reply.Instance {
	case p.id:
		return nil
	case "":
		return errors.Wrap(ErrEndUnconfirmed, fmt.Sprintf("the health check answers with status %d", reply.Status))
	default:
		return errors.Wrap(ErrProcessEnded, reply.Instance+" has the target's address")
	}
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
