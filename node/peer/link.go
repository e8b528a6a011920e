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

// link is an open connection to a peer. Both ends may ask.
type link struct {
	peer       string
	hub        *Hub
	conn       *websocket.Conn
	sendQueue  chan queuedFrame
	closed     chan struct{}
	closeOnce  sync.Once
	lastCallAt atomic.Int64 // when it last carried a question, in Unix seconds
	lastReadAt atomic.Int64 // when anything last came over it, in Unix nanoseconds

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan Frame
	// unanswered is when the first question was sent of those since which nothing has come;
	// zero when something has.
	unansweredSince time.Time
}

// queuedFrame is a frame that waits to be written.
type queuedFrame struct {
	kind   Kind
	data   []byte
	queued time.Time
}

// silenceTimeout is how long a peer may say nothing while questions wait: two heartbeats. An
// open connection may go silent for good without an error, while a new one works.
const silenceTimeout = 2 * time.Second

// sendQueueSize bounds the frames that wait for a slow peer; when it is full the link
// is closed, so that a slow peer holds nobody up.
const sendQueueSize = 256

// writeTimeout bounds the time to write a frame.
const writeTimeout = 5 * time.Second

var (
	errClosed   = errors.New("the link to the peer is closed")
	errSilent   = errors.New("nothing came from the peer in time")
	errSlowPeer = errors.New("the peer does not read fast enough")
)

func newLink(h *Hub, peer string, conn *websocket.Conn) *link {
	l := &link{peer: peer, hub: h, conn: conn, sendQueue: make(chan queuedFrame, sendQueueSize), closed: make(chan struct{}), pending: map[uint64]chan Frame{}}
	l.recordCall()
	return l
}

func (l *link) recordCall() { l.lastCallAt.Store(time.Now().Unix()) }

// run serves the link until it breaks.
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

// read reads a message and notes that something comes while it does.
func (l *link) readMessage(ctx context.Context) ([]byte, error) {
	_, message, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(&timestampReader{message, &l.lastReadAt})
}

// timestampReader notes when something was read.
type timestampReader struct {
	source     io.Reader
	lastReadAt *atomic.Int64
}

// maxReadSize is how many bytes are read at a time, since the library returns when all that was
// asked for is there: 6 ms of a link of 20 Mbit/s.
const maxReadSize = 16 << 10

func (r *timestampReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p[:min(len(p), maxReadSize)])
	r.lastReadAt.Store(time.Now().UnixNano())
	return n, err
}

func (l *link) handleFrame(ctx context.Context, f Frame) {
	if f.Answer {
		l.mu.Lock()
		waiting := l.pending[f.ID]
		delete(l.pending, f.ID)
		l.mu.Unlock()
		if waiting == nil {
			l.hub.metrics.PeerUnwanted.WithLabelValues(f.Kind.String()).Add(float64(len(f.Body)))
			return
		}
		waiting <- f
		return
	}
	serve := l.hub.handlers[f.Kind]
	if serve == nil {
		l.hub.countRefused("unknown_kind")
		if f.ID != 0 {
			l.sendAnswer(Frame{Kind: f.Kind, ID: f.ID, Answer: true, Error: "this daemon does not know the message; it may be an older version"})
		}
		return
	}
	if f.ID == 0 {
		// News is taken in order; handlers of news do not wait for anything.
		_, _ = serve(ctx, l.peer, f.Body)
		return
	}
	go l.serveRequest(ctx, serve, f)
}

func (l *link) serveRequest(ctx context.Context, serve Handler, f Frame) {
	answer := Frame{Kind: f.Kind, ID: f.ID, Answer: true}
	body, err := serve(ctx, l.peer, f.Body)
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

// send queues a frame.
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

func (l *link) writeFrames(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.closed:
			return
		case out := <-l.sendQueue:
			writing, cancel := context.WithTimeout(ctx, writeTimeout)
			err := l.conn.Write(writing, websocket.MessageBinary, out.data)
			cancel()
			l.hub.recordWrite(l.peer, out)
			if err != nil {
				l.close(websocket.StatusPolicyViolation, "write failed")
				return
			}
		}
	}
}

// ask sends a question and waits for its answer, until ctx ends or, where silence is above
// zero, nothing has come over the link for so long.
func (l *link) call(ctx context.Context, kind Kind, body cbor.RawMessage, silence time.Duration) (cbor.RawMessage, error) {
	l.recordCall()
	asked := time.Now()
	answer := make(chan Frame, 1)
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	l.pending[id] = answer
	if l.unansweredSince.IsZero() {
		l.unansweredSince = time.Now()
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
	}()
	if err := l.send(Frame{Kind: kind, ID: id, Body: body}); err != nil {
		return nil, err
	}
	var silent <-chan time.Time
	if silence > 0 {
		timer := time.NewTicker(silence / silenceChecks)
		defer timer.Stop()
		silent = timer.C
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
		case now := <-silent:
			if now.Sub(asked) >= silence && l.sinceLastRead(now) >= silence {
				l.closeIfSilent(now)
				return nil, errSilent
			}
		case <-ctx.Done():
			l.closeIfSilent(time.Now())
			return nil, ctx.Err()
		}
	}
}

// silenceChecks is how often in the time of a silence it is looked for.
const silenceChecks = 8

// quietFor is how long nothing has come over the link, parts of a message included.
func (l *link) sinceLastRead(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, l.lastReadAt.Load()))
}

// closeIfSilent gives a link up whose peer has answered nothing for too long, so that the
// next question goes over a new one. One over which a large answer comes is not silent.
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

func (l *link) close(code websocket.StatusCode, reason string) {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.hub.removeLink(l)
		go func() { _ = l.conn.Close(code, reason) }()
	})
}
