package local

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/front"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

// BenchmarkAppendFirstToken measures the time to the first event of a streamed
// answer. It compares calls that send the whole conversation with calls that
// send one new message.
func BenchmarkAppendFirstToken(b *testing.B) {
	for _, tokens := range []uint32{10_000, 100_000} {
		for _, mode := range []string{"", "append"} {
			b.Run(fmt.Sprintf("tokens=%d/mode=%s", tokens, mode), func(b *testing.B) { benchmarkFirstEvent(b, tokens, mode) })
		}
	}
}

func benchmarkFirstEvent(b *testing.B, tokens uint32, mode string) {
	set, err := load.Set("../examples/bancarella")
	require.NoError(b, err)
	set.Ownership.Slots = 8
	for i := range set.Programs {
		set.Programs[i].BudgetTokens = 1 << 40
		set.Programs[i].MaxTurns = 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*eventuallyTimeout)
	defer cancel()
	d, err := Start(ctx, Options{
		Config: set, EntriesPerDomain: 1, Targets: map[string]int{"assistant": 2, "booking": 1, "pitch-services": 1},
		EngineStep: time.Millisecond,
	})
	require.NoError(b, err)
	defer d.Close()
	messages := []string{strings.TrimSpace(engine.AnswerText(1, tokens))}
	var latencies []time.Duration
	for turn := range b.N + 1 {
		texts, turnMode := messages, ""
		if turn > 0 && mode != "" {
			texts, turnMode = messages[len(messages)-1:], mode
		}
		first, answer := measureFirstEvent(ctx, b, d, turn, turnMode, texts)
		if turn > 0 {
			latencies = append(latencies, first)
		}
		messages = append(messages, answer, "more")
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "µs-p50")
	b.ReportMetric(float64(latencies[len(latencies)-1].Microseconds()), "µs-max")
}

// measureFirstEvent makes a streamed call and returns the time to its first event
// and the answer.
func measureFirstEvent(ctx context.Context, b *testing.B, d *Deployment, turn int, mode string, texts []string) (time.Duration, string) {
	opts := []option.RequestOption{
		option.WithAPIKey(walkInKey), option.WithMaxRetries(0),
		option.WithHeader(front.HeaderProgram, "p1"), option.WithHeader(front.HeaderKey, fmt.Sprint("k", turn)),
	}
	if mode != "" {
		opts = append(opts, option.WithHeader(front.HeaderHistory, mode))
	}
	start := time.Now()
	stream := newClient(d.Entries()[0], opts...).Chat.Completions.NewStreaming(ctx, chatParams(texts...))
	var acc openai.ChatCompletionAccumulator
	var first time.Duration
	for stream.Next() {
		if first == 0 {
			first = time.Since(start)
		}
		acc.AddChunk(stream.Current())
	}
	require.NoError(b, stream.Err())
	return first, acc.Choices[0].Message.Content
}
