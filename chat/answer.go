package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// usage is the token usage in the API's JSON form.
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

// Answer is the part of a chat completions response that scheduling needs.
type Answer struct {
	Message Message
	Usage   core.Usage
	// HasUsage is false if the target did not report the usage.
	HasUsage bool
	// Finished means that the answer has a finish reason.
	Finished bool
}

// ParseAnswer parses the body of an answer that is not streamed.
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

// Accumulator assembles the chunks of a streamed answer.
type Accumulator struct {
	role      string
	content   strings.Builder
	toolCalls []ToolCall
	usage     *usage
	finished  bool
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

// Add adds the chunk in the data of one event. It reports whether the chunk
// contained text.
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
		a.addToolCalls(choice.Delta.ToolCalls)
		a.finished = a.finished || choice.FinishReason != nil
	}
	return text, nil
}

// addToolCalls appends fragments of tool calls; fragments with the same index
// belong to the same call.
func (a *Accumulator) addToolCalls(fragments []ToolCall) {
	for _, f := range fragments {
		i := slices.IndexFunc(a.toolCalls, func(c ToolCall) bool { return c.Index == f.Index })
		if i < 0 {
			a.toolCalls = append(a.toolCalls, f)
			continue
		}
		a.toolCalls[i].ID += f.ID
		a.toolCalls[i].Function.Name += f.Function.Name
		a.toolCalls[i].Function.Arguments += f.Function.Arguments
	}
}

// Answer returns the answer assembled so far.
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
		Message:  Message{Role: role, Content: content, ToolCalls: a.toolCalls},
		Finished: a.finished,
	}
	if a.usage != nil {
		out.Usage = a.usage.core()
		out.HasUsage = true
	}
	return out
}
