package peer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/node/telemetry"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// link is an open connection to a peer. Both ends may send requests over it.
type link struct {
	peer      string
	hub       *Hub
	conn      *websocket.Conn
	sendQueue chan queuedFrame
	closed    chan struct{}
	closeOnce sync.Once
	opened    time.Time
	// lastCall and lastRead are the durations from opened until a call was last made over the link by
	// either side and until data last arrived, in nanoseconds. The time of day may step.
	lastCall, lastRead atomic.Int64

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]*pendingCall
	// abandoned are the ids of calls whose callers wait no more, the oldest first. Their late answers
	// still measure the link.
	abandoned []uint64
	// unansweredSince is the time of the first call since the last frame arrived; zero if no call
	// was made since then.
	unansweredSince time.Time
}

// pendingCall is a call without an answer.
type pendingCall struct {
	answer    chan Frame
	kind      Kind
	sent      time.Time
	abandoned bool
}

// maxAbandoned bounds the abandoned calls whose answers a link still expects.
const maxAbandoned = 64

// queuedFrame is an encoded frame in the send queue of a link.
type queuedFrame struct {
	kind   Kind
	data   []byte
	queued time.Time
}

// silenceTimeout is how long a peer may send nothing while calls wait for an answer: two
// heartbeats. An open connection may stop delivering for good without an error, while a new
// connection works.
const silenceTimeout = 2 * time.Second

// sendQueueSize bounds the frames that wait for a slow peer. When the queue is full the link is
// closed, so that a slow peer does not block senders.
const sendQueueSize = 256

// writeTimeout bounds the write of a frame, after its time in the send queue.
const writeTimeout = 5 * time.Second

var (
	errClosed      = errors.New("the link to the peer is closed")
	errIdleTimeout = errors.New("received no data from the peer within the idle timeout")
	errSlowPeer    = errors.New("the peer does not read fast enough")
)

func newLink(h *Hub, peer string, conn *websocket.Conn) *link {
	l := &link{peer: peer, hub: h, conn: conn, opened: time.Now(), sendQueue: make(chan queuedFrame, sendQueueSize), closed: make(chan struct{}), pending: map[uint64]*pendingCall{}}
	l.recordCall()
	return l
}

func (l *link) recordCall() { l.lastCall.Store(int64(time.Since(l.opened))) }

// run sends queued frames and handles received ones until the connection fails or the link is
// closed.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.writeFrames(ctx)
	for {
		data, err := l.readMessage(ctx)
		if err != nil {
			l.close(websocket.StatusNormalClosure, "done")
			return
		}
		var f Frame
		if err := cbor.Unmarshal(data, &f); err != nil {
			l.hub.countRefused("garbled_frame")
			l.close(websocket.StatusProtocolError, "garbled frame")
			return
		}
		l.hub.countFrame(telemetry.DirectionIn, f.Kind, len(data))
		l.mu.Lock()
		l.unansweredSince = time.Time{}
		l.mu.Unlock()
		l.handleFrame(ctx, f)
	}
}

// readMessage reads a message and updates lastRead as its parts arrive.
func (l *link) readMessage(ctx context.Context) ([]byte, error) {
	_, message, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(&timestampReader{message, l})
}

// timestampReader is a reader that records the time of each read in the link's lastRead.
type timestampReader struct {
	source io.Reader
	link   *link
}

// maxReadSize bounds the bytes of a read, since the library returns only when all requested bytes
// have arrived. 16 KiB take 6 ms over a link of 20 Mbit/s.
const maxReadSize = 16 << 10

func (r *timestampReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p[:min(len(p), maxReadSize)])
	r.link.lastRead.Store(int64(time.Since(r.link.opened)))
	return n, err
}

// handleFrame delivers an answer to its call, or runs the handler of a request or notification.
func (l *link) handleFrame(ctx context.Context, f Frame) {
	if f.Answer {
		l.mu.Lock()
		call := l.pending[f.ID]
		delete(l.pending, f.ID)
		l.mu.Unlock()
		if call != nil {
			l.hub.observeAnswer(l.peer, call)
		}
		if call == nil || call.abandoned {
			l.hub.metrics.PeerUnwantedBytes.WithLabelValues(f.Kind.String()).Add(float64(len(f.Body)))
			return
		}
		call.answer <- f
		return
	}
	handler := l.hub.handlers[f.Kind]
	if handler == nil {
		l.hub.countRefused("unknown_kind")
		if f.ID != 0 {
			l.sendAnswer(Frame{Kind: f.Kind, ID: f.ID, Answer: true, Error: "this daemon does not know the message; it may be an older version"})
		}
		return
	}
	if f.ID == 0 {
		// Notifications are handled in order; their handlers do not block.
		_, _ = handler(ctx, l.peer, f.Body)
		return
	}
	l.recordCall()
	go l.serveRequest(ctx, handler, f)
}

