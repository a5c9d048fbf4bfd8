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
	patience = 60 * time.Second
	// circuitKey is the key of the account circuit of the example.
	circuitKey = "circuit-demo-key"
	// walkInKey is the key of the account walk-in, which has no budget of its
	// own to be counted in the key-value service.
	walkInKey = "walk-in-demo-key"
)

// small returns the first example with few slots.
func small(t *testing.T) *config.Set {
	set, err := load.Set("../examples/bancarella")
	require.NoError(t, err)
	set.Ownership.Slots = 8
	set.Ownership.Replicas = 2
	return set
}

func start(t *testing.T, options Options) *Deployment {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
		Config:           small(t),
		EntriesPerDomain: 1,
		Targets:          map[string]int{"assistant": 2, "booking": 1, "pitch-services": 1},
		EngineStep:       time.Millisecond,
		ToolTime:         time.Millisecond,
	}
}

func clientOf(e *VM, opts ...option.RequestOption) *openai.Client {
	opts = append([]option.RequestOption{
		option.WithBaseURL(e.URL() + "/v1"), option.WithAPIKey(circuitKey),
	}, opts...)
	c := openai.NewClient(opts...)
	return &c
}

func ask(text ...string) openai.ChatCompletionNewParams {
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

func TestWholePathWithOfficialClient(t *testing.T) {
	d := start(t, smallOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	inProgram := option.WithHeader(front.HeaderProgram, "p1")

	first, err := clientOf(d.Entries()[0], inProgram).Chat.Completions.New(ctx, ask("hello"))
	require.NoError(t, err)
	said := first.Choices[0].Message.Content
	require.NotEmpty(t, said)

	// The next turn goes through another entry and is streamed.
	stream := clientOf(d.Entries()[1], inProgram).Chat.Completions.NewStreaming(ctx, ask("hello", said, "more"))
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	require.NoError(t, stream.Err())
	require.NotEmpty(t, acc.Choices[0].Message.Content)
	require.NotEmpty(t, acc.Choices[0].FinishReason)

	// A conversation that is not the program's is refused.
	_, err = clientOf(d.Entries()[2], inProgram).Chat.Completions.New(ctx, ask("other", "words", "here"))
	var refused *openai.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "history_mismatch", refused.Code)

	require.NoError(t, callTool(ctx, d.Entries()[0], "k1"))
	require.NoError(t, callTool(ctx, d.Entries()[1], "k1"))
	require.Equal(t, 1, d.Tools()[0].Server.Executions("k1"), "a retry with the key gets the recorded answer")

	c := clientOf(d.Entries()[0])
	require.NoError(t, c.Delete(ctx, "programs/p1", nil, nil))
	_, err = clientOf(d.Entries()[2], inProgram).Chat.Completions.New(ctx, ask("hello"))
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "program_ended", refused.Code)
}

// callTool books a pitch once.
func callTool(ctx context.Context, e *VM, key string) error {
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

// refusalCode returns the code of a refusal, for messages.
func refusalCode(err error) string {
	var refused *openai.Error
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

type statusError struct{ status string }

func (e *statusError) Error() string { return e.status }
