package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Request is the part of a chat completions request that scheduling needs.
type Request struct {
	Model               string            `json:"model"`
	Messages            []Message         `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           *uint32           `json:"max_tokens"`
	MaxCompletionTokens *uint32           `json:"max_completion_tokens"`
	Choices             *uint32           `json:"n"`
	Metadata            map[string]string `json:"metadata"`
}

// Message is one message of a conversation.
type Message struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content"`
	ToolCalls  []ToolCall      `json:"tool_calls"`
	ToolCallID string          `json:"tool_call_id"`
}

// Encode returns the message as JSON, in the form that requests use. The digest of
// the encoded message equals that of m.
func (m *Message) Encode() ([]byte, error) {
	return json.Marshal(&struct {
		Role       string          `json:"role"`
		Content    json.RawMessage `json:"content,omitempty"`
		ToolCalls  []toolCall      `json:"tool_calls,omitempty"`
		ToolCallID string          `json:"tool_call_id,omitempty"`
	}{m.Role, m.Content, encodeToolCalls(m.ToolCalls), m.ToolCallID})
}

// toolCall is the form of a ToolCall in requests: with a type and without an
// index.
type toolCall struct {
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function any    `json:"function"`
}

func encodeToolCalls(calls []ToolCall) []toolCall {
	var out []toolCall
	for _, c := range calls {
		out = append(out, toolCall{ID: c.ID, Type: "function", Function: c.Function})
	}
	return out
}

// ToolCall is a tool call requested by the model. Index is set only in chunks of
// a streamed answer.
type ToolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// RequestError reports a request or answer that is not valid.
type RequestError struct {
	// Field is the invalid field, or "body", "answer" or "chunk" for JSON that
	// cannot be parsed.
	Field string
	Err   error
}

// Error returns the field and the cause.
func (e *RequestError) Error() string { return fmt.Sprintf("%s: %v", e.Field, e.Err) }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// Parse parses and checks the body of a chat completions request. Errors are of
// type *RequestError.
func Parse(body []byte) (*Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, &RequestError{Field: "body", Err: err}
	}
	if r.Model == "" {
		return nil, &RequestError{Field: "model", Err: errors.New("is missing")}
	}
	if len(r.Messages) == 0 {
		return nil, &RequestError{Field: "messages", Err: errors.New("is empty")}
	}
	if r.Choices != nil && *r.Choices != 1 {
		return nil, &RequestError{Field: "n", Err: errors.New("must be 1: a program has one history")}
	}
	return &r, nil
}

// OutputLimit returns the request's limit on generated tokens, or fallback if it
// sets none.
func (r *Request) OutputLimit(fallback uint32) uint32 {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	}
	return fallback
}

// HasOutputLimit reports whether the request sets a limit on generated tokens.
func (r *Request) HasOutputLimit() bool {
	return r.MaxTokens != nil || r.MaxCompletionTokens != nil
}

// WithOutputLimit returns body with max_tokens set, so that the target respects
// the limit for which budget was reserved. Other fields are unchanged. The field
// is appended at the end, because the body may contain a null max_tokens and
// parsers use the last of duplicate fields.
func WithOutputLimit(body []byte, limit uint32) ([]byte, error) {
	trimmed := bytes.TrimSpace(body)
	if len(trimmed) < 2 || trimmed[0] != '{' || trimmed[len(trimmed)-1] != '}' {
		return nil, &RequestError{Field: "body", Err: errors.New("is no JSON object")}
	}
	fields := bytes.TrimSpace(trimmed[1 : len(trimmed)-1])
	separator := ","
	if len(fields) == 0 {
		separator = ""
	}
	return fmt.Appendf(nil, `{%s%s"max_tokens":%d}`, fields, separator, limit), nil
}

// Text returns the text of a message's content. Parts that are not text, such as
// images, are included in their JSON form.
func (m *Message) Text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	var parts []json.RawMessage
	if json.Unmarshal(m.Content, &parts) != nil {
		return string(m.Content)
	}
	var out bytes.Buffer
	for _, raw := range parts {
		var part struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		if json.Unmarshal(raw, &part) == nil && part.Type == "text" {
			out.WriteString(part.Text)
			continue
		}
		if json.Compact(&out, raw) != nil {
			out.Write(raw)
		}
	}
	return out.String()
}