// serveRequest runs the handler of a request and sends its answer or error.
func (l *link) serveRequest(ctx context.Context, handler Handler, f Frame) {
	answer := Frame{Kind: f.Kind, ID: f.ID, Answer: true}
	body, err := handler(ctx, l.peer, f.Body)
	if err == nil {
		answer.Body, err = encode(body)
	}
	if err != nil {
		answer.Error = err.Error()
	}
	l.sendAnswer(answer)
}

func (l *link) sendAnswer(f Frame) {
	if err := l.send(f); err != nil {
		l.close(websocket.StatusPolicyViolation, err.Error())
	}
}

// send queues a frame. If the queue is full it closes the link and returns an error.
func (l *link) send(f Frame) error {
	data, err := encode(f)
	if err != nil {
		return err
	}
	if len(data) > MaxFrameSize {
		return errors.New("the frame is over the bound of a frame")
	}
	l.hub.countFrame(telemetry.DirectionOut, f.Kind, len(data))
	select {
	case <-l.closed:
		return errClosed
	case l.sendQueue <- queuedFrame{f.Kind, data, time.Now()}:
		return nil
	default:
		l.close(websocket.StatusPolicyViolation, errSlowPeer.Error())
		return errSlowPeer
	}
}

// writeFrames writes queued frames until the link is closed, ctx ends, or a write fails, which
// closes the link.
func (l *link) writeFrames(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.closed:
			return
		case frame := <-l.sendQueue:
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := l.conn.Write(writeCtx, websocket.MessageBinary, frame.data)
			cancel()
			l.hub.recordWrite(l.peer, frame)
			if err != nil {
				l.close(websocket.StatusPolicyViolation, "write failed")
				return
			}
		}
	}
}

// call sends a request and waits for its answer until ctx ends or, with an idleTimeout above zero,
// until no data has arrived over the link for that long.
func (l *link) call(ctx context.Context, kind Kind, body cbor.RawMessage, idleTimeout time.Duration) (cbor.RawMessage, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err() // The peer must not begin what nobody waits for.
	}
	l.recordCall()
	started := time.Now()
	answer := make(chan Frame, 1)
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	l.pending[id] = &pendingCall{answer: answer, kind: kind, sent: started}
	if l.unansweredSince.IsZero() {
		l.unansweredSince = time.Now()
	}
	l.mu.Unlock()
	defer l.abandon(id)
	if err := l.send(Frame{Kind: kind, ID: id, Body: body}); err != nil {
		return nil, err
	}
	var idleCheck <-chan time.Time
	if idleTimeout > 0 {
		ticker := time.NewTicker(idleTimeout / idleChecks)
		defer ticker.Stop()
		idleCheck = ticker.C
	}
	for {
		select {
		case f := <-answer:
			if f.Error != "" {
				return nil, &RemoteError{f.Error}
			}
			return f.Body, nil
		case <-l.closed:
			return nil, errClosed
		case now := <-idleCheck:
			if now.Sub(started) >= idleTimeout && l.sinceLastRead(now) >= idleTimeout {
				l.closeIfSilent(now)
				return nil, errIdleTimeout
			}
		case <-ctx.Done():
			l.closeIfSilent(time.Now())
			return nil, ctx.Err()
		}
	}
}

// abandon records that the caller of a call waits no more.
func (l *link) abandon(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := l.pending[id]
	if call == nil {
		return // It was answered.
	}
	call.abandoned = true
	l.abandoned = append(l.abandoned, id)
	if len(l.abandoned) > maxAbandoned {
		delete(l.pending, l.abandoned[0])
		l.abandoned = l.abandoned[1:]
	}
}

// idleChecks is the number of checks for received data within an idle timeout.
const idleChecks = 8

// lastReadAt returns when data last arrived over the link, or when the link was opened. Parts of a
// message count.
func (l *link) lastReadAt() time.Time { return l.opened.Add(time.Duration(l.lastRead.Load())) }

// sinceLastRead returns the time since lastReadAt.
func (l *link) sinceLastRead(now time.Time) time.Duration { return now.Sub(l.lastReadAt()) }

// closeIfSilent closes the link if calls wait for an answer and the peer has sent nothing for
// silenceTimeout, so that the next call uses a new link. A link over which a large answer is
// arriving is not silent.
func (l *link) closeIfSilent(now time.Time) {
	l.mu.Lock()
	since := l.unansweredSince
	l.mu.Unlock()
	if since.IsZero() || now.Sub(since) < silenceTimeout || l.sinceLastRead(now) < silenceTimeout {
		return
	}
	l.hub.countRefused("silent")
	l.close(websocket.StatusGoingAway, "silent")
}

// close closes the link once, with a WebSocket status code and reason, and removes it from the hub.
func (l *link) close(code websocket.StatusCode, reason string) {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.hub.removeLink(l)
		go func() { _ = l.conn.Close(code, reason) }()
	})
}
