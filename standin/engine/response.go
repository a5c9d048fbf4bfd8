package engine

import (
	"encoding/json"
	"net/http"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// response is an answer while it is generated and until it is forgotten. Its
// fields are guarded by the server's mutex.
type response struct {
	// name is the attempt id of the request, or one made up by the server.
	name    string
	job     core.AttemptID
	model   string
	created int64
	stream  bool
	// includeUsage adds a chunk with the usage to a streamed answer.
	includeUsage bool
	// digest is the digest of the prompt.
	digest    uint64
	total     uint32
	limit     uint32
	generated uint32
	status    int
	body      []byte
	usage     core.Usage
	executed  bool
	done      bool
	canceled  bool
	// changed is closed and replaced when anything above changes.
	changed chan struct{}
}

// JSON forms of the chat completions API.
type (
	wireUsage struct {
		PromptTokens     uint32      `json:"prompt_tokens"`
		CompletionTokens uint32      `json:"completion_tokens"`
		TotalTokens      uint32      `json:"total_tokens"`
		Details          wireDetails `json:"prompt_tokens_details"`
	}
	wireDetails struct {
		CachedTokens uint32 `json:"cached_tokens"`
	}
	wireMessage struct {
		Role    string  `json:"role,omitempty"`
		Content string  `json:"content"`
		Refusal *string `json:"refusal,omitempty"`
	}
	wireChoice struct {
		Index        int          `json:"index"`
		Message      *wireMessage `json:"message,omitempty"`
		Delta        *wireDelta   `json:"delta,omitempty"`
		Logprobs     *struct{}    `json:"logprobs"`
		FinishReason *string      `json:"finish_reason"`
	}
	wireDelta struct {
		Role    string  `json:"role,omitempty"`
		Content *string `json:"content,omitempty"`
	}
	wireCompletion struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []wireChoice `json:"choices"`
		Usage   *wireUsage   `json:"usage,omitempty"`
	}
	wireError struct {
		Error wireErrorBody `json:"error"`
	}
	wireErrorBody struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    *string `json:"code"`
	}
)

// start begins the answer.
func (r *response) start() {
	if r.status != 0 || !r.stream {
		return
	}
	r.status = http.StatusOK
	empty := ""
	r.appendChunk(&wireDelta{Role: "assistant", Content: &empty}, nil)
}

// addTokens appends n generated tokens.
func (r *response) addTokens(n uint32) {
	text := string(appendTokens(nil, r.digest, r.generated, r.generated+n))
	r.generated += n
	if r.stream {
		r.appendChunk(&wireDelta{Content: &text}, nil)
	}
}

// finish completes the answer.
func (r *response) finish(usage core.Usage) {
	r.usage = usage
	r.done = true
	reason := "stop"
	if r.total >= r.limit {
		reason = "length"
	}
	if !r.stream {
		r.finishPlain(reason)
		return
	}
	r.appendChunk(&wireDelta{}, &reason)
	if r.includeUsage {
		c := r.completion("chat.completion.chunk")
		c.Choices = []wireChoice{}
		c.Usage = usageOf(r.usage)
		r.appendEvent(c)
	}
	r.body = append(r.body, "data: [DONE]\n\n"...)
}

// finishPlain sets the body of an answer that is not streamed.
func (r *response) finishPlain(reason string) {
	c := r.completion("chat.completion")
	message := &wireMessage{Role: "assistant", Content: AnswerText(r.digest, r.generated)}
	c.Choices = []wireChoice{{Message: message, FinishReason: &reason}}
	c.Usage = usageOf(r.usage)
	r.status = http.StatusOK
	r.body, _ = json.Marshal(c)
}

// reject ends the answer with an error.
func (r *response) reject(status int, message string) {
	r.status = status
	r.done = true
	r.stream = false
	r.body, _ = json.Marshal(wireError{Error: wireErrorBody{Message: message, Type: "invalid_request_error"}})
}

// completion returns the fields that all parts of the answer share.
func (r *response) completion(object string) *wireCompletion {
	return &wireCompletion{ID: "chatcmpl-" + r.name, Object: object, Created: r.created, Model: r.model}
}

// appendChunk appends a chunk of a streamed answer.
func (r *response) appendChunk(delta *wireDelta, reason *string) {
	c := r.completion("chat.completion.chunk")
	c.Choices = []wireChoice{{Delta: delta, FinishReason: reason}}
	r.appendEvent(c)
}

// appendEvent appends a server-sent event.
func (r *response) appendEvent(c *wireCompletion) {
	data, _ := json.Marshal(c)
	r.body = append(r.body, "data: "...)
	r.body = append(r.body, data...)
	r.body = append(r.body, "\n\n"...)
}

// notify wakes those that wait for a change.
func (r *response) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// usageOf returns the JSON form of a usage.
func usageOf(u core.Usage) *wireUsage {
	return &wireUsage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.OutputTokens,
		TotalTokens:      u.PromptTokens + u.OutputTokens,
		Details:          wireDetails{CachedTokens: u.CachedTokens},
	}
}
