package peer

import (
	"context"
	"time"
)

// Observer is told of a hub's links and of the answers that arrive over them. Its methods must not block.
type Observer interface {
	// LinkChanged is called after a link to a peer was opened or closed. The hub may have changed again since:
	// HasLink tells.
	LinkChanged(peer string)
	// Answered is called when an answer arrives, with the time since the request was queued. It is late if its
	// caller waits no more.
	Answered(peer string, kind Kind, took time.Duration, late bool)
}

// SetObserver sets the hub's observer. It must be called before the hub is used.
func (h *Hub) SetObserver(o Observer) { h.observer = o }

func (h *Hub) observeLink(peer string) {
	if h.observer != nil {
		h.observer.LinkChanged(peer)
	}
}

func (h *Hub) observeAnswer(peer string, c *pendingCall) {
	if h.observer != nil {
		h.observer.Answered(peer, c.kind, time.Since(c.sent), c.abandoned)
	}
}

// Open opens a link to a peer if there is none.
func (h *Hub) Open(ctx context.Context, to Address) error {
	_, err := h.link(ctx, to)
	return err
}

// LastHeard returns when something last arrived from a peer over its open link, and the zero time if there is no
// link.
func (h *Hub) LastHeard(name string) time.Time {
	h.mu.Lock()
	l := h.links[name]
	h.mu.Unlock()
	if l == nil {
		return time.Time{}
	}
	return l.lastReadAt()
}
