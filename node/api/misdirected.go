package api

import (
	"net"
	"net/http"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/node/target"
)

// An entry of another writer may name the address of a daemon as that of a target. A daemon that gets a call for a target says so, as
// any target does that a call is not meant for, and the daemon that sent it tries another target.

// misdirectedError is the error for a call that a daemon has sent to a target.
func misdirectedError() *fault.Error {
	return fault.New(fault.Misdirected, "the call is meant for a target, and this is a daemon", "remove the target's entry with this address")
}

// checkRecipient returns an error for a call that another daemon has sent here: it names a target that the list of targets has at
// the address on which it arrived.
func (s *pathServer) checkRecipient(c *pathCall) error {
	if c.Recipient == "" {
		return nil
	}
	local, ok := c.r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok || s.board.Targets.Address(c.Recipient) != local.String() {
		return nil
	}
	err := misdirectedError()
	s.record(c, decision.OutcomeRefused, err.Error()+"; sent to target "+c.Recipient)
	return err
}

// RejectCalls returns a handler for a listener that serves no callers: it tells the sender of a call for a target that this is
// none, and passes all other requests to next.
func RejectCalls(d target.Dialect, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := d.ReadCall(r.Header)
		if call.Recipient == "" {
			next.ServeHTTP(w, r)
			return
		}
		err := misdirectedError()
		d.WriteFailure(w.Header(), call.ID, false, 0)
		http.Error(w, err.Error(), err.Status())
	})
}
