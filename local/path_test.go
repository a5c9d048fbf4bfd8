package local

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/front"
)

const (
	eventuallyTimeout = 60 * time.Second
	// circuitKey is the API key of the example's account circuit.
	circuitKey = "circuit-demo-key"
	// walkInKey is the API key of the account walk-in. The account has no budget,
	// so that its calls need no counts in the key-value service.
	walkInKey = "walk-in-demo-key"
)

// smallConfig returns the configuration of the example bancarella with few slots.
func smallConfig(t *testing.T) *config.Set {
	set, err := load.Set("../examples/bancarella")
	require.NoError(t, err)
	set.Ownership.Slots = 8
	set.Ownership.Replicas = 2
	return set
}

func start(t *testing.T, options Options) *Deployment {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	d, err := Start(ctx, options)
	require.NoError(t, err)
	t.Cleanup(func() {
		for _, vm := range slices.Concat(d.Entries(), d.Sidecars()) {
			if n := vm.Node(); n != nil {
				require.Empty(t, n.Invariants.Messages())
			}
		}
		d.Close()
	})
	return d
}

func smallOptions(t *testing.T) Options {
	return Options{
		Config:           smallConfig(t),
		EntriesPerDomain: 1,
		Targets:          map[string]int{"assistant": 2, "booking": 1, "pitch-services": 1},
		EngineStep:       time.Millisecond,
		ToolTime:         time.Millisecond,
	}
}

func newClient(e *VM, opts ...option.RequestOption) *openai.Client {
	opts = append([]option.RequestOption{
		option.WithBaseURL(e.URL() + "/v1"), option.WithAPIKey(circuitKey),
	}, opts...)
	c := openai.NewClient(opts...)
	return &c
}

func chatParams(text ...string) openai.ChatCompletionNewParams {
	p := openai.ChatCompletionNewParams{Model: "vendor-assistant", MaxTokens: openai.Int(20)}
	for i, s := range text {
		if i%2 == 0 {
			p.Messages = append(p.Messages, openai.UserMessage(s))
		} else {
			p.Messages = append(p.Messages, openai.AssistantMessage(s))
		}
	}
	return p
}

func TestOfficialClientEndToEnd(t *testing.T) {
	d := start(t, smallOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	inProgram := option.WithHeader(front.HeaderProgram, "p1")

	first, err := newClient(d.Entries()[0], inProgram).Chat.Completions.New(ctx, chatParams("hello"))
	require.NoError(t, err)
	answer := first.Choices[0].Message.Content
	require.NotEmpty(t, answer)

	// The next turn is sent to another entry and streamed.
	stream := newClient(d.Entries()[1], inProgram).Chat.Completions.NewStreaming(ctx, chatParams("hello", answer, "more"))
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	require.NoError(t, stream.Err())
	require.NotEmpty(t, acc.Choices[0].Message.Content)
	require.NotEmpty(t, acc.Choices[0].FinishReason)

	// A call with a conversation that does not belong to the program is refused.
	_, err = newClient(d.Entries()[2], inProgram).Chat.Completions.New(ctx, chatParams("other", "words", "here"))
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, "history_mismatch", apiErr.Code)

	require.NoError(t, bookPitch(ctx, d.Entries()[0], "k1"))
	require.NoError(t, bookPitch(ctx, d.Entries()[1], "k1"))
	require.Equal(t, 1, d.Tools()[0].Server.Executions("k1"), "a retry with the same key receives the recorded answer")

	c := newClient(d.Entries()[0])
	require.NoError(t, c.Delete(ctx, "programs/p1", nil, nil))
	_, err = newClient(d.Entries()[2], inProgram).Chat.Completions.New(ctx, chatParams("hello"))
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, "program_ended", apiErr.Code)
}

// bookPitch makes a non-idempotent call.
func bookPitch(ctx context.Context, e *VM, key string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/pitches/7", strings.NewReader("book"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+circuitKey)
	req.Header.Set(front.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &statusError{status: resp.Status}
	}
	return nil
}

// errorCode returns the code of an API error, for failure messages.
func errorCode(err error) string {
	var apiErr *openai.Error
	if errors.As(err, &apiErr) {
		return apiErr.Code
	}
	return ""
}

type statusError struct{ status string }

func (e *statusError) Error() string { return e.status }
