package api

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/node/requestcontrol"
)

// tokenCollector collects the text of an answer that is not streamed.
type tokenCollector struct {
	text strings.Builder
}

// Token implements requestcontrol.TokenSink.
func (c *tokenCollector) Token(_ int64, text string) error {
	c.text.WriteString(text)
	return nil
}

// serveBuffered serves a model request whose answer is sent as one JSON document.
func (s *Server) serveBuffered(x *exchange, call *modelCall, req *requestcontrol.Request) error {
	sink := &tokenCollector{}
	result, err := s.director.Generate(x.r.Context(), req, sink)
	if err != nil {
		return err
	}
	choice := completionChoice{FinishReason: &result.FinishReason}
	if call.chat {
		choice.Message = &choiceMessage{Role: "assistant", Content: sink.text.String()}
	} else {
		choice.Text = new(sink.text.String())
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.headWritten = true
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(s.limits.WriteProgressTimeout))
	return json.NewEncoder(x.w).Encode(completion{
		ID:      x.id,
		Object:  call.objectType(false),
		Created: x.arrivedAt.Unix(),
		Model:   call.model,
		Choices: []completionChoice{choice},
		Usage:   tokenUsage(req, result.Tokens),
	})
}

// tokenUsage returns the usage of a request whose answer has this number of tokens.
func tokenUsage(req *requestcontrol.Request, tokens int64) *usage {
	return &usage{PromptTokens: req.PromptTokens(), CompletionTokens: tokens, TotalTokens: req.PromptTokens() + tokens}
}

// eventStream writes an answer as server-sent events, one for each token. The status is sent
// with the first token, so that a failure before it is answered with its own status. The JSON
// around the text is the same in each event and is encoded once.
type eventStream struct {
	x            *exchange
	call         *modelCall
	control      *http.ResponseController
	writeTimeout time.Duration
	deadline     time.Time
	prefix       []byte // of each event, before the text
	suffix       []byte // of each event, after the text
	buffer       bytes.Buffer
	encoder      *json.Encoder
}

// textPlaceholder marks the place of the text in the event that prefix and suffix are cut from.
const textPlaceholder = "\u0001"

// newEventStream returns a stream for the answer to call. A write that takes longer than
// writeTimeout fails.
func newEventStream(x *exchange, call *modelCall, writeTimeout time.Duration) (*eventStream, error) {
	e := &eventStream{x: x, call: call, control: http.NewResponseController(x.w), writeTimeout: writeTimeout}
	e.encoder = json.NewEncoder(&e.buffer)
	e.encoder.SetEscapeHTML(false)
	example, err := json.Marshal(e.newChunk(textPlaceholder, nil))
	if err != nil {
		return nil, err
	}
	mark, err := json.Marshal(textPlaceholder)
	if err != nil {
		return nil, err
	}
	head, tail, _ := bytes.Cut(example, mark)
	e.prefix = append([]byte("data: "), head...)
	e.suffix = append(tail, '\n', '\n')
	return e, nil
}

// newChunk returns an event with a text. finish is nil in all events but the one that ends the
// text.
func (e *eventStream) newChunk(text string, finish *string) completion {
	choice := completionChoice{FinishReason: finish}
	if e.call.chat {
		choice.Delta = &choiceMessage{Content: text}
	} else {
		choice.Text = &text
	}
	return completion{ID: e.x.id, Object: e.call.objectType(true), Created: e.x.arrivedAt.Unix(), Model: e.call.model, Choices: []completionChoice{choice}}
}

// writeHead sends the status and the headers.
func (e *eventStream) writeHead() {
	header := e.x.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	e.x.w.WriteHeader(http.StatusOK)
	e.x.headWritten = true
}

// Token implements requestcontrol.TokenSink.
func (e *eventStream) Token(_ int64, text string) error {
	if !e.x.headWritten {
		e.writeHead()
	}
	e.buffer.Reset()
	e.buffer.Write(e.prefix)
	if err := e.encoder.Encode(text); err != nil {
		return err
	}
	e.buffer.Truncate(e.buffer.Len() - 1) // Remove the newline that the encoder adds.
	e.buffer.Write(e.suffix)
	return e.flush()
}

// flush sends the buffer. It fails if the caller does not read it within the write timeout.
func (e *eventStream) flush() error {
	if now := time.Now(); e.deadline.Sub(now) < e.writeTimeout/2 {
		e.deadline = now.Add(e.writeTimeout)
		_ = e.control.SetWriteDeadline(e.deadline)
	}
	if _, err := e.x.w.Write(e.buffer.Bytes()); err != nil {
		return err
	}
	return e.control.Flush()
}

// sendData sends an event with the JSON of v.
func (e *eventStream) sendData(v any) error {
	e.buffer.Reset()
	e.buffer.WriteString("data: ")
	if err := e.encoder.Encode(v); err != nil {
		return err
	}
	e.buffer.WriteByte('\n')
	return e.flush()
}

// serveStream serves a model request whose answer is streamed.
func (s *Server) serveStream(x *exchange, call *modelCall, req *requestcontrol.Request) error {
	events, err := newEventStream(x, call, s.limits.WriteProgressTimeout)
	if err != nil {
		return err
	}
	result, err := s.director.Generate(x.r.Context(), req, events)
	if err != nil {
		if x.headWritten {
			// The stream ends with an error and without [DONE], so that no client
			// mistakes it for a complete answer.
			_ = events.sendData(errorBody(fault.From(err), x.id))
		}
		return err
	}
	return events.sendEnd(req, result)
}

// sendEnd sends the finish reason, the usage if the caller asked for it, and [DONE].
func (e *eventStream) sendEnd(req *requestcontrol.Request, result requestcontrol.GenerateResult) error {
	if !e.x.headWritten {
		e.writeHead()
	}
	if err := e.sendData(e.newChunk("", &result.FinishReason)); err != nil {
		return errCallerGone
	}
	if e.call.includeUsage {
		last := e.newChunk("", nil)
		last.Choices = []completionChoice{}
		last.Usage = tokenUsage(req, result.Tokens)
		if err := e.sendData(last); err != nil {
			return errCallerGone
		}
	}
	e.buffer.Reset()
	e.buffer.WriteString("data: [DONE]\n\n")
	if err := e.flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// errCallerGone is the error of a request whose caller disconnected before the end of the answer
// was written.
var errCallerGone = fault.New(fault.Abandoned, "the caller disconnected before the end of the answer", "nothing to do").WithExecution(fault.Ran)
