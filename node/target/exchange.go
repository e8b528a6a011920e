package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"github.com/go-faster/errors"
)

// Dialect writes and reads the headers by which the platform's callers and targets
// tell each other about a forwarded call.
type Dialect interface {
	// ReadCall decodes what a caller says of its request.
	ReadCall(h http.Header) forward.Call
	// WriteSend sets what the daemon says to a target.
	WriteSendParams(h http.Header, s *forward.SendParams)
	// ReadHead decodes the head of a target's answer.
	ReadHead(status int, h http.Header) forward.Head
	// Reserve makes the order by which a target sets memory aside under an id for so
	// long; the same order again renews it. Release makes the order that ends it.
	ReserveMessage(target, id string, tokens int64, hold time.Duration) forward.Message
	ReleaseMessage(target, id string) forward.Message
	// Report makes the question for a target's report of itself, and ReadReport decodes
	// the body of the answer.
	ReportMessage(target string) forward.Message
	ReadReport(body []byte) (forward.Report, error)
	// WriteFailure sets what callers read beside a failure of the daemon's own.
	WriteFailure(h http.Header, requestID string, retry bool, after time.Duration)
}

// Exchanger sends forwarded calls, each exactly once. It keeps connections open
// itself: a general HTTP client repeats a call on its own where a kept connection
// turns out to be dead, and such sends would be counted nowhere.
type Exchanger struct {
	Dialect Dialect

	mu   sync.Mutex
	idle map[string][]*persistConn // by address, the last used last
}

// The bounds of connections to targets.
const (
	// connectTimeout is many times the round trip between data centres (2 ms) and
	// well below the shortest goal for an answer (300 ms).
	connectTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged: a target that is
	// cut off or without power says nothing otherwise.
	unackedTimeout = time.Second
	// defaultIdleTimeout is how long a connection is kept where the target does not say.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the part of the target's own idle time that a connection is kept,
	// so that a call does not cross its close.
	idleTimeoutShare = 0.6
	// maxIdlePerTarget bounds the connections kept for one target.
	maxIdlePerTarget = 24
)

// NewExchanger returns an exchanger without connections.
func NewExchanger(d Dialect) *Exchanger {
	return &Exchanger{Dialect: d, idle: map[string][]*persistConn{}}
}

// Reply is a target's answer, whose body may still be on its way.
type Reply struct {
	forward.Head
	Header http.Header
	// Body ends with io.EOF only where the answer is whole.
	Body *answerBody
	// Length is the length of the body, or -1 where it is not told.
	Length int64
	// Sent is when the call's first byte was about to be written.
	Sent time.Time

	conn         *persistConn
	resp         *http.Response
	stopDeadline func() bool
}

// answerBody notes whether an answer was read to its end.
type answerBody struct {
	io.Reader
	atEOF bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.atEOF = b.atEOF || errors.Is(err, io.EOF)
	return n, err
}

// maxSkippedAnswers is how many answers to other calls are skipped on a connection.
const maxSkippedAnswers = 2

// ErrCallerDisconnected is why a call was not sent: its caller had closed the connection by then.
var ErrCallerDisconnected = errors.New("the caller has left")

// Send makes one send of a call. The error is a *CallError, whose Execution is
// NotRun only where no byte can have reached the target. The reply must be closed.
//
// The caller's connection is looked at last thing before the first byte: on a host that is
// short of processor the end of ctx comes late. Three hosts that took the load of 76 sent 29,
// 59 and 36 calls on over half a second after their callers had left (three plays of one day).
func (e *Exchanger) Send(ctx context.Context, address string, c *forward.Message) (*Reply, error) {
	ch, err := e.acquire(ctx, address)
	if err != nil {
		return nil, &CallError{Execution: fault.NotRun, Err: errors.Wrap(err, "connect to the target")}
	}
	if err := ch.setProbes(c.ProbeConnection); err != nil {
		ch.close()
		return nil, &CallError{Execution: fault.NotRun, Err: errors.Wrap(err, "set up the connection to the target")}
	}
	if c.CallerDisconnected != nil && c.CallerDisconnected() {
		e.putIdle(ch) // Nothing was written to it.
		return nil, &CallError{Execution: fault.NotRun, Err: ErrCallerDisconnected}
	}
	// The end of ctx unblocks reads and writes; the channel is closed afterwards.
	stop := context.AfterFunc(ctx, func() { _ = ch.conn.SetDeadline(time.Unix(1, 0)) })
	sent := time.Now()
	reply, err := e.exchange(ch, c)
	if err != nil {
		stop()
		ch.close()
		execution := fault.Unknown
		if ch.bytesSent.Load() == 0 {
			execution = fault.NotRun
		}
		return nil, &CallError{Execution: execution, Err: err}
	}
	reply.stopDeadline, reply.Sent = stop, sent
	return reply, nil
}

