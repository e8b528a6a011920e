package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/target"
)

// pathServer serves calls that are routed by host name and path prefix and forwarded to
// targets unchanged.
type pathServer struct {
	*Server
	dialect target.Dialect
}

// PathHandler returns a handler for forwarded calls. The dialect d reads and writes their headers
// in the platform's format.
func (s *Server) PathHandler(d target.Dialect) http.Handler {
	return &pathServer{Server: s, dialect: d}
}

// pathCall is the state of a forwarded call. view, account and path are nil until they have been
// resolved.
type pathCall struct {
	forward.Call
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time
	uri       requestURI
	view      *blackboard.SettingsView
	account   *settings.ClientAccount
	path      *settings.ResolvedPath
	// body is set once it has been read, which is before the others if the daemon was starting.
	body   *requestBody
	answer *answerWriter
	// inFlight reports that the call is counted as in flight.
	inFlight bool
}

// ServeHTTP implements http.Handler.
func (s *pathServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &pathCall{Call: s.dialect.ReadCall(r.Header), w: w, r: r, arrivedAt: time.Now(), uri: requestURIOf(r)}
	c.answer = s.newAnswerWriter(c)
	defer s.endCall(c) // A draining daemon waits until the answer has been written.
	err := s.run(c)
	outcome := "whole"
	if err != nil {
		failure := s.correctRefusal(c, fault.From(err))
		outcome = string(failure.Kind)
		s.answerFailure(c, failure)
	}
	route := ""
	if c.path != nil {
		route = c.path.Name
	}
	s.metrics.Requests.WithLabelValues(route, outcome).Inc()
	if err != nil && c.answer.headWritten {
		abortAnswer(r)
	}
}

// correctRefusal replaces a refusal that says that a call has not run, if the same request has come before and may have run.
func (s *pathServer) correctRefusal(c *pathCall, e *fault.Error) *fault.Error {
	if e.Execution != fault.NotRun || e.Kind == fault.Misdirected || c.ID == "" || !s.board.SingleSends.Claimed(forward.LocalID(c.ID)) {
		return e
	}
	return requestcontrol.RepeatedRequestError()
}

// run serves a call up to the end of its answer. An error may come before or after the answer's
// head has been written.
//
// Until the body has been read net/http does not notice that the caller disconnects, and on a host
// short of processor time it notices late. So the connection is checked before the call is placed;
// otherwise a slot is kept for a call that is not sent.
func (s *pathServer) run(c *pathCall) error {
	defer c.releaseBody()
	if err := s.checkRecipient(c); err != nil {
		return err
	}
	if err := s.beginCall(c); err != nil {
		return err
	}
	c.inFlight = true
	c.view = s.board.Settings.Current()
	if err := s.resolve(c); err != nil {
		return err
	}
	if err := s.checkLag(c); err != nil {
		return err
	}
	route := c.path.Route(c.ID, c.account)
	if err := s.readBodyOf(c, route.Rules.Level); err != nil {
		return err
	}
	req := c.newRequest(route, c.body.data)
	if c.disconnected() {
		return fault.New(fault.Abandoned, "the caller disconnected before the call was placed", "nothing to do")
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), req.Deadline)
	defer cancel()
	c.answer.ctx, c.answer.cancel = ctx, cancel
	return s.director.Forward(ctx, req, c.answer)
}

// endCall no longer counts a call as in flight.
func (s *pathServer) endCall(c *pathCall) {
	if c.inFlight {
		s.board.EndRequest()
	}
}

// readBodyOf reads a call's body, unless it has been read while the daemon was starting.
func (s *pathServer) readBodyOf(c *pathCall, level int) (err error) {
	limit := s.maxBody(c.view)
	if c.body == nil {
		ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline())
		defer cancel()
		defer s.board.Shutdown.AfterEndCalls(func() {
			cancel() // First, as readChunk gives up a read deadline that it sets after that.
			_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
		})()
		c.body, err = s.readBodyWithLimit(ctx, c.w, c.r, limit, admission.MemoryShare(level))
		if err != nil && ctx.Err() != nil && s.board.Shutdown.CallsEnded() {
			return s.refuse(c, requestcontrol.ShutdownError())
		}
		return err
	}
	if int64(len(c.body.data)) > limit {
		return tooLargeError(limit)
	}
	return nil
}

// disconnected reports whether the caller has closed its connection.
func (c *pathCall) disconnected() bool {
	closed := callerDisconnected(c.r)
	return c.r.Context().Err() != nil || closed != nil && closed()
}

// releaseBody releases the memory of the call's body, if it has been read.
func (c *pathCall) releaseBody() {
	if c.body != nil {
		c.body.release()
	}
}

// newAnswerWriter returns the writer of a call's answer. Its context is set once the call has a deadline.
func (s *pathServer) newAnswerWriter(c *pathCall) *answerWriter {
	return &answerWriter{
		w: c.w, control: http.NewResponseController(c.w), writeTimeout: s.limits.WriteProgressTimeout, memory: s.limits.Memory,
		ctx: c.r.Context(), cancel: func() {}, progressed: make(chan struct{}, 1),
		draining: func() bool { return s.board.Phase() == blackboard.Draining },
		notReading: func(queued int64) {
			s.director.Recorder.Log.Info("the caller does not read its answer; the call is ended", "request", forward.LocalID(c.ID),
				"queued_bytes", queued, "after", s.limits.WriteProgressTimeout.String())
		},
	}
}

