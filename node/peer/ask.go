package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// RemoteError is a peer's own word that it does not answer a question.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "the peer answered: " + e.Message }

// AskAt sends a question to whoever listens at an address, and returns its name. The
// link is kept under that name.
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

// Ask sends a question to a peer and decodes its answer into out.
func (h *Hub) Call(ctx context.Context, to Address, kind Kind, in, out any) error {
	return h.CallWithIdleTimeout(ctx, to, kind, in, out, 0)
}

// AskPatiently is Ask for a large answer: it is waited for as long as something comes over the
// link, and given up when nothing has come for silence; zero leaves the bound to ctx.
func (h *Hub) CallWithIdleTimeout(ctx context.Context, to Address, kind Kind, in, out any, silence time.Duration) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	l, err := h.linkWithTimeout(ctx, to, silence)
	if err != nil {
		return err
	}
	answer, err := l.call(ctx, kind, body, silence)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(answer, out)
}

// linkWithin returns a link that is open, or can be opened in some time; zero leaves the bound
// to ctx.
func (h *Hub) linkWithTimeout(ctx context.Context, to Address, most time.Duration) (*link, error) {
	if most > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, most)
		defer cancel()
	}
	return h.link(ctx, to)
}

// Tell sends news to a peer over an open link, or over a new one.
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
