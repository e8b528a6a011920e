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

// Memory is reserved at helpers for a forwarded call whose prompt exceeds one target's
// memory. It is reserved before the call is sent, all or nothing, renewed while the call
// runs, and released however the call ends. The reservations of a daemon that died expire
// soon after: a target may hold unused memory for at most 4 s. While the daemon lives,
// unusedReservationTimeout applies.
const (
	reservationTTL           = 2500 * time.Millisecond
	reservationRenewInterval = 800 * time.Millisecond
	// reservationCallTimeout bounds the wait for the answer to a reserve or release message. Targets answer immediately.
	reservationCallTimeout = 500 * time.Millisecond
	// maxReleaseAttempts bounds how often an unsuccessful release is sent.
	maxReleaseAttempts = 3
)

// heldReservations is the memory reserved at helpers for one attempt.
type heldReservations struct {
	director     *Director
	request      *Request
	reservations []*heldReservation
	stop         context.CancelFunc
	renewing     sync.WaitGroup
	// refusedBy is the address of the helper that did not reserve memory, if any.
	refusedBy string
}

// heldReservation is the memory reserved at one helper.
type heldReservation struct {
	id, target, address string
	tokens              int64
	// sending is held while a message is sent to the helper and answered, so that the helper does
	// not receive a release before the message that reserves or renews the memory.
	sending sync.Mutex
}

// reservationID returns the id of the reservation that an attempt makes at a helper, or an empty
// string if it makes none there.
func reservationID(p *blackboard.Placement, helper string) string {
	for _, reservation := range p.Decision.Reservations {
		if reservation.Target == helper {
			return p.Attempt
		}
	}
	return ""
}

// reserveMemory reserves the memory that the placement requires, all or nothing, and keeps it
// renewed until release. The result is never nil; after an error its refusedBy is set.
func (d *Director) reserveMemory(ctx context.Context, r *Request, p *blackboard.Placement) (*heldReservations, error) {
	held := &heldReservations{director: d, request: r, stop: func() {}}
	for _, planned := range p.Decision.Reservations {
		reservation := &heldReservation{id: p.Attempt, target: planned.Target, address: helperAddress(p, planned.Target), tokens: planned.Tokens}
		held.reservations = append(held.reservations, reservation)
		if err := held.reserve(ctx, reservation); err != nil {
			held.release(ctx)
			held.record("refused", fmt.Sprintf("%d tokens at %s: %v", planned.Tokens, planned.Target, err), p.Attempt)
			held.refusedBy = reservation.address
			return held, &target.CallError{Execution: fault.NotRun, Err: errors.Wrap(err, "reserve memory at "+planned.Target)}
		}
	}
	if len(held.reservations) == 0 {
		return held, nil
	}
	held.record("reserved", fmt.Sprintf("%d reservations for a prompt of %d tokens", len(held.reservations), r.promptTokens), p.Attempt)
	renewing, stop := context.WithCancel(ctx)
	held.stop = stop
	held.renewing.Go(func() { held.renew(renewing) })
	return held, nil
}

// helperAddress returns the address of a placement's helper, or an empty string.
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

var errUnansweredMessage = errors.New("the helper has not answered the previous message")

// reserve reserves or renews the memory at a helper, and returns early at the end of ctx or after
// reservationCallTimeout. The message is not cut off then: the helper might carry it out after the release, and would
// hold the memory for reservationTTL. After that time a message that is still unanswered no longer matters.
func (h *heldReservations) reserve(ctx context.Context, r *heldReservation) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if !r.sending.TryLock() {
		return errUnansweredMessage // Waiting for it would delay the renewals at other helpers.
	}
	ctx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	sent := make(chan error, 1)
	go func() {
		defer r.sending.Unlock()
		sent <- h.send(context.WithoutCancel(ctx), r, h.director.Exchanger.Dialect.ReserveMessage(r.target, r.id, r.tokens, reservationTTL), reservationTTL)
	}()
	select {
	case err := <-sent:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// renew renews the reservations until the call has ended. A failed renewal is only
// logged: the target aborts the call if a reservation expires.
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
			if err := h.reserve(ctx, h.reservations[i]); err != nil && ctx.Err() == nil {
				h.director.Recorder.Log.Warn("memory reservation could not be renewed", "request", h.request.ID,
					"target", h.reservations[i].target, "error", err.Error())
			}
		}
	}
}

// release releases all memory, also after the caller has disconnected. It runs in the
// background, so that it does not delay the answer. The helpers are called concurrently: one that
// does not answer takes up to maxReleaseAttempts times reservationCallTimeout.
func (h *heldReservations) release(ctx context.Context) {
	h.stop()
	if len(h.reservations) == 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		h.renewing.Wait() // No renewal may follow the release.
		for _, r := range h.reservations {
			go h.releaseOne(ctx, r)
		}
	}()
}

func (h *heldReservations) releaseOne(ctx context.Context, r *heldReservation) {
	r.sending.Lock()
	defer r.sending.Unlock()
	var err error
	for range maxReleaseAttempts {
		if err = h.send(ctx, r, h.director.Exchanger.Dialect.ReleaseMessage(r.target, r.id), reservationCallTimeout); err == nil {
			return
		}
	}
	h.director.Recorder.Log.Warn("memory reservation could not be released and will expire", "request", h.request.ID,
		"target", r.target, "after", reservationTTL.String(), "error", err.Error())
}

// send sends a reserve or release message to a helper and returns an error unless the helper
// carried it out within a time.
func (h *heldReservations) send(ctx context.Context, r *heldReservation, message forward.Message, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	exchanger := h.director.Exchanger
	reply, err := exchanger.Send(ctx, r.address, &message)
	if err != nil {
		return err
	}
	h.director.Recorder.RecordNotice(h.request.Route.Pool.Name, r.target, reply.TargetNotice(), reply.Sent)
	err = reply.Discard()
	exchanger.Close(reply)
	if err != nil {
		return err
	}
	h.director.Recorder.Metrics.Orders.WithLabelValues(fmt.Sprint(reply.Status)).Inc()
	if reply.Status != http.StatusOK {
		return errors.New(fmt.Sprintf("the target answered %d", reply.Status))
	}
	return nil
}

// forwardHelpers lists a placement's helpers, each with the id of the memory reservation there.
func forwardHelpers(p *blackboard.Placement) []forward.Helper {
	var helpers []forward.Helper
	for _, h := range p.Helpers {
		helpers = append(helpers, forward.Helper{Address: h.Address, ReservationID: reservationID(p, h.ID)})
	}
	return helpers
}