// maxBody returns the largest body that the settings allow, in bytes.
func (s *pathServer) maxBody(view *blackboard.SettingsView) int64 {
	if set := view.Tree.CallerLimits().MaxBody; set > 0 {
		return set
	}
	return s.limits.MaxBody
}

// beginCall admits a call and counts it as in flight. While the daemon is starting, the call is
// held. Each nil error needs one EndRequest of the blackboard.
func (s *pathServer) beginCall(c *pathCall) error {
	if s.board.BeginForward() {
		return nil
	}
	if s.board.Phase() == blackboard.Draining {
		return s.refuse(c, requestcontrol.ShutdownError())
	}
	return s.hold(c) // It admits the call at once if the daemon has started meanwhile.
}

// checkLag refuses a call that cannot meet its path's goal for the time to the answer because
// events that arrive at the daemon wait too long to be processed.
func (s *pathServer) checkLag(c *pathCall) error {
	check := admission.OverloadCheck{Lag: s.board.Lag.Sustained(time.Now()), Goal: c.path.Goal}
	if !check.Refuse() {
		return nil
	}
	return s.refuse(c, fault.New(fault.Overloaded,
		fmt.Sprintf("this host is overloaded: arrived events wait %v to be processed", check.Lag.Round(time.Millisecond)),
		"retry; another host will serve the request").WithRetry(check.RetryAfter()))
}

// refuse records that a call is refused before it is routed, and returns the error.
func (s *pathServer) refuse(c *pathCall, e *fault.Error) error {
	s.record(c, decision.OutcomeRefused, fmt.Sprintf("%v; retry after %v", e, e.RetryAfter.Round(time.Millisecond)))
	return e
}

// record records an admission decision.
func (s *pathServer) record(c *pathCall, outcome, reason string) {
	s.director.Recorder.Record(decision.Record{Kind: decision.KindAdmit, Request: forward.LocalID(c.ID), Outcome: outcome, Reason: reason})
}

// resolve sets the path and the account of a call. On an open path, a call without a valid API
// key is served for the anonymous account.
func (s *pathServer) resolve(c *pathCall) error {
	c.path = c.view.Tree.MatchPath(c.r.Host, c.uri.path())
	if c.path == nil {
		return fault.New(fault.NoRoute, "no configured path matches this host name and path", "use a path of the settings")
	}
	if c.path.LeftOut {
		return s.refuse(c, fault.New(fault.NoTarget, "the settings' entry of this path cannot be used", "have the entry corrected; the log of the daemon names it"))
	}
	if !c.view.Tree.NeedsKey(c.path) {
		c.account = c.view.Tree.Anonymous()
		if account, err := c.view.Tree.Authenticate(c.APIKey); err == nil {
			c.account = account
		}
		return nil
	}
	account, err := c.view.Tree.Authenticate(c.APIKey)
	if err != nil {
		return err
	}
	c.account = account
	return nil
}

// deadline returns the earlier of the caller's deadline and the path's.
func (c *pathCall) deadline() time.Time {
	allowed := c.path.Timeout
	if c.Timeout > 0 {
		allowed = min(allowed, c.Timeout)
	}
	return c.arrivedAt.Add(allowed)
}

// newRequest returns the director's request.
func (c *pathCall) newRequest(route *settings.ResolvedRoute, body []byte) *requestcontrol.Request {
	req := &requestcontrol.Request{
		ID:          forward.LocalID(c.ID),
		Account:     c.account,
		Route:       route,
		Revision:    c.view.Revision,
		Arrived:     c.arrivedAt,
		Deadline:    c.deadline(),
		MaxTokens:   c.OutputTokens,
		Path:        c.path,
		LastEventID: c.LastEventID, CallerAddress: c.r.RemoteAddr, CallerTimeout: c.Timeout,
		SharedParts: c.SharedParts, DeclaredPrompt: c.DeclaredPrompt,
		Forward: &forward.Message{
			ID: c.ID, Method: c.r.Method, URI: string(c.uri), Host: c.r.Host,
			Header: endToEndHeaders(c.r.Header), Body: body, CallerDisconnected: callerDisconnected(c.r),
		},
	}
	req.SetPromptTokens(c.PromptTokens)
	return req
}

// hopByHopHeaders are the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers, including those that the
// Connection header lists.
func endToEndHeaders(h http.Header) http.Header {
	kept := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}

// answerFailure writes an error answer, unless the head of a target's answer has been written
// or the caller has gone.
func (s *pathServer) answerFailure(c *pathCall, e *fault.Error) {
	if c.answer.headWritten || e.Kind == fault.Abandoned {
		return
	}
	header := c.w.Header()
	c.answer.closeIfDraining()
	header.Set("Content-Type", "application/json")
	s.dialect.WriteFailure(header, c.ID, e.Retryable && e.Execution == fault.NotRun, e.RetryAfter)
	c.w.WriteHeader(e.Status())
	if err := json.NewEncoder(c.w).Encode(errorBody(e, c.ID)); err != nil {
		s.director.Recorder.Log.Debug("cannot write an error answer to the caller", "request", forward.LocalID(c.ID), "error", err.Error())
	}
	if s.board.Shutdown.CallsEnded() {
		_ = c.answer.control.Flush() // net/http would read the rest of the body first. It fails only if the caller has gone.
	}
}
