// Package api is the HTTP interface for callers: the OpenAI-compatible endpoints, plain services,
// and calls that are forwarded by host name and path prefix.
//
// It authenticates callers, limits the size and memory of request bodies, decides from the
// daemon's phase and overload whether it accepts a call, resolves the route and the deadline, and
// writes the answer or the error of requestcontrol.Director, which runs the request.
package api

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/google/uuid"
)

// Headers of requests and answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the longest time that the caller waits for the answer, such as "30s".
	HeaderDeadline = "X-Deadline"
)

// Limits limit the resources of a daemon that callers can use.
type Limits struct {
	// MaxBody is the largest body, in bytes.
	MaxBody int64
	// Memory limits what is held at one time of all bodies and unread answers.
	Memory *callmemory.Budget
	// ReadProgressTimeout is the longest time in which the caller must send the next chunk of a
	// body.
	ReadProgressTimeout time.Duration
	// WriteProgressTimeout limits each write of a part of the answer, and so how slowly the caller
	// may read.
	WriteProgressTimeout time.Duration
}

// DefaultLimits returns limits for prompts of a million tokens on a host with 2 GB of memory.
func DefaultLimits() Limits {
	return Limits{MaxBody: 16 << 20, Memory: callmemory.New(512 << 20), ReadProgressTimeout: 10 * time.Second, WriteProgressTimeout: 10 * time.Second}
}

// Server serves requests of callers.
type Server struct {
	board    *blackboard.Blackboard
	director *requestcontrol.Director
	metrics  *telemetry.Metrics
	limits   Limits
}

// NewServer returns a server that runs requests through the director.
func NewServer(board *blackboard.Blackboard, director *requestcontrol.Director, metrics *telemetry.Metrics, limits Limits) *Server {
	return &Server{board: board, director: director, metrics: metrics, limits: limits}
}

// Handler returns the handler of the OpenAI-compatible and service endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.endpoint(s.serveChat))
	mux.HandleFunc("POST /v1/completions", s.endpoint(s.serveCompletion))
	mux.HandleFunc("GET /v1/models", s.endpoint(s.serveModels))
	mux.HandleFunc("/v1/services/{route}", s.endpoint(s.serveService))
	mux.HandleFunc("/v1/services/{route}/{path...}", s.endpoint(s.serveService))
	mux.HandleFunc("/", s.serveUnknown)
	return mux
}

// exchange is a request and the state of its answer. view, account and route are set once they
// have been resolved.
type exchange struct {
	w           http.ResponseWriter
	r           *http.Request
	id          string
	arrivedAt   time.Time
	view        *blackboard.SettingsView
	account     *settings.ClientAccount
	route       string
	headWritten bool // the answer's status and headers have been sent
}

// endpoint returns a handler that runs serve with what all endpoints share: the request id,
// the readiness check, authentication, error answers and the request metric.
func (s *Server) endpoint(serve func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, id: requestID(r), arrivedAt: time.Now()}
		w.Header().Set(HeaderRequestID, x.id)
		err := s.run(x, serve)
		outcome := "whole"
		if err != nil {
			failure := fault.From(err)
			if x.account == nil && failure.Retryable && r.Header.Get(HeaderIdempotencyKey) != "" {
				// The idempotency key was not checked, so an earlier call with it may have run.
				failure = failure.WithExecution(fault.Unknown)
			}
			outcome = string(failure.Kind)
			s.writeFailure(x, failure)
		}
		s.metrics.Requests.WithLabelValues(x.route, outcome).Inc()
	}
}

// run checks that the daemon is serving, authenticates the caller and calls serve.
func (s *Server) run(x *exchange, serve func(*exchange) error) error {
	if !s.board.BeginRequest() {
		return s.notServingError(x)
	}
	defer s.board.EndRequest()
	x.view = s.board.Settings.Current()
	key, found := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return fault.New(fault.Unauthenticated, "the API key is missing", "send \"Authorization: Bearer KEY\"")
	}
	account, err := x.view.Tree.Authenticate(key)
	if err != nil {
		return err
	}
	x.account = account
	return serve(x)
}

// notServingError returns the error for a request that arrives before the daemon serves or while
// it drains.
func (s *Server) notServingError(x *exchange) error {
	if s.board.Phase() == blackboard.Draining {
		// The caller's next request must go to another host.
		x.w.Header().Set("Connection", "close")
		return fault.New(fault.ShuttingDown, "this host is shutting down", "retry; another host will serve the request").WithRetry(0)
	}
	return fault.New(fault.NotReady, "this host has no settings yet", "retry the request").WithRetry(time.Second)
}

// maxRequestID is the longest request id accepted from a caller, in bytes.
const maxRequestID = 128

// requestID returns the caller's request id if it is short and has only safe characters, and a
// new UUID otherwise.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestID || strings.ContainsFunc(id, isUnsafeInID) {
		return uuid.Must(uuid.NewV7()).String()
	}
	return id
}

// isUnsafeInID reports whether a request id with the character c is replaced.
func isUnsafeInID(c rune) bool {
	isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	isDigit := c >= '0' && c <= '9'
	return !isLetter && !isDigit && !strings.ContainsRune("-_.:", c)
}

