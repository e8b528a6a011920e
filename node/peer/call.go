package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// RemoteError is an error that the peer returned in place of an answer.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "the peer returned an error: " + e.Message }

// CallAt sends a request to the daemon that listens at an address, decodes its answer into out, and
// returns the daemon's name. The link is kept under that name.
func (h *Hub) CallAt(ctx context.Context, address string, kind Kind, in, out any) (string, error) {
	body, err := encode(in)
	if err != nil {
		return "", err
	}
	l, err := h.connect(ctx, Address{Address: address})
	if err != nil {
		return "", err
	}
	answer, err := l.call(ctx, kind, body, 0)
	if err != nil {
		return l.peer, err
	}
	return l.peer, cbor.Unmarshal(answer, out)
}

// Call sends a request to a peer and decodes its answer into out. An error that the peer returns is
// a *RemoteError.
func (h *Hub) Call(ctx context.Context, to Address, kind Kind, in, out any) error {
	return h.CallWithIdleTimeout(ctx, to, kind, in, out, 0)
}

// CallWithIdleTimeout is Call for a large answer: it waits as long as data arrives over the link,
// and fails when none has arrived for idleTimeout. The timeout also bounds the dialing of a new
// link. With an idleTimeout of zero only ctx bounds the call.
func (h *Hub) CallWithIdleTimeout(ctx context.Context, to Address, kind Kind, in, out any, idleTimeout time.Duration) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	l, err := h.linkWithTimeout(ctx, to, idleTimeout)
	if err != nil {
		return err
	}
	answer, err := l.call(ctx, kind, body, idleTimeout)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(answer, out)
}

// linkWithTimeout returns an open link to a peer, or opens one within timeout; with a timeout of
// zero only ctx bounds it.
func (h *Hub) linkWithTimeout(ctx context.Context, to Address, timeout time.Duration) (*link, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return h.link(ctx, to)
}

// Notify sends a message without an answer to a peer, over an open link or a new one. It returns
// when the message is queued.
func (h *Hub) Notify(ctx context.Context, to Address, kind Kind, in any) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	l, err := h.link(ctx, to)
	if err != nil {
		return err
	}
	return l.send(Frame{Kind: kind, Body: body})
}
