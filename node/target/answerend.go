package target

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/node/sock"
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

// confirmEnd returns nil if a target's process has taken the whole call and outlived its answer.
func (e *Exchanger) confirmEnd(ctx context.Context, r *Reply, p process, to forward.Recipient) error {
	if err := r.conn.awaitWrite(ctx); err != nil {
		return err
	}
	if err := e.confirmOutlived(ctx, r, p, to); err != nil {
		return err
	}
	return r.conn.checkNotReset() // Last, as the reset follows the end.
}

// confirmOutlived returns nil if a target's process has outlived its answer. It asks over the witness and then, if that proves
// nothing, over any connection, and waits each time no longer than the target took for the head of the answer, or a dead host
// takes to be noticed.
func (e *Exchanger) confirmOutlived(ctx context.Context, r *Reply, p process, to forward.Recipient) error {
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

// errResetAfterEnd means that a target broke the connection off after the end of its answer, with some of the call on its way or unread.
var errResetAfterEnd = errors.Wrap(syscall.ECONNRESET, "the target ended its answer before it had read the whole call")

// checkNotReset returns errResetAfterEnd if the target has reset the connection. The end of file hides that from a read, and the
// kernel's buffers from the write of a short call. A relay tells of the target's end itself.
func (pc *persistConn) checkNotReset() error {
	if pc.relay == "" && sock.Reset(pc.conn) {
		return errResetAfterEnd
	}
	return nil
}

// confirmIdentity returns nil if the process that now has the target's address says that it is the one that answered. It is of
// use where no witness was open, and err says why. Where the start of the process is not known, one that starts again under
// the same id is not told apart.
func (e *Exchanger) confirmIdentity(ctx context.Context, address string, to forward.Recipient, err error) error {
	if to.Started != 0 {
		message := e.Dialect.ReportMessage(to.ID)
		if reply, sendErr := e.Send(ctx, address, &message); sendErr == nil {
			started := e.startIn(reply)
			e.Close(reply)
			if started != 0 {
				return checkStart(started, to.Started)
			}
		}
	}
	if to.HealthPath == "" {
		return err
	}
	message := e.Dialect.HealthMessage(to.ID, to.HealthPath)
	reply, err := e.Send(ctx, address, &message)
	if err != nil {
		return errors.Wrap(ErrEndUnconfirmed, err.Error())
	}
	_ = reply.DiscardArriving() // The head says all that is needed.
	e.Close(reply)
	switch {
	case reply.Instance == "":
		return errors.Wrap(ErrEndUnconfirmed, fmt.Sprintf("the health check answers with status %d", reply.Status))
	case reply.Instance != to.ID:
		return errors.Wrap(ErrProcessEnded, reply.Instance+" has its address")
	default:
		return nil
	}
}

// openWitness implements asker.
func (e *Exchanger) openWitness(ctx context.Context, address string) (*persistConn, error) {
	return e.acquire(ctx, address, "")
}

// keepWitness implements asker.
func (e *Exchanger) keepWitness(pc *persistConn) { e.putIdle(pc) }

// ask implements asker. Any answer to the request for the report shows that the process at the other end is alive; where the
// start of the target's process is known, the report must not name another one, which a proxy before the target may lead to.
func (e *Exchanger) ask(ctx context.Context, pc *persistConn, p process) (reusable bool, err error) {
	pc.reuse()
	message := e.Dialect.ReportMessage(p.id)
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
	started := e.startIn(reply)
	reusable = reply.finish()
	if p.started == 0 || started == 0 {
		return reusable, nil
	}
	return reusable, checkStart(started, p.started)
}

// startIn returns when the process that sent a report says that it started, in Unix milliseconds, or zero if it does not.
func (e *Exchanger) startIn(reply *Reply) int64 {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxDrainSize))
	if err != nil {
		return 0
	}
	report, err := e.Dialect.ReadReport(body)
	if err != nil {
		return 0
	}
	return report.Started
}

// checkStart returns ErrEndUnconfirmed if a process started at another time than the one that a call was sent to. It may have
// answered the call all the same, if its start was not known by then.
func checkStart(started, expected int64) error {
	if started == expected {
		return nil
	}
	return errors.Wrap(ErrEndUnconfirmed, fmt.Sprintf("the process at the target's address started at %d, not %d", started, expected))
}
