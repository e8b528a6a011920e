package peer

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"doorstack.dev/node/connguard"
	"doorstack.dev/node/telemetry"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Handler handles a kind of message from the named peer. Its answer is discarded if the message is
// a notification.
type Handler func(ctx context.Context, from string, body cbor.RawMessage) (any, error)

// Hub holds the links of a daemon to its peers, sends messages over them, and passes received
// messages to their handlers.
type Hub struct {
	self     string
	keys     [][]byte
	metrics  *telemetry.Metrics
	log      *slog.Logger
	client   *http.Client // opens links; nil means the default client
	handlers map[Kind]Handler
	observer Observer

	mu      sync.Mutex
	links   map[string]*link // the newest link of each peer
	open    map[*link]bool   // all links, those that newer ones have replaced included
	dialing map[string]chan struct{}
	// renewing holds the peers to which Renew opens a link.
	renewing map[string]bool
	blocked  map[string]bool
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewHub returns a hub without links for the daemon self. The first key signs the daemon's own
// proofs as a client; all keys are accepted from clients.
func NewHub(self string, keys []string, metrics *telemetry.Metrics) *Hub {
	h := &Hub{
		self: self, metrics: metrics, log: slog.New(slog.DiscardHandler), handlers: map[Kind]Handler{}, links: map[string]*link{},
		open: map[*link]bool{}, dialing: map[string]chan struct{}{}, renewing: map[string]bool{}, blocked: map[string]bool{},
	}
	for _, k := range keys {
		h.keys = append(h.keys, []byte(k))
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// SetLogger sets the logger for frames that took long to be sent. It must be called before the hub
// is used.
func (h *Hub) SetLogger(log *slog.Logger) { h.log = log }

// SetHTTPClient sets the client that opens links, for networks other than the host's own. It must
// be called before the hub is used.
func (h *Hub) SetHTTPClient(client *http.Client) { h.client = client }

// Handle sets the handler of a kind. All handlers must be set before the hub is used.
func (h *Hub) Handle(kind Kind, serve Handler) { h.handlers[kind] = serve }

// TypedHandler returns a handler that decodes the message and calls serve.
func TypedHandler[In, Out any](serve func(ctx context.Context, from string, in In) (Out, error)) Handler {
	return func(ctx context.Context, from string, body cbor.RawMessage) (any, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, errors.Wrap(err, "decode the message")
		}
		return serve(ctx, from, in)
	}
}

func (h *Hub) countFrame(direction string, kind Kind, bytes int) {
	h.metrics.PeerFrames.WithLabelValues(direction, kind.String()).Inc()
	h.metrics.PeerBytes.WithLabelValues(direction, kind.String()).Add(float64(bytes))
}

// minLoggedWait is the time to send a frame above which a warning is logged: a quarter of the time
// within which a heartbeat has to be answered.
const minLoggedWait = 250 * time.Millisecond

// recordWrite records how long a frame took to be sent, including its time in the send queue.
func (h *Hub) recordWrite(to string, frame queuedFrame) {
	waited := time.Since(frame.queued)
	h.metrics.PeerWait.WithLabelValues(frame.kind.String()).Observe(waited.Seconds())
	if waited > minLoggedWait {
		h.log.Warn("a frame took long to be sent", "peer", to, "frame", frame.kind.String(), "bytes", len(frame.data), "waited_ms", waited.Milliseconds())
	}
}

func (h *Hub) countRefused(reason string) { h.metrics.PeerRefused.WithLabelValues(reason).Inc() }

// Handler returns the HTTP handler that accepts links from peers.
func (h *Hub) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			h.countRefused("not_a_websocket")
			return
		}
		conn.SetReadLimit(maxHandshakeSize)
		name, err := h.acceptHandshake(conn)
		if err != nil {
			h.countRefused("bad_proof")
			_ = conn.Close(websocket.StatusPolicyViolation, "bad proof")
			return
		}
		if h.isBlocked(name) {
			_ = conn.CloseNow()
			return
		}
		conn.SetReadLimit(MaxFrameSize)
		connguard.Trust(r.Context())
		l := newLink(h, name, conn)
		h.addLink(l)
		l.run(h.ctx)
	})
}

func (h *Hub) addLink(l *link) {
	h.mu.Lock()
	// The newest link replaces an older one: a peer that dials again has lost the
	// previous link. Two daemons may dial each other at the same time; both links
	// work, and one is used.
	h.links[l.peer] = l
	h.open[l] = true
	h.mu.Unlock()
	h.observeLink(l.peer)
}

func (h *Hub) removeLink(l *link) {
	h.mu.Lock()
	current := h.links[l.peer] == l
	if current {
		delete(h.links, l.peer)
	}
	delete(h.open, l)
	h.mu.Unlock()
	if current {
		h.observeLink(l.peer)
	}
}

// Address is the name of a peer and the host:port on which it listens.
type Address struct {
	Name, Address string
}

