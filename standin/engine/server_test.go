package engine

import (
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// newClient starts a server and returns an OpenAI client for it.
func newClient(t *testing.T) openai.Client {
	p := DefaultParams()
	p.StepTime = 2 * core.Millisecond
	s := NewServer(Options{Params: p, Model: "m"})
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return openai.NewClient(option.WithBaseURL("http://"+addr+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
}

// requestAndAnswer returns a request and the expected answer.
func requestAndAnswer(maxTokens int64) (openai.ChatCompletionNewParams, string) {
	p := openai.ChatCompletionNewParams{
		Model:               "m",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxCompletionTokens: openai.Int(maxTokens),
	}
	digest := chat.Blocks([]chat.Message{{Role: "user", Content: []byte(`"hello"`)}})[0].Digest
	return p, AnswerText(digest, AnswerTokens(digest, uint32(maxTokens)))
}

func TestOpenAIClientGetsAnswer(t *testing.T) {
	c := newClient(t)
	p, want := requestAndAnswer(20)
	answer, err := c.Chat.Completions.New(t.Context(), p)
	require.NoError(t, err)
	require.Equal(t, want, answer.Choices[0].Message.Content)
	require.EqualValues(t, len(want)/tokenBytes, answer.Usage.CompletionTokens)
	require.EqualValues(t, 6, answer.Usage.PromptTokens)
}

func TestOpenAIClientGetsStreamedAnswer(t *testing.T) {
	c := newClient(t)
	p, want := requestAndAnswer(20)
	p.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := c.Chat.Completions.NewStreaming(t.Context(), p)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, acc.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, want, acc.Choices[0].Message.Content)
	require.EqualValues(t, len(want)/tokenBytes, acc.Usage.CompletionTokens)
}

func TestOpenAIClientGetsModelsAndErrors(t *testing.T) {
	c := newClient(t)
	models, err := c.Models.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, "m", models.Data[0].ID)
	p, _ := requestAndAnswer(10_000_000)
	_, err = c.Chat.Completions.New(t.Context(), p)
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, 400, apiErr.StatusCode)
}
