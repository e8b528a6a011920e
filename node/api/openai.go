package api

import (
	"encoding/json"
	"fmt"
	"strings"

	"doorstack.dev/core/fault"
)

// chatRequest is the part of an OpenAI chat request that doorstack reads.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *int64         `json:"max_tokens"`
	MaxCompletionTokens *int64         `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content messageText `json:"content"`
}

// messageText is a message's content: a string, or a list of text parts.
type messageText string

type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads either form.
func (m *messageText) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*m = messageText(text)
		return nil
	}
	var parts []textPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content is neither a string nor a list of parts")
	}
	var joined strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported, only text is", p.Type)
		}
		joined.WriteString(p.Text)
	}
	*m = messageText(joined.String())
	return nil
}

// completionRequest is the part of an OpenAI completion request that is read.
type completionRequest struct {
	Model         string         `json:"model"`
	Prompt        string         `json:"prompt"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	MaxTokens     *int64         `json:"max_tokens"`
	N             *int           `json:"n"`
}

// modelCall is a request of either kind, in one form.
type modelCall struct {
	model        string
	prompt       string
	maxTokens    int64
	stream       bool
	includeUsage bool
	chat         bool
}

func parseChat(data []byte) (*modelCall, error) {
	var q chatRequest
	if err := json.Unmarshal(data, &q); err != nil {
		return nil, invalidJSONError(err)
	}
	if len(q.Messages) == 0 {
		return nil, fault.New(fault.BadRequest, "there are no messages", "send at least one message")
	}
	limit := q.MaxCompletionTokens
	if limit == nil {
		limit = q.MaxTokens
	}
	c := &modelCall{model: q.Model, prompt: promptText(q.Messages), stream: q.Stream, chat: true}
	c.includeUsage = q.StreamOptions != nil && q.StreamOptions.IncludeUsage
	return c, c.validate(limit, q.N)
}

func parseCompletion(data []byte) (*modelCall, error) {
	var q completionRequest
	if err := json.Unmarshal(data, &q); err != nil {
		return nil, invalidJSONError(err)
	}
	if q.Prompt == "" {
		return nil, fault.New(fault.BadRequest, "there is no prompt", "send a prompt")
	}
	c := &modelCall{model: q.Model, prompt: q.Prompt, stream: q.Stream}
	c.includeUsage = q.StreamOptions != nil && q.StreamOptions.IncludeUsage
	return c, c.validate(q.MaxTokens, q.N)
}

func (c *modelCall) validate(limit *int64, n *int) error {
	if c.model == "" {
		return fault.New(fault.BadRequest, "there is no model", "name a route as model; GET /v1/models lists them")
	}
	if n != nil && *n != 1 {
		return fault.New(fault.BadRequest, "n is not 1", "send one request for each answer")
	}
	if limit == nil {
		return nil
	}
	if *limit <= 0 {
		return fault.New(fault.BadRequest, "max_tokens is not above zero", "ask for at least one token")
	}
	c.maxTokens = *limit
	return nil
}

func invalidJSONError(err error) error {
	return fault.New(fault.BadRequest, "the body is not a valid request: "+err.Error(), "correct the JSON")
}

// promptText writes a conversation as one text, so that two conversations with
// the same beginning share a prefix.
func promptText(messages []chatMessage) string {
	if len(messages) == 1 {
		return string(messages[0].Content)
	}
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(string(m.Content))
		text.WriteByte('\n')
	}
	return text.String()
}

// The answers, in OpenAI's form.

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      *choiceMessage `json:"message,omitempty"`
	Delta        *choiceMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type choiceMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

// object names the type of an answer.
func (c *modelCall) objectType(streaming bool) string {
	switch {
	case !c.chat:
		return "text_completion"
	case streaming:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

// ErrorBody is the body of a failed request, in OpenAI's form with the fields
// that doorstack adds.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is a failure as callers see it.
type ErrorDetail struct {
	Message      string          `json:"message"`
	Type         string          `json:"type"`
	Code         fault.Kind      `json:"code"`
	Remedy       string          `json:"remedy"`
	Execution    fault.Execution `json:"execution"`
	Retry        bool            `json:"retry"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	RequestID    string          `json:"request_id"`
}

func errorBody(e *fault.Error, id string) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:      e.Message + "; " + e.Remedy,
		Type:         "doorstack_error",
		Code:         e.Kind,
		Remedy:       e.Remedy,
		Execution:    e.Execution,
		Retry:        e.Retryable,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    id,
	}}
}
