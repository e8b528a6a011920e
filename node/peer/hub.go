package peer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/node/telemetry"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Handler serves a kind of message. The answer is not sent where none is wanted.
type Handler func(ctx context.Context, from string, body cbor.RawMessage) (any, error)

// Hub holds the links of a daemon.
type Hub struct {
	self     string
	keys     [][]byte
	metrics  *telemetry.Metrics
	log      *slog.Logger
	client   *http.Client // dials; nil for the default one
	handlers map[Kind]Handler

	mu      sync.Mutex
	links   map[string]*link
	dialing map[string]chan struct{}
	blocked map[string]bool
	ctx     context.Context
	cancel  context.CancelFunc
}

// NewHub returns a hub without links. The first key signs, all are accepted.
func NewHub(self string, keys []string, metrics *telemetry.Metrics) *Hub {
	h := &Hub{
		self: self, metrics: metrics, log: slog.New(slog.DiscardHandler), handlers: map[Kind]Handler{}, links: map[string]*link{},
		dialing: map[string]chan struct{}{}, blocked: map[string]bool{},
	}
	for _, k := range keys {
		h.keys = append(h.keys, []byte(k))
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// LogTo sets where frames that waited long are reported. It is set before the hub is used.
func (h *Hub) SetLogger(log *slog.Logger) { h.log = log }

// DialWith sets the client that opens links, for networks other than the host's own. It is
// set before the hub is used.
func (h *Hub) SetHTTPClient(client *http.Client) { h.client = client }

// Handle sets the handler of a kind. All are set before the hub is used.
func (h *Hub) Handle(kind Kind, serve Handler) { h.handlers[kind] = serve }

// TypedHandler wraps a typed function as a handler.
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

// minLoggedWait is the time for which a frame waits to be written until a line tells of it: a
// quarter of the time in which a heartbeat has to be answered.
const minLoggedWait = 250 * time.Millisecond

// written notes how long a frame waited behind others and took to be written.
func (h *Hub) recordWrite(to string, out queuedFrame) {
	waited := time.Since(out.queued)
	h.metrics.PeerWait.WithLabelValues(out.kind.String()).Observe(waited.Seconds())
	if waited > minLoggedWait {
		h.log.Warn("a frame waited to be sent", "peer", to, "frame", out.kind.String(), "bytes", len(out.data), "waited_ms", waited.Milliseconds())
	}
}

func (h *Hub) countRefused(reason string) { h.metrics.PeerRefused.WithLabelValues(reason).Inc() }

// Handler accepts links of peers.
func (h *Hub) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			h.countRefused("not_a_websocket")
			return
		}
		conn.SetReadLimit(MaxFrameSize)
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
		l := newLink(h, name, conn)
		h.addLink(l)
		l.run(h.ctx)
	})
}

func (h *Hub) addLink(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The newest link wins: a peer that dials again has lost the one before. Two
	// daemons may dial each other at once; both links work, and one is used.
	h.links[l.peer] = l
}

func (h *Hub) removeLink(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[l.peer] == l {
		delete(h.links, l.peer)
	}
}

// Address is a peer and where it listens.
type Address struct {
	Name, Address string
}

// link returns an open link, dialing if there is none. One goroutine dials, the
// others wait for it.
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
			if !h.hasLink(to.Name) {
				return nil, errClosed
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (h *Hub) hasLink(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[name] != nil
}

func (h *Hub) dial(ctx context.Context, to Address) (*link, error) {
	defer func() {
		h.mu.Lock()
		close(h.dialing[to.Name])
		delete(h.dialing, to.Name)
		h.mu.Unlock()
	}()
	return h.connect(ctx, to)
}

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
	conn.SetReadLimit(MaxFrameSize)
	name, err := h.dialHandshake(ctx, conn, to.Name)
	if err != nil {
		h.countRefused("bad_proof")
		_ = conn.CloseNow()
		return nil, errors.Wrap(err, "greet "+to.Name+" at "+to.Address)
	}
	l := newLink(h, name, conn)
	h.addLink(l)
	go l.run(h.ctx)
	return l, nil
}

// Linked lists the peers with an open link.
func (h *Hub) LinkedPeers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.links))
	for name := range h.links {
		names = append(names, name)
	}
	return names
}

// linkIdleTimeout is how long an unused link is kept.
const linkIdleTimeout = 5 * time.Minute

// CloseIdle closes links that carried no question for long and are not wanted.
func (h *Hub) CloseIdle(wanted func(name string) bool) {
	limit := time.Now().Add(-linkIdleTimeout).Unix()
	h.mu.Lock()
	var idle []*link
	for name, l := range h.links {
		if !wanted(name) && l.lastCallAt.Load() < limit {
			idle = append(idle, l)
		}
	}
	h.mu.Unlock()
	for _, l := range idle {
		l.close(websocket.StatusNormalClosure, "idle")
	}
}

// Block cuts a peer off, as a network partition would; tests use it.
func (h *Hub) Block(name string, blocked bool) {
	h.mu.Lock()
	h.blocked[name] = blocked
	l := h.links[name]
	h.mu.Unlock()
	if blocked && l != nil {
		l.close(websocket.StatusGoingAway, "blocked")
	}
}

func (h *Hub) isBlocked(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blocked[name]
}

// Close ends all links.
func (h *Hub) Close() {
	h.mu.Lock()
	links := make([]*link, 0, len(h.links))
	for _, l := range h.links {
		links = append(links, l)
	}
	h.mu.Unlock()
	for _, l := range links {
		l.close(websocket.StatusGoingAway, "this daemon stops")
	}
	h.cancel()
}
