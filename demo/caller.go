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
	// maxCallAttempts limits how often a program sends a call, not counting the
	// client's own retries.
	maxCallAttempts = 12
	// clientRetries is the number of retries within the OpenAI client.
	clientRetries = 4
	// retryDelay is the time before a call is sent again.
	retryDelay = 250 * time.Millisecond
	// callTimeout limits one attempt of a call.
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
		option.WithAPIKey(s.apiKey),
		option.WithHTTPClient(&http.Client{Transport: transport}),
		option.WithMaxRetries(clientRetries),
		option.WithRequestTimeout(callTimeout),
	)
	return c
}

// callParams are the parameters of a call that are sent in its headers.
type callParams struct {
	program string
	kind    string
	seq     int
	budget  uint64
	key     string
	// reset allows a conversation that does not extend the recorded one.
	reset bool
}

func (p callParams) headers() map[string]string {
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

// apiError is the error response to a call.
type apiError struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// Error returns the code and the outcome.
func (e *apiError) Error() string { return e.Code + " (" + e.Outcome + ")" }

// isAnswerLost reports whether the call was executed and its answer is
// permanently lost.
func (e *apiError) isAnswerLost() bool { return e.Code == "answer_lost" && e.Outcome == "ran" }

// isPermanent reports whether a retry cannot succeed, whatever the kind of call.
func (e *apiError) isPermanent() bool {
	switch e.Code {
	case "budget_exhausted", "history_mismatch", "program_ended", "limit_exceeded",
		"idempotency_key_reused", "out_of_sequence", "memory_lost", "invalid_request":
		return true
	}
	return false
}

// answer is the complete answer to a model call.
type answer struct {
	text   string
	tokens uint64
}

// callModel sends a model call up to maxCallAttempts times. It returns early
// with an answer, a permanent error, or the error that the answer is lost.
func (c *caller) callModel(ctx context.Context, call callParams, p openai.ChatCompletionNewParams, streamed bool) (answer, error) {
	var opts []option.RequestOption
	for name, value := range call.headers() {
		opts = append(opts, option.WithHeader(name, value))
	}
	var lastErr error
	for range maxCallAttempts {
		var got answer
		if streamed {
			got, lastErr = c.callModelStreamed(ctx, p, opts)
		} else {
			got, lastErr = c.callModelPlain(ctx, p, opts)
		}
		if lastErr == nil {
			return got, nil
		}
		var apiErr *apiError
		if errors.As(lastErr, &apiErr) && (apiErr.isPermanent() || apiErr.isAnswerLost()) || ctx.Err() != nil {
			return answer{}, lastErr
		}
		c.stats.retries.Add(1)
		time.Sleep(retryDelay)
	}
	return answer{}, lastErr
}

func (c *caller) callModelPlain(ctx context.Context, p openai.ChatCompletionNewParams, opts []option.RequestOption) (answer, error) {
	resp, err := c.client.Chat.Completions.New(ctx, p, opts...)
	if err != nil {
		return answer{}, toAPIError(err)
	}
	return answer{text: resp.Choices[0].Message.Content, tokens: uint64(resp.Usage.TotalTokens)}, nil
}

// errStreamInterrupted means that a stream ended without a finish reason.
var errStreamInterrupted = errors.New("the stream ended without a finish reason")

func (c *caller) callModelStreamed(ctx context.Context, p openai.ChatCompletionNewParams, opts []option.RequestOption) (answer, error) {
	p.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := c.client.Chat.Completions.NewStreaming(ctx, p, opts...)
	defer stream.Close()
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		return answer{}, toAPIError(err)
	}
	if len(acc.Choices) == 0 || acc.Choices[0].FinishReason == "" {
		return answer{}, errStreamInterrupted
	}
	return answer{text: acc.Choices[0].Message.Content, tokens: uint64(acc.Usage.TotalTokens)}, nil
}

// toAPIError returns the apiError in the client's error, if there is one.
func toAPIError(err error) error {
	var clientErr *openai.Error
	if !errors.As(err, &clientErr) {
		return err
	}
	var apiErr apiError
	if json.Unmarshal([]byte(clientErr.RawJSON()), &apiErr) != nil || apiErr.Code == "" {
		return fmt.Errorf("status %d: %w", clientErr.StatusCode, err)
	}
	return &apiErr
}

// endProgram ends a program, with retries.
func (c *caller) endProgram(ctx context.Context, program string) error {
	var lastErr error
	for range maxCallAttempts {
		if lastErr = c.client.Delete(ctx, "programs/"+program, nil, nil); lastErr == nil {
			return nil
		}
		time.Sleep(retryDelay)
	}
	return toAPIError(lastErr)
}
