package api

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"doorstack.dev/core/fault"
)

// chatRequest holds the fields of an OpenAI chat completion request that doorstack reads.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *int64         `json:"max_tokens"`
	MaxCompletionTokens *int64         `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
}

// streamOptions holds the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatMessage is a message of a conversation.
type chatMessage struct {
	Role    string      `json:"role"`
	Content messageText `json:"content"`
}

// messageText is the content of a message. In JSON it is a string or a list of text parts.
type messageText string

// textPart is a part of a message's content.
type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string or a list of text parts, which are concatenated.
func (m *messageText) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*m = messageText(text)
		return nil
	}
	var parts []textPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("message content is neither a string nor a list of parts")
	}
	var joined strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported; only text is", p.Type)
		}
		joined.WriteString(p.Text)
	}
	*m = messageText(joined.String())
	return nil
}

// completionRequest holds the fields of an OpenAI completion request that doorstack reads.
type completionRequest struct {
	Model         string         `json:"model"`
	Prompt        string         `json:"prompt"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	MaxTokens     *int64         `json:"max_tokens"`
	N             *int           `json:"n"`
}

// modelCall is a parsed and validated chat or completion request. maxTokens is zero if the
// request sets no limit.
type modelCall struct {
	model        string
	prompt       string
	maxTokens    int64
	stream       bool
	includeUsage bool
	chat         bool
	// sharedParts identify the messages before the last, which other conversations may contain too.
	sharedParts []string
}

// parseChat parses the body of a chat completion request.
func parseChat(data []byte) (*modelCall, error) {
	var q chatRequest
	if err := json.Unmarshal(data, &q); err != nil {
		return nil, invalidJSONError(err)
	}
	if len(q.Messages) == 0 {
		return nil, fault.New(fault.BadRequest, "messages is missing or empty", "send at least one message")
	}
	limit := q.MaxCompletionTokens
	if limit == nil {
		limit = q.MaxTokens
	}
	c := &modelCall{model: q.Model, prompt: promptText(q.Messages), stream: q.Stream, chat: true, sharedParts: sharedMessages(q.Messages)}
	c.includeUsage = q.StreamOptions != nil && q.StreamOptions.IncludeUsage
	return c, c.validate(limit, q.N)
}

// parseCompletion parses the body of a completion request.
func parseCompletion(data []byte) (*modelCall, error) {
	var q completionRequest
	if err := json.Unmarshal(data, &q); err != nil {
		return nil, invalidJSONError(err)
	}
	if q.Prompt == "" {
		return nil, fault.New(fault.BadRequest, "prompt is missing or empty", "send a prompt")
	}
	c := &modelCall{model: q.Model, prompt: q.Prompt, stream: q.Stream}
	c.includeUsage = q.StreamOptions != nil && q.StreamOptions.IncludeUsage
	return c, c.validate(q.MaxTokens, q.N)
}

// validate checks the fields that both kinds of request have, and sets maxTokens.
func (c *modelCall) validate(limit *int64, n *int) error {
	if c.model == "" {
		return fault.New(fault.BadRequest, "model is missing", "set model to the name of a route; GET /v1/models lists the routes")
	}
	if n != nil && *n != 1 {
		return fault.New(fault.BadRequest, "n must be 1", "send a separate request for each answer")
	}
	if limit == nil {
		return nil
	}
	if *limit <= 0 {
		return fault.New(fault.BadRequest, "max_tokens must be positive", "allow at least one token")
	}
	c.maxTokens = *limit
	return nil
}

// invalidJSONError is the error for a body that cannot be decoded.
func invalidJSONError(err error) error {
	return fault.New(fault.BadRequest, "the request body is invalid: "+err.Error(), "correct the JSON")
}

// maxSharedMessages bounds the messages that are hashed of a conversation.
const maxSharedMessages = 32

// sharedMessages returns the hashes of a conversation's first messages but for its last one.
func sharedMessages(messages []chatMessage) []string {
	var hashes []string
	for _, m := range messages[:min(len(messages)-1, maxSharedMessages)] {
		sum := sha256.Sum256([]byte(m.Role + "\x00" + string(m.Content)))
		if id := hex.EncodeToString(sum[:12]); !slices.Contains(hashes, id) {
			hashes = append(hashes, id)
		}
	}
	return hashes
}

// promptText returns a conversation as a single text: the content of a single message, or each
// message with its role. Conversations of several messages share a prefix of the text if they begin
// with the same messages.
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

// usage is the token usage of an answer, in OpenAI's format.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// completionChoice is a choice of an answer. Message is set in a complete chat answer, Delta in
// a streamed one, and Text in a completion.
type completionChoice struct {
	Index        int            `json:"index"`
	Message      *choiceMessage `json:"message,omitempty"`
	Delta        *choiceMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// choiceMessage is the message of a chat answer, or a part of it.
type choiceMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completion is an answer, or an event of a streamed answer, in OpenAI's format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

// objectType returns the value of an answer's object field.
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

// ErrorBody is the body of an error answer, in OpenAI's format with additional fields of
// doorstack.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error to a caller.
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

// errorBody returns the error answer for the request with this id.
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
