package target

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"github.com/go-faster/errors"
)

// Dialect is the platform's format of forwarded calls: it decodes the headers of callers and
// targets and the reports of targets, and encodes the daemon's own headers and messages.
type Dialect interface {
	// ReadCall decodes the headers of a caller's request.
	ReadCall(h http.Header) forward.Call
	// WriteSendParams sets the headers that the daemon sends to a target.
	WriteSendParams(h http.Header, s *forward.SendParams)
	// ReadHead decodes the head of a target's answer.
	ReadHead(status int, h http.Header) forward.Head
	// ReserveMessage returns the message that reserves memory at a target under an id for the time
	// hold; sent again, it renews the reservation. ReleaseMessage returns the message that ends it.
	ReserveMessage(target, id string, tokens int64, hold time.Duration) forward.Message
	ReleaseMessage(target, id string) forward.Message
	// ReportMessage returns the request for a target's report, which a target of any kind answers at once in some way, and
	// ReadReport decodes the body of an engine's answer.
	ReportMessage(target string) forward.Message
	ReadReport(body []byte) (forward.Report, error)
	// HealthMessage returns the health check of a target. The answer names the target.
	HealthMessage(target, path string) forward.Message
	// WriteFailure sets the headers of an error answer of the daemon itself: the request's id
	// and, where retry is set, the time after which to retry.
	WriteFailure(h http.Header, requestID string, retry bool, after time.Duration)
}

// Exchanger sends forwarded calls, each exactly once. It pools its connections itself:
// net/http's client repeats a call on its own where a pooled connection turns out to be
// closed, and such sends would not count towards the limits on retries.
type Exchanger struct {
	Dialect Dialect
	// Connect opens the connections to targets.
	Connect *Connector
	// OnEndCheck is called after each check whether a target has outlived an answer that ends with its connection; nil
	// means no call.
	OnEndCheck func(outcome EndCheck, took time.Duration)

	witnesses *witnesses

	mu   sync.Mutex
	idle map[string][]*persistConn // by address, most recently used last
}

// The bounds of connections to targets.
const (
	// defaultIdleTimeout is how long an idle connection is kept where the target names no time.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of the target's own idle timeout for which a connection is
	// kept, so that no call is sent while the target closes it.
	idleTimeoutShare = 0.6
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 24
)

// NewExchanger returns an Exchanger that opens its connections with a connector.
func NewExchanger(d Dialect, c *Connector) *Exchanger {
	e := &Exchanger{Dialect: d, Connect: c, idle: map[string][]*persistConn{}}
	c.spare = e.putIdle
	e.witnesses = newWitnesses(e)
	return e
}

// Reply is a target's answer, whose body may not have arrived yet.
type Reply struct {
	forward.Head
	Header http.Header
	// Body ends with io.EOF only where the answer is complete.
	Body *answerBody
	// Length is the length of the body in bytes, or -1 where it is not known.
	Length int64
	// Sent is the time just before the call's first byte was written, and headTook the time from then until the head had
	// been read.
	Sent     time.Time
	headTook time.Duration

	// Relay is the daemon that the call went through; it is empty if this host's own path was used.
	Relay string

	conn         *persistConn
	resp         *http.Response
	stopDeadline func() bool
	// watch is nil where the end of the answer does not need one.
	watch *watch
}

// Framing is what marks the end of an answer.
type Framing string

// The framings of answers.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByConnection means that the answer ends with its connection, which the target's process may have caused by
	// ending.
	FramedByConnection Framing = "connection"
)

// Framing returns what marks the end of the answer.
func (r *Reply) Framing() Framing { return framingOf(r.Length, r.resp) }

// framingOf returns what marks the end of an answer whose body has a length in bytes, -1 where it is not known.
func framingOf(length int64, resp *http.Response) Framing {
	switch {
	case length >= 0:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByConnection
	}
}

// errBodyTooLong means that a body that is only discarded is longer than maxDrainSize.
var errBodyTooLong = errors.New("the body of the target's answer exceeds the size limit")

// Discard reads a body that is not needed to its end, so that the connection can be reused. It gives up after
// maxDrainSize.
func (r *Reply) Discard() error {
	n, err := io.Copy(io.Discard, io.LimitReader(readerFunc(r.Body.readUnchecked), maxDrainSize))
	if err == nil && n == maxDrainSize {
		return errBodyTooLong
	}
	return err
}