func (e *Exchanger) exchange(ch *persistConn, c *forward.Message) (*Reply, error) {
	req := &http.Request{
		Method: c.Method, Host: c.Host, Header: c.Header,
		URL:           &url.URL{Opaque: c.URI},
		ContentLength: int64(len(c.Body)),
		Body:          http.NoBody,
	}
	ch.startWrite(req, c.Body)
	for range maxSkippedAnswers + 1 {
		resp, err := ch.readFinalResponse(req) //nolint:bodyclose // The body ends with the channel, which Close or Send closes.
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		head := e.Dialect.ReadHead(resp.StatusCode, resp.Header)
		if c.ID == "" || head.RequestID == c.ID {
			return &Reply{Head: head, Header: resp.Header, Body: &answerBody{Reader: resp.Body}, Length: resp.ContentLength, conn: ch, resp: resp}, nil
		}
		// A late answer to an earlier call; the one that is waited for may follow.
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainSize)); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another call")
		}
	}
	return nil, errors.New("the target answers other calls than this one")
}

// Close ends the exchange. The connection is kept if the answer was read to its end.
func (e *Exchanger) Close(r *Reply) {
	stopped := r.stopDeadline()
	if !r.Body.atEOF || !stopped || r.resp.Close || !r.conn.reusable() {
		r.conn.close()
		return
	}
	r.conn.idleTimeout = idleTimeoutFrom(r.Header)
	e.putIdle(r.conn)
}

// take returns a kept connection that is still good, or a new one.
func (e *Exchanger) acquire(ctx context.Context, address string) (*persistConn, error) {
	for {
		ch := e.popIdle(address)
		if ch == nil {
			return dial(ctx, address)
		}
		if ch.usable(time.Now()) {
			ch.bytesSent.Store(0)
			return ch, nil
		}
		ch.close()
	}
}

func (e *Exchanger) popIdle(address string) *persistConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	ch := list[last]
	list[last] = nil
	e.idle[address] = list[:last]
	return ch
}

func (e *Exchanger) putIdle(ch *persistConn) {
	ch.idleSince = time.Now()
	e.mu.Lock()
	if len(e.idle[ch.address]) < maxIdlePerTarget {
		e.idle[ch.address] = append(e.idle[ch.address], ch)
		ch = nil
	}
	e.mu.Unlock()
	if ch != nil {
		ch.close()
	}
}

// sweepInterval is how often connections that were idle for too long are closed.
const sweepInterval = time.Second

// Run closes connections that were idle for too long, until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.closeExpired(now)
		}
	}
}

func (e *Exchanger) closeExpired(now time.Time) {
	e.mu.Lock()
	var old []*persistConn
	for address, list := range e.idle {
		kept := list[:0]
		for _, ch := range list {
			if ch.expired(now) {
				old = append(old, ch)
				continue
			}
			kept = append(kept, ch)
		}
		if len(kept) == 0 {
			delete(e.idle, address)
			continue
		}
		clear(list[len(kept):])
		e.idle[address] = kept
	}
	e.mu.Unlock()
	for _, ch := range old {
		ch.close()
	}
}

func dial(ctx context.Context, address string) (*persistConn, error) {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUnackedTimeout(raw, unackedTimeout)
	}}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	ch := &persistConn{address: address, conn: conn, idleTimeout: defaultIdleTimeout}
	ch.reader = bufio.NewReaderSize(conn, readBufferSize)
	return ch, nil
}
