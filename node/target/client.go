package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/core/stream"
	"github.com/go-faster/errors"
)

// CallError is a failed call to a target, with what is known of its execution there.
type CallError struct {
	// Execution is NotRun only where no byte was sent or the target itself said so.
	Execution fault.Execution
	// Code is the code of the target's refusal, or empty.
	Code string
	// Relay is the daemon that the call went through, or empty.
	Relay string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("%v (%s)", e.Err, e.Execution) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Refused reports whether the target itself rejected the call before running it.
func (e *CallError) Refused() bool { return e.Code != "" && e.Execution == fault.NotRun }

// ExecutionOf returns the execution state of a failed call, Unknown where err holds no CallError.
func ExecutionOf(err error) fault.Execution {
	var call *CallError
	if errors.As(err, &call) {
		return call.Execution
	}
	return fault.Unknown
}

// RelayOf returns the daemon that a failed call went through, or an empty string.
func RelayOf(err error) string {
	var call *CallError
	if errors.As(err, &call) {
		return call.Relay
	}
	return ""
}

// ConnectionClosed reports whether a call that may have run failed because the target's end of
// the connection was closed or reset, as it is when the target's process ends. PathFailed tells that from a failure of
// the path.
func ConnectionClosed(err error) bool {
	if ExecutionOf(err) == fault.NotRun {
		return false
	}
	return errors.Is(err, ErrRelayEnded) || errors.Is(err, ErrProcessEnded) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Client calls targets over HTTP. It is safe for concurrent use.
type Client struct {
	http         *http.Client
	transport    *http.Transport
	witnesses    *witnesses
	disconnected atomic.Bool
}

// dialTimeout bounds the time to connect to a target.
const dialTimeout = time.Second

// NewClient returns a client with its own connection pool, which connects to targets directly.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadSize,
	}
	c := &Client{http: &http.Client{Transport: transport, CheckRedirect: returnRedirect}, transport: transport}
	c.witnesses = newWitnesses(loadAsker{c})
	return c
}

// returnRedirect makes net/http return an answer that redirects. Following it would send the call a second time, to an address
// that need not be a target's.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// UseConnector opens all connections with a connector, which may open them through relays. It must be called before
// the client is used.
func (c *Client) UseConnector(connector *Connector) {
	c.transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		return connector.connect(ctx, address)
	}
}

// Disconnect makes every later call fail and closes the idle connections.
func (c *Client) Disconnect() {
	c.disconnected.Store(true)
	c.http.CloseIdleConnections()
}

// errDisconnected is the error of calls after Disconnect.
var errDisconnected = errors.New("the client has been disconnected")

// sendState records whether a request was given a connection; without one it was not sent.
type sendState struct {
	connected atomic.Bool
}

// send makes a request and reports in a CallError whether a failed one may have run. The
// request has no GetBody, so net/http never sends it a second time on its own, as it
// otherwise does for a request that carries an Idempotency-Key header.
func (c *Client) send(ctx context.Context, method, address string, header http.Header, body []byte) (*http.Response, error) {
	if c.disconnected.Load() {
		return nil, &CallError{Execution: fault.Unknown, Err: errDisconnected}
	}
	sent := &sendState{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, address, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &CallError{Execution: fault.NotRun, Err: errors.Wrap(err, "build the request")}
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		// net/http treats a body of length 0 as no body and may send such a request twice.
		req.ContentLength = -1
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		execution := fault.NotRun
		if sent.connected.Load() {
			execution = fault.Unknown
		}
		return nil, &CallError{Execution: execution, Err: err}
	}
	if err := checkFinalStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, &CallError{Execution: fault.Unknown, Err: err}
	}
	return resp, nil
}

// postJSON sends a JSON message and waits until the target has executed it.
func (c *Client) postJSON(ctx context.Context, address, path string, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &CallError{Execution: fault.NotRun, Err: err}
	}
	resp, err := c.send(ctx, http.MethodPost, "http://"+address+path, jsonHeader(), body)
	if err != nil {
		return err
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return refusalError(resp)
	}
	return nil
}

// getJSON reads a JSON document from a target into out.
func (c *Client) getJSON(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "build the request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the target")
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return errors.New("the target answered " + resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportSize)).Decode(out); err != nil {
		return errors.Wrap(err, "decode the target's report")
	}
	return nil
}

// maxReportSize bounds a target's report, in bytes.
const maxReportSize = 4 << 20

// maxDrainSize bounds the bytes that are read and discarded to reuse a connection.
const maxDrainSize = 64 << 10

// drainAndClose discards up to maxDrainSize bytes of a body and closes it; a connection whose body
// was read to its end is reused.
func drainAndClose(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainSize)
	_ = resp.Body.Close()
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

// refusalError turns an error answer into a CallError. Its Execution is NotRun only
// where the target itself says that nothing ran.
func refusalError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxDrainSize))
	e := &CallError{Execution: fault.Unknown, Err: errors.New("the target answered " + resp.Status)}
	answer := parseRefusal(body)
	if answer.Code == "" {
		return e
	}
	e.Code = answer.Code
	e.Err = errors.New(fmt.Sprintf("the target refused the call: %s (%s)", answer.Message, answer.Code))
	e.Execution = fault.Ran
	if !answer.Ran {
		e.Execution = fault.NotRun
	}
	return e
}