// DiscardArriving is Discard for a body that follows its head soon: it waits no longer than the head took.
func (r *Reply) DiscardArriving() error {
	if err := r.conn.conn.SetReadDeadline(time.Now().Add(r.headTook)); err != nil {
		return err
	}
	if err := r.Discard(); err != nil {
		return err // Close does not reuse the connection.
	}
	return r.conn.conn.SetReadDeadline(time.Time{})
}

// readerFunc is an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// answerBody records whether an answer was read to its end.
type answerBody struct {
	io.Reader
	atEOF bool
	// begin is called before the first read and checkEnd at the end of the answer, unless they are nil. The end is an error
	// if checkEnd returns one.
	begin    func()
	checkEnd func() error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.begin != nil {
		b.begin()
		b.begin = nil
	}
	n, err := b.readUnchecked(p)
	if n > 0 || !errors.Is(err, io.EOF) || b.checkEnd == nil {
		return n, err
	}
	if err := b.checkEnd(); err != nil {
		return 0, err
	}
	b.checkEnd = nil
	return 0, io.EOF
}

// readUnchecked reads without the check of the end.
func (b *answerBody) readUnchecked(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.atEOF = b.atEOF || errors.Is(err, io.EOF)
	return n, err
}

// maxSkippedAnswers bounds the answers with another call's id that are skipped before a call's own.
const maxSkippedAnswers = 2

// ErrCallerDisconnected means that a call was not sent because its caller had closed the connection.
var ErrCallerDisconnected = errors.New("the caller has disconnected")

// Send sends a call once. The error is a *CallError, whose Execution is NotRun only
// where no byte can have reached the target. The reply must be passed to Close.
//
// Send checks the caller's connection just before the first byte, because ctx ends late on a
// host that is short of CPU: three hosts that took over the load of 76 hosts forwarded 29, 59 and
// 36 calls more than half a second after their callers had disconnected.
func (e *Exchanger) Send(ctx context.Context, address string, c *forward.Message) (*Reply, error) {
	called := process{address, c.To.ID, c.To.Started}
	for {
		pc, err := e.acquire(ctx, address, c.ID)
		if err != nil {
			return nil, &CallError{Execution: fault.NotRun, Err: errors.Wrap(err, "connect to the target")}
		}
		var early *watch
		if c.ID != "" && e.witnesses.expectsUnframed(called) { // Not while connecting: a target's queue of new connections is short.
			early = e.witnesses.watchBeforeSend(called)
			early.awaitOpen(ctx, pc.connected())
		}
		reply, err := e.sendOver(ctx, pc, c)
		pc.trace(c.Trace)
		if err != nil && early != nil {
			early.release()
		}
		if err != nil && ctx.Err() == nil && !errors.Is(err, ErrCallerDisconnected) && pc.kept && pc.unsent() {
			if c.Trace != nil {
				c.Trace.BrokenConnections++
			}
			continue // The kept connection was broken, so the call has not been sent yet.
		}
		if err == nil && c.ID != "" {
			reply.watch = early
			e.checkEndOf(ctx, reply, called, c.To)
		}
		return reply, err
	}
}

// sendOver sends a call over a connection.
func (e *Exchanger) sendOver(ctx context.Context, pc *persistConn, c *forward.Message) (*Reply, error) {
	if err := pc.prepare(c.ProbeConnection, len(c.Body)); err != nil {
		pc.close()
		return nil, &CallError{Execution: fault.NotRun, Err: errors.Wrap(err, "set up the connection to the target")}
	}
	if c.CallerDisconnected != nil && c.CallerDisconnected() {
		e.putIdle(pc) // No byte of the call was written.
		return nil, &CallError{Execution: fault.NotRun, Err: ErrCallerDisconnected}
	}
	if c.BeforeSend != nil {
		c.BeforeSend()
	}
	// The end of ctx unblocks reads and writes; the connection is closed afterwards.
	stop := context.AfterFunc(ctx, func() { _ = pc.conn.SetDeadline(time.Unix(1, 0)) })
	sent := time.Now()
	reply, err := e.exchange(pc, c)
	if err != nil {
		stop()
		pc.close()
		execution := fault.Unknown
		if pc.unsent() {
			execution = fault.NotRun
		}
		return nil, &CallError{Execution: execution, Relay: pc.relay, Err: err}
	}
	reply.stopDeadline, reply.Sent, reply.headTook = stop, sent, time.Since(sent)
	return reply, nil
}