// writeFailure writes an error answer, unless the status has been sent. After that an error can
// only be sent inside the stream, as serveStream does.
func (s *Server) writeFailure(x *exchange, e *fault.Error) {
	if x.headWritten {
		return
	}
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if x.account == nil && x.r.ContentLength != 0 {
		closeAfterAnswer(x.w) // The body has not been read.
	}
	if e.Retryable {
		seconds := math.Ceil(e.RetryAfter.Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	x.w.WriteHeader(e.Status())
	_ = json.NewEncoder(x.w).Encode(errorBody(e, x.id))
}

// serveUnknown answers requests to unknown endpoints.
func (s *Server) serveUnknown(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, r: r, id: requestID(r)}
	w.Header().Set(HeaderRequestID, x.id)
	s.writeFailure(x, fault.New(fault.NoRoute,
		"unknown endpoint "+r.Method+" "+r.URL.Path,
		"use POST /v1/chat/completions, POST /v1/completions, GET /v1/models or /v1/services/{route}"))
}

// maxIdempotencyKey is the longest idempotency key, in bytes: several daemons remember each key.
const maxIdempotencyKey = 255

// newRequest returns the director's request for a route of the account. Its deadline is the
// earlier of the route's and the caller's.
func (x *exchange) newRequest(name string, protocol settings.TargetProtocol) (*requestcontrol.Request, error) {
	route := x.account.Routes[name]
	if route == nil || route.Pool.Kind.Protocol != protocol {
		return nil, fault.New(fault.NoRoute,
			fmt.Sprintf("the account has no route %q with protocol %s", name, protocol),
			"GET /v1/models lists the routes of the account")
	}
	x.route = name
	if len(x.r.Header.Get(HeaderIdempotencyKey)) > maxIdempotencyKey {
		return nil, fault.New(fault.BadRequest, fmt.Sprintf("%s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyKey), "use a UUIDv7")
	}
	allowed := route.Rules.Deadline
	if text := x.r.Header.Get(HeaderDeadline); text != "" {
		wanted, err := time.ParseDuration(text)
		if err != nil || wanted <= 0 {
			return nil, fault.New(fault.BadRequest, fmt.Sprintf("%s %q is not a duration", HeaderDeadline, text), "use a duration such as 30s")
		}
		allowed = min(allowed, wanted)
	}
	return &requestcontrol.Request{
		ID:             x.id,
		Account:        x.account,
		Route:          route,
		Revision:       x.view.Revision,
		Arrived:        x.arrivedAt,
		Deadline:       x.arrivedAt.Add(allowed),
		IdempotencyKey: x.r.Header.Get(HeaderIdempotencyKey),
	}, nil
}

func (s *Server) serveChat(x *exchange) error { return s.serveModel(x, parseChat) }

func (s *Server) serveCompletion(x *exchange) error { return s.serveModel(x, parseCompletion) }

// serveModel serves a chat or completion request, whose body parse decodes.
func (s *Server) serveModel(x *exchange, parse func([]byte) (*modelCall, error)) error {
	b, err := s.readBody(x.w, x.r)
	if err != nil {
		return err
	}
	defer b.release()
	call, err := parse(b.data)
	if err != nil {
		return err
	}
	b.data = nil // Only the parsed prompt is needed from here on.
	req, err := x.newRequest(call.model, settings.ProtocolEngine)
	if err != nil {
		return err
	}
	req.Prompt, req.SharedParts = call.prompt, call.sharedParts
	req.MaxTokens = call.maxTokens
	if req.MaxTokens == 0 {
		req.MaxTokens = req.Route.Rules.MaxOutputTokens
	}
	if call.stream {
		return s.serveStream(x, call, req)
	}
	return s.serveBuffered(x, call, req)
}

// modelEntry is an entry in the answer of GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// serveModels lists the routes of the account.
func (s *Server) serveModels(x *exchange) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for name, route := range x.account.Routes {
		list.Data = append(list.Data, modelEntry{
			ID:      name,
			Object:  "model",
			Created: x.view.Adopted.Unix(),
			OwnedBy: string(route.Pool.Kind.Protocol),
		})
	}
	x.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(x.w).Encode(list)
}

// headersNotForwarded are the request headers that are removed before a call to a service.
var headersNotForwarded = []string{"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", HeaderDeadline}

// serveService calls a plain service and copies its answer.
func (s *Server) serveService(x *exchange) error {
	b, err := s.readBody(x.w, x.r)
	if err != nil {
		return err
	}
	defer b.release()
	req, err := x.newRequest(x.r.PathValue("route"), settings.ProtocolService)
	if err != nil {
		return err
	}
	req.ServiceCall = &target.ServiceCall{
		Method: x.r.Method,
		Path:   "/" + x.r.PathValue("path"),
		Header: x.r.Header.Clone(),
		Body:   b.data,
	}
	if x.r.URL.RawQuery != "" {
		req.ServiceCall.Path += "?" + x.r.URL.RawQuery
	}
	for _, name := range headersNotForwarded {
		req.ServiceCall.Header.Del(name)
	}
	req.ServiceCall.Header.Set(HeaderRequestID, x.id)
	ctx, cancel := context.WithCancel(x.r.Context())
	defer cancel()
	result, err := s.director.CallService(ctx, req)
	if err != nil {
		return err
	}
	for _, name := range []string{"Content-Type", "Location", "Etag", "Cache-Control"} {
		if value := result.Header.Get(name); value != "" {
			x.w.Header().Set(name, value)
		}
	}
	x.w.WriteHeader(result.Status)
	x.headWritten = true
	_, _ = x.w.Write(result.Body)
	return nil
}
