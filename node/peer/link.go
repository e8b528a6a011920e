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
	peer string
	hub  *Hub
	conn *websocket.Conn
	out  chan outgoing
	done chan struct{}
	once sync.Once
	used atomic.Int64 // when it last carried a question, in Unix seconds
	came atomic.Int64 // when anything last came over it, in Unix nanoseconds

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan Frame
	// unanswered is when the first question was sent of those since which nothing has come;
	// zero when something has.
	unanswered time.Time
}

// outgoing is a frame that waits to be written.
type outgoing struct {
	kind   Kind
	data   []byte
	queued time.Time
}

// silentAfter is how long a peer may say nothing while questions wait: two heartbeats. An
// open connection may go silent for good without an error, while a new one works.
const silentAfter = 2 * time.Second

// outQueue bounds the frames that wait for a slow peer; when it is full the link
// is closed, so that a slow peer holds nobody up.
const outQueue = 256

// writeTimeout bounds the time to write a frame.
const writeTimeout = 5 * time.Second

var (
	errClosed = errors.New("the link to the peer is closed")
	errSilent = errors.New("nothing came from the peer in time")
	errSlow   = errors.New("the peer does not read fast enough")
)

func newLink(h *Hub, peer string, conn *websocket.Conn) *link {
	l := &link{peer: peer, hub: h, conn: conn, out: make(chan outgoing, outQueue), done: make(chan struct{}), waiting: map[uint64]chan Frame{}}
	l.touch()
	return l
}

func (l *link) touch() { l.used.Store(time.Now().Unix()) }

// run serves the link until it breaks.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.write(ctx)
	for {
		data, err := l.read(ctx)
		if err != nil {
			l.close(websocket.StatusNormalClosure, "done")
			return
		}
		var f Frame
		if err := cbor.Unmarshal(data, &f); err != nil {
			l.hub.refused("garbled_frame")
			l.close(websocket.StatusProtocolError, "garbled frame")
			return
		}
		l.hub.count(telemetry.DirectionIn, f.Kind, len(data))
		l.mu.Lock()
		l.unanswered = time.Time{}
		l.mu.Unlock()
		l.receive(ctx, f)
	}
}

// read reads a message and notes that something comes while it does.
func (l *link) read(ctx context.Context) ([]byte, error) {
	_, message, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(&notingReader{message, &l.came})
}

// notingReader notes when something was read.
type notingReader struct {
	from io.Reader
	at   *atomic.Int64
}

// noteEvery is how many bytes are read at a time, since the library returns when all that was
// asked for is there: 6 ms of a link of 20 Mbit/s.
const noteEvery = 16 << 10

func (r *notingReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p[:min(len(p), noteEvery)])
	r.at.Store(time.Now().UnixNano())
	return n, err
}

func (l *link) receive(ctx context.Context, f Frame) {
	if f.Answer {
		l.mu.Lock()
		waiting := l.waiting[f.ID]
		delete(l.waiting, f.ID)
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
		l.hub.refused("unknown_kind")
		if f.ID != 0 {
			l.answer(Frame{Kind: f.Kind, ID: f.ID, Answer: true, Error: "this daemon does not know the message; it may be an older version"})
		}
		return
	}
	if f.ID == 0 {
		// News is taken in order; handlers of news do not wait for anything.
		_, _ = serve(ctx, l.peer, f.Body)
		return
	}
	go l.serve(ctx, serve, f)
}

func (l *link) serve(ctx context.Context, serve Handler, f Frame) {
	answer := Frame{Kind: f.Kind, ID: f.ID, Answer: true}
	body, err := serve(ctx, l.peer, f.Body)
	if err == nil {
		answer.Body, err = encode(body)
	}
	if err != nil {
		answer.Error = err.Error()
	}
	l.answer(answer)
}

func (l *link) answer(f Frame) {
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
	if len(data) > MaxFrame {
		return errors.New("the frame is over the bound of a frame")
	}
	l.hub.count(telemetry.DirectionOut, f.Kind, len(data))
	select {
	case <-l.done:
		return errClosed
	case l.out <- outgoing{f.Kind, data, time.Now()}:
		return nil
	default:
		l.close(websocket.StatusPolicyViolation, errSlow.Error())
		return errSlow
	}
}

func (l *link) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case out := <-l.out:
			writing, cancel := context.WithTimeout(ctx, writeTimeout)
			err := l.conn.Write(writing, websocket.MessageBinary, out.data)
			cancel()
			l.hub.written(l.peer, out)
			if err != nil {
				l.close(websocket.StatusPolicyViolation, "write failed")
				return
			}
		}
	}
}

// ask sends a question and waits for its answer, until ctx ends or, where silence is above
// zero, nothing has come over the link for so long.
func (l *link) ask(ctx context.Context, kind Kind, body cbor.RawMessage, silence time.Duration) (cbor.RawMessage, error) {
	l.touch()
	asked := time.Now()
	answer := make(chan Frame, 1)
	l.mu.Lock()
	l.next++
	id := l.next
	l.waiting[id] = answer
	if l.unanswered.IsZero() {
		l.unanswered = time.Now()
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.waiting, id)
		l.mu.Unlock()
	}()
	if err := l.send(Frame{Kind: kind, ID: id, Body: body}); err != nil {
		return nil, err
	}
	var silent <-chan time.Time
	if silence > 0 {
		timer := time.NewTicker(silence / silenceLooks)
		defer timer.Stop()
		silent = timer.C
	}
	for {
		select {
		case f := <-answer:
			if f.Error != "" {
				return nil, &RefusedError{f.Error}
			}
			return f.Body, nil
		case <-l.done:
			return nil, errClosed
		case now := <-silent:
			if now.Sub(asked) >= silence && l.quietFor(now) >= silence {
				l.closeIfSilent(now)
				return nil, errSilent
			}
		case <-ctx.Done():
			l.closeIfSilent(time.Now())
			return nil, ctx.Err()
		}
	}
}

// silenceLooks is how often in the time of a silence it is looked for.
const silenceLooks = 8

// quietFor is how long nothing has come over the link, parts of a message included.
func (l *link) quietFor(now time.Time) time.Duration { return now.Sub(time.Unix(0, l.came.Load())) }

// closeIfSilent gives a link up whose peer has answered nothing for too long, so that the
// next question goes over a new one. One over which a large answer comes is not silent.
func (l *link) closeIfSilent(now time.Time) {
	l.mu.Lock()
	since := l.unanswered
	l.mu.Unlock()
	if since.IsZero() || now.Sub(since) < silentAfter || l.quietFor(now) < silentAfter {
		return
	}
	l.hub.refused("silent")
	l.close(websocket.StatusGoingAway, "silent")
}

func (l *link) close(code websocket.StatusCode, reason string) {
	l.once.Do(func() {
		close(l.done)
		l.hub.forget(l)
		go func() { _ = l.conn.Close(code, reason) }()
	})
}
