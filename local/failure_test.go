package local

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/front"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/relay"
)

// longAnswer asks for an answer that takes a second or more.
const longAnswer = 600

// streamText asks one streamed question and returns the answer.
func streamText(ctx context.Context, e *VM, question string, begun chan<- struct{}) (string, error) {
	p := ask(question)
	p.MaxTokens = openai.Int(longAnswer)
	stream := clientOf(e, option.WithMaxRetries(0)).Chat.Completions.NewStreaming(ctx, p)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		if acc.AddChunk(stream.Current()); begun != nil {
			close(begun)
			begun = nil
		}
	}
	if stream.Err() != nil {
		return "", stream.Err()
	}
	return acc.Choices[0].Message.Content, nil
}

// expected returns the whole answer to a question.
func expected(question string) string {
	blocks := chat.Blocks([]chat.Message{{Role: "user", Content: []byte(`"` + question + `"`)}})
	digest := blocks[0].Digest
	return engine.AnswerText(digest, engine.AnswerTokens(digest, longAnswer))
}

// slowEngines makes an answer last long enough to be interrupted.
func slowEngines(t *testing.T) Options {
	o := smallOptions(t)
	o.EngineStep = 4 * time.Millisecond
	return o
}

func TestStreamOutlivesSilentConnections(t *testing.T) {
	d := start(t, slowEngines(t))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var relays []*relay.Relay
	for _, s := range d.Sidecars() {
		r, err := relay.Start(loopback, s.PeerAddr())
		require.NoError(t, err)
		t.Cleanup(r.Close)
		require.NoError(t, s.Advertise(r.Addr()))
		relays = append(relays, r)
	}
	// The entries have read the list when all of them have dialled all relays.
	require.Eventually(t, func() bool {
		for _, r := range relays {
			if r.Accepted() < int64(len(d.Entries())) {
				return false
			}
		}
		return true
	}, patience, 10*time.Millisecond)

	begun := make(chan struct{})
	go func() {
		<-begun
		for _, r := range relays {
			r.MakeUnresponsive()
		}
	}()
	got, err := streamText(ctx, d.Entries()[0], "a question", begun)
	require.NoError(t, err)
	require.Equal(t, expected("a question"), got)
}

func TestRetryAfterTheEntryDiedGetsTheOneAnswer(t *testing.T) {
	d := start(t, smallOptions(t))
	const key = "booking-1"
	first := make(chan error, 1)
	go func() { first <- book(context.Background(), d.Entries()[0], key) }()
	executed := d.Tools()[0].Server.Executions
	require.Eventually(t, func() bool { return executed(key) == 1 }, patience, time.Millisecond)
	d.Entries()[0].Kill()
	require.Error(t, <-first)

	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.Eventually(t, func() bool { return book(ctx, d.Entries()[1], key) == nil }, patience, 50*time.Millisecond)
	require.Equal(t, 1, executed(key))
}

// book makes a non-idempotent call that takes a while.
func book(ctx context.Context, e *VM, key string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/pitches/7?sleep=400ms", strings.NewReader("book"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+walkInKey)
	req.Header.Set(front.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{status: resp.Status + " " + string(body)}
	}
	return nil
}

func TestDrainCutsNoAnswer(t *testing.T) {
	for _, role := range []string{"sidecar", "entry"} {
		t.Run(role, func(t *testing.T) {
			d := start(t, slowEngines(t))
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			const calls = 8
			var all sync.WaitGroup
			errs := make([]error, calls)
			answers := make([]string, calls)
			var begun []chan struct{}
			for i := range calls {
				started := make(chan struct{})
				begun = append(begun, started)
				all.Go(func() {
					answers[i], errs[i] = streamText(ctx, d.Entries()[0], fmt.Sprintf("question %d", i), started)
				})
			}
			for _, started := range begun {
				<-started
			}
			victim := d.Entries()[0]
			if role == "sidecar" {
				victim = d.Sidecars()[0]
			}
			require.NoError(t, victim.Drain(ctx))
			all.Wait()
			for i := range calls {
				require.NoError(t, errs[i])
				require.Equal(t, expected(fmt.Sprintf("question %d", i)), answers[i])
			}
		})
	}
}
