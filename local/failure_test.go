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

// longAnswerTokens is the length limit of answers that take a second or more.
const longAnswerTokens = 600

// streamText makes a streamed call and returns the answer. If started is not
// nil, it is closed at the first event.
func streamText(ctx context.Context, e *VM, question string, started chan<- struct{}) (string, error) {
	p := chatParams(question)
	p.MaxTokens = openai.Int(longAnswerTokens)
	stream := newClient(e, option.WithMaxRetries(0)).Chat.Completions.NewStreaming(ctx, p)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		if acc.AddChunk(stream.Current()); started != nil {
			close(started)
			started = nil
		}
	}
	if stream.Err() != nil {
		return "", stream.Err()
	}
	return acc.Choices[0].Message.Content, nil
}

// expectedAnswer returns the complete answer to a question.
func expectedAnswer(question string) string {
	blocks := chat.Blocks([]chat.Message{{Role: "user", Content: []byte(`"` + question + `"`)}})
	digest := blocks[0].Digest
	return engine.AnswerText(digest, engine.AnswerTokens(digest, longAnswerTokens))
}

// slowEngineOptions makes answers last long enough to be interrupted.
func slowEngineOptions(t *testing.T) Options {
	o := smallOptions(t)
	o.EngineStep = 4 * time.Millisecond
	return o
}

func TestStreamSurvivesUnresponsiveConnections(t *testing.T) {
	d := start(t, slowEngineOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	var relays []*relay.Relay
	for _, s := range d.Sidecars() {
		r, err := relay.Start(loopback, s.PeerAddr())
		require.NoError(t, err)
		t.Cleanup(r.Close)
		require.NoError(t, s.Advertise(r.Addr()))
		relays = append(relays, r)
	}
	// Every entry has fetched the VM list once it has connected to all relays.
	require.Eventually(t, func() bool {
		for _, r := range relays {
			if r.Accepted() < int64(len(d.Entries())) {
				return false
			}
		}
		return true
	}, eventuallyTimeout, 10*time.Millisecond)

	started := make(chan struct{})
	go func() {
		<-started
		for _, r := range relays {
			r.MakeUnresponsive()
		}
	}()
	got, err := streamText(ctx, d.Entries()[0], "a question", started)
	require.NoError(t, err)
	require.Equal(t, expectedAnswer("a question"), got)
}

func TestRetryAfterEntryCrashGetsTheOneExecution(t *testing.T) {
	d := start(t, smallOptions(t))
	const key = "booking-1"
	first := make(chan error, 1)
	go func() { first <- bookSlowly(context.Background(), d.Entries()[0], key) }()
	executed := d.Tools()[0].Server.Executions
	require.Eventually(t, func() bool { return executed(key) == 1 }, eventuallyTimeout, time.Millisecond)
	d.Entries()[0].Kill()
	require.Error(t, <-first)

	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	require.Eventually(t, func() bool { return bookSlowly(ctx, d.Entries()[1], key) == nil }, eventuallyTimeout, 50*time.Millisecond)
	require.Equal(t, 1, executed(key))
}

// bookSlowly makes a non-idempotent call that takes 400 ms.
func bookSlowly(ctx context.Context, e *VM, key string) error {
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

func TestDrainCompletesStreamsInFlight(t *testing.T) {
	for _, role := range []string{"sidecar", "entry"} {
		t.Run(role, func(t *testing.T) {
			d := start(t, slowEngineOptions(t))
			ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
			defer cancel()
			const calls = 8
			var all sync.WaitGroup
			errs := make([]error, calls)
			answers := make([]string, calls)
			var allStarted []chan struct{}
			for i := range calls {
				started := make(chan struct{})
				allStarted = append(allStarted, started)
				all.Go(func() {
					answers[i], errs[i] = streamText(ctx, d.Entries()[0], fmt.Sprintf("question %d", i), started)
				})
			}
			for _, started := range allStarted {
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
				require.Equal(t, expectedAnswer(fmt.Sprintf("question %d", i)), answers[i])
			}
		})
	}
}