// parseRefusal decodes an error answer. Code is empty where the body is not a refusal.
func parseRefusal(body []byte) ErrorAnswer {
	var answer ErrorAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return ErrorAnswer{}
	}
	return answer
}

// Generate asks an engine for an answer and passes each chunk to emit as it arrives. It
// returns nil where the stream ended without an error, which does not make the answer complete:
// the caller's stream.Assembler decides that.
func (c *Client) Generate(ctx context.Context, address string, g *GenerateRequest, emit func(stream.Chunk) error) error {
	return c.streamChunks(ctx, address, "/v1/generate", g, emit)
}

// Resume asks an engine for the rest of a stream whose connection failed.
func (c *Client) Resume(ctx context.Context, address string, r ResumeRequest, emit func(stream.Chunk) error) error {
	return c.streamChunks(ctx, address, "/v1/resume", r, emit)
}

func (c *Client) streamChunks(ctx context.Context, address, path string, in any, emit func(stream.Chunk) error) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &CallError{Execution: fault.NotRun, Err: err}
	}
	resp, err := c.send(ctx, http.MethodPost, "http://"+address+path, jsonHeader(), body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusalError(resp)
	}
	return readChunks(resp.Body, emit)
}

// maxChunkSize bounds a chunk; readBufferSize is the initial read buffer of an open stream. Both
// are in bytes.
const (
	maxChunkSize   = 1 << 20
	readBufferSize = 4 << 10
)

// readChunks decodes a stream of chunks, one JSON object per line, and passes each to emit.
func readChunks(body io.Reader, emit func(stream.Chunk) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, readBufferSize), maxChunkSize)
	for lines.Scan() {
		var c Chunk
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			// A target that dies while it writes leaves a truncated last line.
			return &CallError{Execution: fault.Unknown, Err: errors.Wrap(err, "decode the target's stream")}
		}
		if c.Error != "" {
			return &CallError{Execution: fault.Ran, Err: errors.New("the target ended the stream with an error: " + c.Error)}
		}
		if err := emit(streamChunk(c)); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return &CallError{Execution: fault.Unknown, Err: errors.Wrap(err, "read the target's stream")}
	}
	return nil
}

func streamChunk(c Chunk) stream.Chunk {
	return stream.Chunk{Attempt: c.Attempt, Index: c.Index, Text: c.Text, End: c.End, Total: c.Total, FinishReason: c.FinishReason}
}

// Cancel stops the stream of an attempt.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	return c.postJSON(ctx, address, "/v1/cancel", CancelRequest{Attempt: attempt})
}

// Load reads a target's load report.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var r LoadReport
	err := c.getJSON(ctx, address, "/v1/load", &r)
	return r, err
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.getJSON(ctx, address, fmt.Sprintf("/v1/events?after=%d", after), &events)
	return events, err
}

// Reserve reserves memory for a part of a long prompt.
func (c *Client) Reserve(ctx context.Context, address string, r Reservation) error {
	return c.postJSON(ctx, address, "/v1/reserve", r)
}

// Release frees reserved memory.
func (c *Client) Release(ctx context.Context, address, id string) error {
	return c.postJSON(ctx, address, "/v1/release", ReleaseRequest{ID: id})
}

// Prefill has an engine prefill a part of a prompt into reserved memory.
func (c *Client) Prefill(ctx context.Context, address string, p *PrefillRequest) error {
	return c.postJSON(ctx, address, "/v1/prefill", p)
}

// Order sends an engine its desired state.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	return c.postJSON(ctx, address, "/v1/order", o)
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Method string
	// Path starts with a slash and may include a query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxServiceAnswerSize bounds an answer of a plain service, in bytes. The answer is buffered
// whole so that a caller never gets a truncated one.
const maxServiceAnswerSize = 8 << 20

// CallService calls a plain service once and returns its whole answer.
func (c *Client) CallService(ctx context.Context, address string, s *ServiceCall) (*ServiceAnswer, error) {
	ctx, end := c.beginEndCheck(ctx, address)
	defer end.release()
	resp, err := c.send(ctx, s.Method, "http://"+address+s.Path, s.Header, s.Body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	end.recordHead(resp)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswerSize+1))
	if err != nil {
		return nil, &CallError{Execution: fault.Unknown, Err: errors.Wrap(err, "read the service's answer")}
	}
	if len(body) > maxServiceAnswerSize {
		return nil, &CallError{Execution: fault.Ran, Err: errors.New("the service's answer exceeds 8 MB")}
	}
	if err := end.confirm(ctx); err != nil {
		return nil, &CallError{Execution: fault.Unknown, Err: errors.Wrap(err, "read the service's answer")}
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		if err := serviceRefusalError(body); err != nil {
			return nil, err
		}
	}
	return &ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// serviceRefusalError returns an error where the body says that the service did not run the call, or nil.
func serviceRefusalError(body []byte) error {
	answer := parseRefusal(body)
	if answer.Code == "" || answer.Ran {
		return nil
	}
	return &CallError{Execution: fault.NotRun, Code: answer.Code, Err: errors.New("the service refused the call: " + answer.Message)}
}
