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
	ticketHold  = 2500 * time.Millisecond
	ticketRenew = 800 * time.Millisecond
	// orderTimeout bounds an order, which a target answers at once.
	orderTimeout = 500 * time.Millisecond
	// releaseTries is how often a release is sent that gets no answer.
	releaseTries = 3
)

// heldTickets is the memory set aside for one attempt.
type heldTickets struct {
	director *Director
	request  *Request
	tickets  []heldTicket
	stop     context.CancelFunc
	renewing sync.WaitGroup
	// refusedBy is the address of the target that had no memory.
	refusedBy string
}

type heldTicket struct {
	id, target, address string
	tokens              int64
}

// ticketID names the memory that a helper sets aside for an attempt; empty where it
// sets none aside.
func ticketID(p *blackboard.Placement, helper string) string {
	for _, t := range p.Decision.Reservations {
		if t.Target == helper {
			return p.Attempt
		}
	}
	return ""
}

// reserveTickets sets aside what the placement asks for, all of it or nothing.
func (d *Director) reserveTickets(ctx context.Context, r *Request, p *blackboard.Placement) (*heldTickets, error) {
	held := &heldTickets{director: d, request: r, stop: func() {}}
	for _, t := range p.Decision.Reservations {
		ticket := heldTicket{id: p.Attempt, target: t.Target, address: helperAddress(p, t.Target), tokens: t.Tokens}
		held.tickets = append(held.tickets, ticket)
		if err := held.reserve(ctx, &ticket); err != nil {
			held.release(ctx)
			held.record("refused", fmt.Sprintf("%d tokens at %s: %v", t.Tokens, t.Target, err), p.Attempt)
			held.refusedBy = ticket.address
			return held, &target.CallError{Execution: fault.NotRun, Err: errors.Wrap(err, "set memory aside at "+t.Target)}
		}
	}
	if len(held.tickets) == 0 {
		return held, nil
	}
	held.record("reserved", fmt.Sprintf("%d tickets for %d tokens", len(held.tickets), r.promptTokens), p.Attempt)
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

func (h *heldTickets) record(outcome, reason, attempt string) {
	h.director.record(h.request, decision.Record{Kind: decision.KindGroup, Outcome: outcome, Attempt: attempt, Reason: reason})
}

func (h *heldTickets) reserve(ctx context.Context, t *heldTicket) error {
	return h.order(ctx, t, h.director.Exchange.Dialect.Reserve(t.target, t.id, t.tokens, ticketHold))
}

// renew keeps the memory until the call has ended. A renewal that fails is only
// noted: the target cuts the call off if the memory runs out.
func (h *heldTickets) renew(ctx context.Context) {
	ticker := time.NewTicker(ticketRenew)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range h.tickets {
			if err := h.reserve(ctx, &h.tickets[i]); err != nil && ctx.Err() == nil {
				h.director.Record.Log.Warn("memory set aside was not renewed", "request", h.request.ID,
					"target", h.tickets[i].target, "error", err.Error())
			}
		}
	}
}

// release gives all memory back, also after the caller has gone. It does not hold up
// the answer.
func (h *heldTickets) release(ctx context.Context) {
	h.stop()
	if len(h.tickets) == 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		h.renewing.Wait() // A renewal that is under way must not come after the release.
		for i := range h.tickets {
			h.releaseOne(ctx, &h.tickets[i])
		}
	}()
}

func (h *heldTickets) releaseOne(ctx context.Context, t *heldTicket) {
	var err error
	for range releaseTries {
		if err = h.order(ctx, t, h.director.Exchange.Dialect.Release(t.target, t.id)); err == nil {
			return
		}
	}
	h.director.Record.Log.Warn("memory set aside was not released and runs out by itself", "request", h.request.ID,
		"target", t.target, "after", ticketHold.String(), "error", err.Error())
}

// order sends an order and tells whether it was carried out.
func (h *heldTickets) order(ctx context.Context, t *heldTicket, message forward.Message) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	exchange := h.director.Exchange
	reply, err := exchange.Send(ctx, t.address, &message)
	if err != nil {
		return err
	}
	h.director.Record.Notice(h.request.Route.Pool.Name, t.target, reply.TargetNotice(), reply.Sent)
	_, err = readWhole(reply)
	exchange.Close(reply)
	if err != nil {
		return err
	}
	h.director.Record.Metrics.Orders.WithLabelValues(fmt.Sprint(reply.Status)).Inc()
	if reply.Status != http.StatusOK {
		return errors.New(fmt.Sprintf("the target answered %d", reply.Status))
	}
	return nil
}
