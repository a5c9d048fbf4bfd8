package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// usage is the usage object of the API.
type usage struct {
	PromptTokens        uint32 `json:"prompt_tokens"`
	CompletionTokens    uint32 `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens uint32 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *usage) core() core.Usage {
	return core.Usage{
		PromptTokens: u.PromptTokens,
		CachedTokens: u.PromptTokensDetails.CachedTokens,
		OutputTokens: u.CompletionTokens,
	}
}

// Answer is the part of an answer that scheduling needs.
type Answer struct {
	Message Message
	Usage   core.Usage
	// HasUsage is false if the target did not report its usage.
	HasUsage bool
	// Finished means that the answer has its finish reason.
	Finished bool
}

// ParseAnswer reads the body of a plain answer.
func ParseAnswer(body []byte) (*Answer, error) {
	var r struct {
		Choices []struct {
			Message      Message `json:"message"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage *usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, &RequestError{Field: "answer", Err: err}
	}
	if len(r.Choices) == 0 {
		return nil, &RequestError{Field: "choices", Err: errors.New("is empty")}
	}
	a := &Answer{Message: r.Choices[0].Message, Finished: r.Choices[0].FinishReason != nil}
	if r.Usage != nil {
		a.Usage = r.Usage.core()
		a.HasUsage = true
	}
	return a, nil
}

// Accumulator puts the chunks of a streamed answer together.
type Accumulator struct {
	role     string
	content  strings.Builder
	calls    []ToolCall
	usage    *usage
	finished bool
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Role      string     `json:"role"`
			Content   *string    `json:"content"`
			ToolCalls []ToolCall `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// Add takes the data of one event. It reports whether the chunk carried text.
func (a *Accumulator) Add(data []byte) (text bool, err error) {
	if bytes.Equal(data, []byte(doneData)) {
		return false, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false, &RequestError{Field: "chunk", Err: err}
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.Delta.Role != "" {
			a.role = choice.Delta.Role
		}
		if choice.Delta.Content != nil {
			a.content.WriteString(*choice.Delta.Content)
			text = text || *choice.Delta.Content != ""
		}
		a.addCalls(choice.Delta.ToolCalls)
		a.finished = a.finished || choice.FinishReason != nil
	}
	return text, nil
}

// addCalls appends the fragments of tool calls, which are told apart by index.
func (a *Accumulator) addCalls(fragments []ToolCall) {
	for _, f := range fragments {
		i := slices.IndexFunc(a.calls, func(c ToolCall) bool { return c.Index == f.Index })
		if i < 0 {
			a.calls = append(a.calls, f)
			continue
		}
		a.calls[i].ID += f.ID
		a.calls[i].Function.Name += f.Function.Name
		a.calls[i].Function.Arguments += f.Function.Arguments
	}
}

// Answer returns what has been put together so far.
func (a *Accumulator) Answer() *Answer {
	role := a.role
	if role == "" {
		role = "assistant"
	}
	content, err := json.Marshal(a.content.String())
	if err != nil {
		content = nil
	}
	out := &Answer{
		Message:  Message{Role: role, Content: content, ToolCalls: a.calls},
		Finished: a.finished,
	}
	if a.usage != nil {
		out.Usage = a.usage.core()
		out.HasUsage = true
	}
	return out
}
