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

// collector gathers an answer that is given in one piece.
type collector struct {
	text strings.Builder
}

// Token implements requestcontrol.TokenSink.
func (c *collector) Token(_ int64, text string) error {
	c.text.WriteString(text)
	return nil
}

func (s *Server) serveWhole(x *exchange, call *modelCall, req *requestcontrol.Request) error {
	sink := &collector{}
	result, err := s.director.Generate(x.r.Context(), req, sink)
	if err != nil {
		return err
	}
	choice := answerChoice{FinishReason: &result.FinishReason}
	if call.chat {
		choice.Message = &answerMessage{Role: "assistant", Content: sink.text.String()}
	} else {
		choice.Text = new(sink.text.String())
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.started = true
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(s.limits.WriteStep))
	return json.NewEncoder(x.w).Encode(answer{
		ID:      x.id,
		Object:  call.object(false),
		Created: x.arrived.Unix(),
		Model:   call.model,
		Choices: []answerChoice{choice},
		Usage:   usageOf(req, result.Tokens),
	})
}

func usageOf(req *requestcontrol.Request, tokens int64) *usage {
	return &usage{PromptTokens: req.PromptTokens(), CompletionTokens: tokens, TotalTokens: req.PromptTokens() + tokens}
}

// eventStream writes an answer as server-sent events, one for each token. The
// status is sent with the first token, so that a failure before it has a status
// of its own. What does not change between events is encoded once.
type eventStream struct {
	x         *exchange
	call      *modelCall
	control   *http.ResponseController
	writeStep time.Duration
	deadline  time.Time
	head      []byte // of each event, up to the text
	tail      []byte // of each event, after the text
	buffer    bytes.Buffer
	text      *json.Encoder
}

// placeholder stands for the text in the encoded example of an event.
const placeholder = "\u0001"

func newEventStream(x *exchange, call *modelCall, writeStep time.Duration) (*eventStream, error) {
	e := &eventStream{x: x, call: call, control: http.NewResponseController(x.w), writeStep: writeStep}
	e.text = json.NewEncoder(&e.buffer)
	e.text.SetEscapeHTML(false)
	example, err := json.Marshal(e.event(placeholder, nil))
	if err != nil {
		return nil, err
	}
	mark, err := json.Marshal(placeholder)
	if err != nil {
		return nil, err
	}
	head, tail, _ := bytes.Cut(example, mark)
	e.head = append([]byte("data: "), head...)
	e.tail = append(tail, '\n', '\n')
	return e, nil
}

func (e *eventStream) event(text string, finish *string) answer {
	choice := answerChoice{FinishReason: finish}
	if e.call.chat {
		choice.Delta = &answerMessage{Content: text}
	} else {
		choice.Text = &text
	}
	return answer{ID: e.x.id, Object: e.call.object(true), Created: e.x.arrived.Unix(), Model: e.call.model, Choices: []answerChoice{choice}}
}

// start sends the status and headers.
func (e *eventStream) start() {
	header := e.x.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	e.x.w.WriteHeader(http.StatusOK)
	e.x.started = true
}

// Token implements requestcontrol.TokenSink.
func (e *eventStream) Token(_ int64, text string) error {
	if !e.x.started {
		e.start()
	}
	e.buffer.Reset()
	e.buffer.Write(e.head)
	if err := e.text.Encode(text); err != nil {
		return err
	}
	e.buffer.Truncate(e.buffer.Len() - 1) // The encoder's newline.
	e.buffer.Write(e.tail)
	return e.flush()
}

// flush sends the buffer. A caller that does not take it in time is cut off.
func (e *eventStream) flush() error {
	if now := time.Now(); e.deadline.Sub(now) < e.writeStep/2 {
		e.deadline = now.Add(e.writeStep)
		_ = e.control.SetWriteDeadline(e.deadline)
	}
	if _, err := e.x.w.Write(e.buffer.Bytes()); err != nil {
		return err
	}
	return e.control.Flush()
}

func (e *eventStream) data(v any) error {
	e.buffer.Reset()
	e.buffer.WriteString("data: ")
	if err := e.text.Encode(v); err != nil {
		return err
	}
	e.buffer.WriteByte('\n')
	return e.flush()
}

func (s *Server) serveStream(x *exchange, call *modelCall, req *requestcontrol.Request) error {
	events, err := newEventStream(x, call, s.limits.WriteStep)
	if err != nil {
		return err
	}
	result, err := s.director.Generate(x.r.Context(), req, events)
	if err != nil {
		if x.started {
			// The stream ends with an error and without [DONE], so that no
			// client takes it for an answer.
			_ = events.data(errorBody(fault.From(err), x.id))
		}
		return err
	}
	return events.finish(req, result)
}

func (e *eventStream) finish(req *requestcontrol.Request, result requestcontrol.GenerateResult) error {
	if !e.x.started {
		e.start()
	}
	if err := e.data(e.event("", &result.FinishReason)); err != nil {
		return errGone
	}
	if e.call.usage {
		last := e.event("", nil)
		last.Choices = []answerChoice{}
		last.Usage = usageOf(req, result.Tokens)
		if err := e.data(last); err != nil {
			return errGone
		}
	}
	e.buffer.Reset()
	e.buffer.WriteString("data: [DONE]\n\n")
	if err := e.flush(); err != nil {
		return errGone
	}
	return nil
}

// errGone is the end of a request whose caller does not read the last bytes.
var errGone = fault.New(fault.Abandoned, "the caller went away before the end", "nothing to do").WithExecution(fault.Ran)