// link returns an open link to a peer, dialing if there is none. One goroutine
// dials, and the others wait for its result.
func (h *Hub) link(ctx context.Context, to Address) (*link, error) {
	for {
		h.mu.Lock()
		if h.blocked[to.Name] {
			h.mu.Unlock()
			return nil, errClosed
		}
		if l := h.links[to.Name]; l != nil {
			h.mu.Unlock()
			return l, nil
		}
		pending := h.dialing[to.Name]
		if pending == nil {
			h.dialing[to.Name] = make(chan struct{})
			h.mu.Unlock()
			return h.dial(ctx, to)
		}
		h.mu.Unlock()
		select {
		case <-pending:
			if !h.HasLink(to.Name) {
				return nil, errClosed
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Renew opens a new link to a peer that has sent nothing over the open one since a time, to tell a lost connection from a
// peer that is gone or slow. It reports whether the peer accepts the new link, which is used from then on. If the peer is still
// silent on the old one, that is closed.
func (h *Hub) Renew(ctx context.Context, to Address, since time.Time) bool {
	h.mu.Lock()
	old := h.links[to.Name]
	busy := old == nil || h.blocked[to.Name] || h.renewing[to.Name] || old.lastReadAt().After(since)
	if !busy {
		h.renewing[to.Name] = true
	}
	h.mu.Unlock()
	if busy {
		return false
	}
	defer func() {
		h.mu.Lock()
		delete(h.renewing, to.Name)
		h.mu.Unlock()
	}()
	if _, err := h.connect(ctx, to); err != nil {
		return false
	}
	if !old.lastReadAt().After(since) {
		h.countRefused("silent")
		old.close(websocket.StatusGoingAway, "silent")
	}
	return true
}

// HasLink reports whether there is an open link to a peer.
func (h *Hub) HasLink(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[name] != nil
}

// dial opens a link to a peer, and then wakes the goroutines that wait for it.
func (h *Hub) dial(ctx context.Context, to Address) (*link, error) {
	defer func() {
		h.mu.Lock()
		close(h.dialing[to.Name])
		delete(h.dialing, to.Name)
		h.mu.Unlock()
	}()
	return h.connect(ctx, to)
}

// connect opens a link, whether or not there is one already. With an empty name it accepts any
// daemon that listens at the address.
func (h *Hub) connect(ctx context.Context, to Address) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws://"+to.Address+"/", &websocket.DialOptions{HTTPClient: h.client})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "dial "+to.Name+" at "+to.Address)
	}
	conn.SetReadLimit(maxHandshakeSize)
	name, err := h.dialHandshake(ctx, conn, to.Name)
	if err != nil {
		h.countRefused("bad_proof")
		_ = conn.CloseNow()
		return nil, errors.Wrap(err, "handshake with "+to.Name+" at "+to.Address)
	}
	conn.SetReadLimit(MaxFrameSize)
	l := newLink(h, name, conn)
	h.addLink(l)
	go l.run(h.ctx)
	return l, nil
}

// LinkedPeers returns the names of the peers with an open link.
func (h *Hub) LinkedPeers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.links))
	for name := range h.links {
		names = append(names, name)
	}
	return names
}

// linkIdleTimeout is how long a link is kept after the last call over it.
const linkIdleTimeout = 5 * time.Minute

// replacedIdleTimeout is how long a link that a newer one has replaced is kept after the last call over it and the last data from
// it. Calls that began before may still be answered.
const replacedIdleTimeout = 10 * time.Second

// CloseIdle closes the links over which no call was made for linkIdleTimeout, except links to peers for
// which wanted returns true, and idle links that newer ones have replaced.
func (h *Hub) CloseIdle(wanted func(name string) bool) {
	h.mu.Lock()
	var idle []*link
	for name, l := range h.links {
		if !wanted(name) && time.Since(l.opened)-time.Duration(l.lastCall.Load()) > linkIdleTimeout {
			idle = append(idle, l)
		}
	}
	for l := range h.open {
		age := time.Since(l.opened)
		if h.links[l.peer] != l && age-time.Duration(max(l.lastCall.Load(), l.lastRead.Load())) > replacedIdleTimeout {
			idle = append(idle, l)
		}
	}
	h.mu.Unlock()
	for _, l := range idle {
		l.close(websocket.StatusNormalClosure, "idle")
	}
}

// Block closes the links to a peer and refuses new ones while blocked is true, like a network
// partition. It exists for tests.
func (h *Hub) Block(name string, blocked bool) {
	h.mu.Lock()
	h.blocked[name] = blocked
	links := slices.DeleteFunc(slices.Collect(maps.Keys(h.open)), func(l *link) bool { return !blocked || l.peer != name })
	h.mu.Unlock()
	for _, l := range links {
		l.close(websocket.StatusGoingAway, "blocked")
	}
}

func (h *Hub) isBlocked(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blocked[name]
}

// Close closes all links.
func (h *Hub) Close() {
	h.mu.Lock()
	links := slices.Collect(maps.Keys(h.open))
	h.mu.Unlock()
	for _, l := range links {
		l.close(websocket.StatusGoingAway, "this daemon stops")
	}
	h.cancel()
}