// exchange writes a call and reads the head of its answer, skipping answers to earlier calls.
func (e *Exchanger) exchange(pc *persistConn, c *forward.Message) (*Reply, error) {
	pc.startWrite(c)
	req := &http.Request{Method: c.Method} // What the form of an answer depends on.
	for range maxSkippedAnswers + 1 {
		resp, err := pc.readFinalResponse(req) //nolint:bodyclose // The body ends with the connection, which Close or Send closes.
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		head := e.Dialect.ReadHead(resp.StatusCode, resp.Header)
		head.MediaType = mediaType(resp.Header)
		if c.ID == "" || head.RequestID == c.ID {
			return &Reply{Head: head, Header: resp.Header, Body: &answerBody{Reader: resp.Body}, Length: bodyLength(c, resp), Relay: pc.relay, conn: pc, resp: resp}, nil
		}
		if c.Method == http.MethodHead {
			return nil, errAnswerToAnother // Its body would be taken for the next head.
		}
		// A late answer to an earlier call; the answer to this call may follow.
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainSize)); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another call")
		}
	}
	return nil, errAnswerToAnother
}

var errAnswerToAnother = errors.New("the target's answers have the ids of other calls")

// bodyLength returns the length of an answer's body, or -1 where it is not known. The answer to HEAD declares the length of a
// body that it does not have.
func bodyLength(c *forward.Message, resp *http.Response) int64 {
	if c.Method == http.MethodHead {
		return 0
	}
	return resp.ContentLength
}

// mediaType returns the media type in a Content-Type header without its parameters, in lower case.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// Close ends the exchange. The connection is reused if the answer was read to its end.
func (e *Exchanger) Close(r *Reply) {
	if r.watch != nil {
		r.watch.release()
	}
	if !r.finish() {
		r.conn.close()
		return
	}
	e.putIdle(r.conn)
}

// finish ends the use of the connection for the answer and reports whether it can carry another call.
func (r *Reply) finish() bool {
	stopped := r.stopDeadline()
	if !r.Body.atEOF || !stopped || r.resp.Close || !r.conn.reusable() {
		return false
	}
	if r.resp.Request.Method == http.MethodHead {
		return false // The end of a second answer to it, which has no body, could not be found.
	}
	r.conn.idleTimeout, r.conn.rejected = idleTimeoutFrom(r.Header), ""
	if r.Classify() == forward.Rejected {
		r.conn.rejected = r.RequestID
	}
	return true
}

// acquire returns an idle connection that is still usable, or a new one, for a call with an id, which is empty for control requests. A
// target may repeat an answer where the next one is expected: a repeated rejection of the same call would be taken for the answer.
func (e *Exchanger) acquire(ctx context.Context, address, id string) (*persistConn, error) {
	for {
		pc := e.popIdle(address)
		if pc == nil {
			return e.Connect.open(ctx, address)
		}
		if pc.usable(time.Now()) && e.Connect.preferred(pc) && (id == "" || pc.rejected != id) {
			pc.reuse()
			return pc, nil
		}
		pc.close()
	}
}

// popIdle removes and returns the most recently used idle connection to a target, or nil.
func (e *Exchanger) popIdle(address string) *persistConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	pc := list[last]
	list[last] = nil
	e.idle[address] = list[:last]
	return pc
}

// putIdle keeps a connection for a later call, or closes it where the target already has
// maxIdlePerTarget idle ones.
func (e *Exchanger) putIdle(pc *persistConn) {
	pc.idleSince = time.Now()
	e.mu.Lock()
	if len(e.idle[pc.address]) < maxIdlePerTarget {
		e.idle[pc.address] = append(e.idle[pc.address], pc)
		pc = nil
	}
	e.mu.Unlock()
	if pc != nil {
		pc.close()
	}
}

// sweepInterval is how often expired idle connections are closed.
const sweepInterval = time.Second

// Run closes expired idle connections until ctx ends.
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
	var expired []*persistConn
	for address, list := range e.idle {
		kept := list[:0]
		for _, pc := range list {
			if pc.expired(now) || !e.Connect.preferred(pc) {
				expired = append(expired, pc)
				continue
			}
			kept = append(kept, pc)
		}
		if len(kept) == 0 {
			delete(e.idle, address)
			continue
		}
		clear(list[len(kept):])
		e.idle[address] = kept
	}
	e.mu.Unlock()
	for _, pc := range expired {
		pc.close()
	}
}
