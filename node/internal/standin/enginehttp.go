package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"

	"doorstack.dev/node/target"
)

// Handler returns the handler of the engine's HTTP protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("POST /v1/resume", e.serveResume)
	mux.HandleFunc("POST /v1/cancel", jsonHandler(func(r target.CancelRequest) *target.ErrorAnswer {
		e.cancel(r.Attempt)
		return nil
	}))
	mux.HandleFunc("POST /v1/reserve", jsonHandler(e.reserve))
	mux.HandleFunc("POST /v1/release", jsonHandler(func(r target.ReleaseRequest) *target.ErrorAnswer {
		e.release(r.ID)
		return nil
	}))
	mux.HandleFunc("POST /v1/prefill", e.servePrefill)
	mux.HandleFunc("POST /v1/order", jsonHandler(e.applyOrder))
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Report()) })
	mux.HandleFunc("GET /v1/events", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		writeJSON(w, http.StatusOK, e.cacheEventsAfter(after))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.hanging() {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// hanging reports whether the engine answers no calls.
func (e *Engine) hanging() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Hanging
}

// crashesUnder reports whether the engine crashes under a prompt.
func (e *Engine) crashesUnder(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CrashText == "" || !strings.Contains(prompt, e.faults.CrashText) {
		return false
	}
	e.crashes++
	return true
}

// Crashes returns the number of calls under which the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// jsonHandler decodes a request, passes it to do and answers with the refusal, if any.
func jsonHandler[T any](do func(T) *target.ErrorAnswer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in T
		if !readJSON(w, r, &in) {
			return
		}
		if answer := do(in); answer != nil {
			writeJSON(w, http.StatusServiceUnavailable, answer)
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// readJSON decodes the request body. If that fails, it answers bad_json and reports
// false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeJSON(w, http.StatusBadRequest, target.ErrorAnswer{Code: "bad_json", Message: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g target.GenerateRequest
	if !readJSON(w, r, &g) {
		return
	}
	if e.crashesUnder(g.Prompt) {
		panic(http.ErrAbortHandler)
	}
	s, answer := e.startGenerate(&g)
	if answer != nil {
		writeJSON(w, http.StatusServiceUnavailable, answer)
		return
	}
	e.streamTokens(w, r, s, g.FirstIndex)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var q target.ResumeRequest
	if !readJSON(w, r, &q) {
		return
	}
	e.mu.Lock()
	s := e.byAttempt[q.Attempt]
	e.mu.Unlock()
	if s == nil || q.From < s.firstIndex {
		writeJSON(w, http.StatusNotFound, target.ErrorAnswer{Code: target.CodeUnknownID, Message: "unknown stream"})
		return
	}
	e.streamTokens(w, r, s, q.From)
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var p target.PrefillRequest
	if !readJSON(w, r, &p) {
		return
	}
	s, answer := e.startPrefill(&p)
	if answer != nil {
		writeJSON(w, http.StatusServiceUnavailable, answer)
		return
	}
	if !e.awaitEnd(r.Context(), s) {
		e.mu.Lock()
		e.end(s, "the caller disconnected")
		e.mu.Unlock()
		return
	}
	if s.failure != "" {
		writeJSON(w, http.StatusConflict, target.ErrorAnswer{Code: target.CodeUnknownID, Message: s.failure, Ran: true})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// awaitEnd waits until the sequence ends, and reports false if ctx ends first.
func (e *Engine) awaitEnd(ctx context.Context, s *sequence) bool {
	for {
		e.mu.Lock()
		ended, changed := s.ended, s.changed
		e.mu.Unlock()
		if ended {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// streamTokens writes the tokens of a sequence, starting at index from, until the sequence
// ends. A caller that disconnects does not end the sequence: it may resume or cancel it.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, s *sequence, from int64) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	encoder := json.NewEncoder(w)
	for {
		e.mu.Lock()
		tokens := s.emitted[min(from-s.firstIndex, int64(len(s.emitted))):]
		faults, changed, ended, failed := e.faults, s.changed, s.ended, s.failure
		e.mu.Unlock()
		if faults.TokensWithoutEnd {
			writeEndlessTokens(encoder, s, from)
			return
		}
		if len(tokens) > 0 {
			if limit := faults.TruncateAfter; limit > 0 && from+int64(len(tokens)) >= limit {
				tokens = tokens[:max(0, limit-from)]
				writeTokens(encoder, s, from, tokens, faults)
				return
			}
			writeTokens(encoder, s, from, tokens, faults)
			from += int64(len(tokens))
			if flush() != nil {
				return
			}
		}
		if ended && from >= s.firstIndex+int64(len(s.emitted)) {
			writeEnd(encoder, s, from, failed)
			return
		}
		if len(tokens) > 0 {
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// MaxEndlessText bounds the text that an engine with the fault TokensWithoutEnd sends, and endlessTokenSize is what each token
// has of it, in bytes.
const (
	MaxEndlessText   = 64 << 20
	endlessTokenSize = 16 << 10
)

// writeEndlessTokens writes tokens until the caller closes the connection, or has MaxEndlessText bytes of them.
func writeEndlessTokens(encoder *json.Encoder, s *sequence, from int64) {
	text := strings.Repeat("x", endlessTokenSize)
	for i := range int64(MaxEndlessText / endlessTokenSize) {
		if encoder.Encode(target.Chunk{Attempt: s.attempt, Index: from + i, Text: text}) != nil {
			return
		}
	}
}

// writeTokens writes tokens as chunks and applies the faults of chunks.
func writeTokens(encoder *json.Encoder, s *sequence, from int64, tokens []string, f Faults) {
	chunks := make([]target.Chunk, 0, len(tokens))
	for i, text := range tokens {
		chunks = append(chunks, target.Chunk{Attempt: s.attempt, Index: from + int64(i), Text: text})
	}
	if f.OtherAttemptChunks {
		chunks = append([]target.Chunk{{Attempt: "another", Index: from, Text: " WRONG"}}, chunks...)
	}
	if f.DuplicateChunks {
		chunks = append(chunks, chunks...)
	}
	if f.ReorderChunks {
		for i := 0; i+1 < len(chunks); i += 2 {
			chunks[i], chunks[i+1] = chunks[i+1], chunks[i]
		}
	}
	for _, c := range chunks {
		_ = encoder.Encode(c)
	}
}

// writeEnd writes the end chunk, or an error chunk if the sequence failed.
func writeEnd(encoder *json.Encoder, s *sequence, total int64, failed string) {
	if failed != "" {
		_ = encoder.Encode(target.Chunk{Attempt: s.attempt, Error: failed})
		return
	}
	_ = encoder.Encode(target.Chunk{Attempt: s.attempt, End: true, Total: total, FinishReason: "length"})
}

// Server is the HTTP server of a stand-in.
type Server struct {
	// Address is its host:port.
	Address string
	http    *http.Server
	cancel  context.CancelFunc
}

// Listen serves a handler on address, or on a free loopback port if address is empty. If run
// is not nil, it runs in the background with a context that Close cancels.
func Listen(address string, handler http.Handler, run func(context.Context)) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{Address: listener.Addr().String(), http: &http.Server{Handler: handler}, cancel: cancel}
	if run != nil {
		go run(ctx)
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Close stops the server immediately and closes its open connections, as a crash would.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
}
