package requestcontrol

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// Memory that helpers set aside for a prompt which one target has no room for. It is
// reserved before the call is sent, all or nothing, renewed while the call runs, and
// released on every way out. It runs out by itself soon after a daemon that died: a
// target may hold unused memory for 4 s at most.
const (
	reservationTTL           = 2500 * time.Millisecond
	reservationRenewInterval = 800 * time.Millisecond
	// reservationCallTimeout bounds an order, which a target answers at once.
	reservationCallTimeout = 500 * time.Millisecond
	// maxReleaseAttempts is how often a release is sent that gets no answer.
	maxReleaseAttempts = 3
)

// heldReservations is the memory set aside for one attempt.
type heldReservations struct {
	director     *Director
	request      *Request
	reservations []heldReservation
	stop         context.CancelFunc
	renewing     sync.WaitGroup
	// refusedBy is the address of the target that had no memory.
	refusedBy string
}

type heldReservation struct {
	id, target, address string
	tokens              int64
}

// reservationID names the memory that a helper sets aside for an attempt; empty where it
// sets none aside.
func reservationID(p *blackboard.Placement, helper string) string {
	for _, t := range p.Decision.Reservations {
		if t.Target == helper {
			return p.Attempt
		}
	}
	return ""
}

// reserveTickets sets aside what the placement asks for, all of it or nothing.
func (d *Director) reserveMemory(ctx context.Context, r *Request, p *blackboard.Placement) (*heldReservations, error) {
	held := &heldReservations{director: d, request: r, stop: func() {}}
	for _, t := range p.Decision.Reservations {
		ticket := heldReservation{id: p.Attempt, target: t.Target, address: helperAddress(p, t.Target), tokens: t.Tokens}
		held.reservations = append(held.reservations, ticket)
		if err := held.reserve(ctx, &ticket); err != nil {
			held.release(ctx)
			held.record("refused", fmt.Sprintf("%d tokens at %s: %v", t.Tokens, t.Target, err), p.Attempt)
			held.refusedBy = ticket.address
			return held, &target.CallError{Execution: fault.NotRun, Err: errors.Wrap(err, "set memory aside at "+t.Target)}
		}
	}
	if len(held.reservations) == 0 {
		return held, nil
	}
	held.record("reserved", fmt.Sprintf("%d tickets for %d tokens", len(held.reservations), r.promptTokens), p.Attempt)
	renewing, stop := context.WithCancel(ctx)
	held.stop = stop
	held.renewing.Go(func() { held.renew(renewing) })
	return held, nil
}

func helperAddress(p *blackboard.Placement, id string) string {
	for _, h := range p.Helpers {
		if h.ID == id {
			return h.Address
		}
	}
	return ""
}

func (h *heldReservations) record(outcome, reason, attempt string) {
	h.director.record(h.request, decision.Record{Kind: decision.KindGroup, Outcome: outcome, Attempt: attempt, Reason: reason})
}

func (h *heldReservations) reserve(ctx context.Context, t *heldReservation) error {
	return h.send(ctx, t, h.director.Exchanger.Dialect.Reserve(t.target, t.id, t.tokens, reservationTTL))
}

// renew keeps the memory until the call has ended. A renewal that fails is only
// noted: the target cuts the call off if the memory runs out.
func (h *heldReservations) renew(ctx context.Context) {
	ticker := time.NewTicker(reservationRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range h.reservations {
			if err := h.reserve(ctx, &h.reservations[i]); err != nil && ctx.Err() == nil {
				h.director.Recorder.Log.Warn("memory set aside was not renewed", "request", h.request.ID,
					"target", h.reservations[i].target, "error", err.Error())
			}
		}
	}
}

// release gives all memory back, also after the caller has gone. It does not hold up
// the answer.
func (h *heldReservations) release(ctx context.Context) {
	h.stop()
	if len(h.reservations) == 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		h.renewing.Wait() // A renewal that is under way must not come after the release.
		for i := range h.reservations {
			h.releaseOne(ctx, &h.reservations[i])
		}
	}()
}

func (h *heldReservations) releaseOne(ctx context.Context, t *heldReservation) {
	var err error
	for range maxReleaseAttempts {
		if err = h.send(ctx, t, h.director.Exchanger.Dialect.Release(t.target, t.id)); err == nil {
			return
		}
	}
	h.director.Recorder.Log.Warn("memory set aside was not released and runs out by itself", "request", h.request.ID,
		"target", t.target, "after", reservationTTL.String(), "error", err.Error())
}

// order sends an order and tells whether it was carried out.
func (h *heldReservations) send(ctx context.Context, t *heldReservation, message forward.Message) error {
	ctx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	exchange := h.director.Exchanger
	reply, err := exchange.Send(ctx, t.address, &message)
	if err != nil {
		return err
	}
	h.director.Recorder.Notice(h.request.Route.Pool.Name, t.target, reply.TargetNotice(), reply.Sent)
	_, err = bufferAnswer(reply)
	exchange.Close(reply)
	if err != nil {
		return err
	}
	h.director.Recorder.Metrics.Orders.WithLabelValues(fmt.Sprint(reply.Status)).Inc()
	if reply.Status != http.StatusOK {
		return errors.New(fmt.Sprintf("the target answered %d", reply.Status))
	}
	return nil
}
