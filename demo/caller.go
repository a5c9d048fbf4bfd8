package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/rhubarbsaddle/rhubarbsaddle/front"
)

const (
	// callTries bounds the times that a program sends a call, beside the
	// client's own retries.
	callTries = 12
	// clientRetries is the number of retries of the official client.
	clientRetries = 4
	// retryPause is the pause before a call is sent again.
	retryPause = 250 * time.Millisecond
	// callTimeout bounds one try of a call.
	callTimeout = 30 * time.Second
)

// caller sends the calls of a deployment's programs.
type caller struct {
	scenario *scenario
	client   openai.Client
	http     *http.Client
	stats    *stats
}

func newCaller(s *scenario, transport http.RoundTripper, st *stats) *caller {
	c := &caller{scenario: s, http: &http.Client{Transport: transport, Timeout: callTimeout}, stats: st}
	c.client = openai.NewClient(
		option.WithBaseURL("http://balancer/v1"),
		option.WithAPIKey(s.key),
		option.WithHTTPClient(&http.Client{Transport: transport}),
		option.WithMaxRetries(clientRetries),
		option.WithRequestTimeout(callTimeout),
	)
	return c
}

// position names a call of a program.
type position struct {
	program string
	kind    string
	seq     int
	budget  uint64
	key     string
	// reset accepts a conversation that does not extend the recorded one.
	reset bool
}

func (p position) headers() map[string]string {
	h := map[string]string{
		front.HeaderProgram:     p.program,
		front.HeaderProgramKind: p.kind,
		front.HeaderSeq:         strconv.Itoa(p.seq),
		front.HeaderKey:         p.key,
	}
	if p.reset {
		h[front.HeaderHistory] = "reset"
	}
	if p.budget > 0 {
		h[front.HeaderBudget] = strconv.FormatUint(p.budget, 10)
	}
	return h
}

// refusal is what a caller learns of a call without an answer.
type refusal struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// Error returns code and outcome.
func (r *refusal) Error() string { return r.Code + " (" + r.Outcome + ")" }

// answerLost reports whether the call ran and its answer is gone for good.
func (r *refusal) answerLost() bool { return r.Code == "answer_lost" && r.Outcome == "ran" }

// final reports whether sending the call again cannot help, whatever its kind.
func (r *refusal) final() bool {
	switch r.Code {
	case "budget_exhausted", "history_mismatch", "program_ended", "limit_exceeded",
		"idempotency_key_reused", "out_of_sequence", "memory_lost", "invalid_request":
		return true
	}
	return false
}

// answer is a whole answer of a model call.
type answer struct {
	text   string
	tokens uint64
}

// ask sends a model call until it has an answer or a final refusal.
func (c *caller) ask(ctx context.Context, at position, p openai.ChatCompletionNewParams, streamed bool) (answer, error) {
	var opts []option.RequestOption
	for name, value := range at.headers() {
		opts = append(opts, option.WithHeader(name, value))
	}
	var last error
	for range callTries {
		var got answer
		if streamed {
			got, last = c.askStreamed(ctx, p, opts)
		} else {
			got, last = c.askPlain(ctx, p, opts)
		}
		if last == nil {
			return got, nil
		}
		var refused *refusal
		if errors.As(last, &refused) && (refused.final() || refused.answerLost()) || ctx.Err() != nil {
			return answer{}, last
		}
		c.stats.retries.Add(1)
		time.Sleep(retryPause)
	}
	return answer{}, last
}

func (c *caller) askPlain(ctx context.Context, p openai.ChatCompletionNewParams, opts []option.RequestOption) (answer, error) {
	resp, err := c.client.Chat.Completions.New(ctx, p, opts...)
	if err != nil {
		return answer{}, explain(err)
	}
	return answer{text: resp.Choices[0].Message.Content, tokens: uint64(resp.Usage.TotalTokens)}, nil
}

// errCut is the cause when a stream ended without its finish reason.
var errCut = errors.New("the stream was cut")

func (c *caller) askStreamed(ctx context.Context, p openai.ChatCompletionNewParams, opts []option.RequestOption) (answer, error) {
	p.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := c.client.Chat.Completions.NewStreaming(ctx, p, opts...)
	defer stream.Close()
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		return answer{}, explain(err)
	}
	if len(acc.Choices) == 0 || acc.Choices[0].FinishReason == "" {
		return answer{}, errCut
	}
	return answer{text: acc.Choices[0].Message.Content, tokens: uint64(acc.Usage.TotalTokens)}, nil
}

// explain turns the client's error into a refusal where it is one.
func explain(err error) error {
	var api *openai.Error
	if !errors.As(err, &api) {
		return err
	}
	var r refusal
	if json.Unmarshal([]byte(api.RawJSON()), &r) != nil || r.Code == "" {
		return fmt.Errorf("status %d: %w", api.StatusCode, err)
	}
	return &r
}

// end ends a program.
func (c *caller) end(ctx context.Context, program string) error {
	var last error
	for range callTries {
		if last = c.client.Delete(ctx, "programs/"+program, nil, nil); last == nil {
			return nil
		}
		time.Sleep(retryPause)
	}
	return explain(last)
}
