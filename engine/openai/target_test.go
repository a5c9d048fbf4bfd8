package openai_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/openai"
	standin "github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/fault"
)

// testTimeout bounds waits that normally end much sooner.
const testTimeout = 30 * time.Second

// fastParams returns engine parameters with a decoding step of 2 ms.
func fastParams() standin.Params {
	p := standin.DefaultParams()
	p.StepTime = 2 * core.Millisecond
	return p
}

// startEngine starts a stand-in engine and returns it with a Target for it.
func startEngine(t *testing.T, so standin.Options, to openai.Options) (*standin.Server, *openai.Target) {
	s := standin.NewServer(so)
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, openai.New(addr, to)
}

// newRequest returns an attempt with one user message.
func newRequest(t *testing.T, n uint64, text string, stream bool, maxTokens uint32) engine.Request {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"stream":%t,"max_tokens":%d}`, text, stream, maxTokens)
	parsed, err := chat.Parse([]byte(body))
	require.NoError(t, err)
	call := core.Call{Kind: core.CallModel, Stream: stream, Blocks: chat.Blocks(parsed.Messages), Body: []byte(body)}
	return engine.Request{Attempt: core.AttemptID{Slot: 3, Epoch: core.Epoch{Version: 2}, N: n}, Fence: core.Epoch{Version: 2}, Call: call}
}

// recorder is a sink that records the answer and calls onData for each part.
type recorder struct {
	mu     sync.Mutex
	head   engine.Head
	body   []byte
	tokens uint32
	onData func()
}

func (r *recorder) Head(h engine.Head) error {
	r.head = h
	return nil
}

func (r *recorder) Data(b []byte, tokens uint32) error {
	r.mu.Lock()
	r.body = append(r.body, b...)
	r.tokens += tokens
	r.mu.Unlock()
	if r.onData != nil {
		r.onData()
	}
	return nil
}

// text returns the text of the recorded answer.
func (r *recorder) text(t *testing.T, stream bool) string {
	if !stream {
		a, err := chat.ParseAnswer(r.body)
		require.NoError(t, err)
		return a.Message.Text()
	}
	var acc chat.Accumulator
	rest := r.body
	for {
		event, after, ok := chat.CutEvent(rest)
		if !ok {
			require.Empty(t, rest)
			break
		}
		rest = after
		_, err := acc.Add(chat.EventData(event))
		require.NoError(t, err)
	}
	require.True(t, strings.HasSuffix(string(r.body), "data: [DONE]\n\n"))
	return acc.Answer().Message.Text()
}

// wantAnswer returns the text with which the stand-in engine answers a request.
func wantAnswer(req engine.Request, maxTokens uint32) string {
	digest := req.Call.Blocks[len(req.Call.Blocks)-1].Digest
	return standin.AnswerText(digest, standin.AnswerTokens(digest, maxTokens))
}

func TestRunReturnsCompleteAnswer(t *testing.T) {
	for _, stream := range []bool{false, true} {
		s, target := startEngine(t, standin.Options{Params: fastParams()}, openai.Options{})
		req := newRequest(t, 1, "hello", stream, 20)
		var sink recorder
		result, err := target.Run(t.Context(), req, &sink)
		require.NoError(t, err)
		require.Equal(t, 200, sink.head.Status)
		require.Equal(t, wantAnswer(req, 20), sink.text(t, stream))
		require.EqualValues(t, len(sink.body), result.Length)
		require.EqualValues(t, 2, result.Blocks)
		require.Equal(t, req.Call.PromptTokens(), result.Usage.PromptTokens)
		require.EqualValues(t, len(wantAnswer(req, 20))/4, result.Usage.OutputTokens)
		content, err := json.Marshal(wantAnswer(req, 20))
		require.NoError(t, err)
		answer := chat.Message{Role: "assistant", Content: content}
		require.Equal(t, chat.ExtendDigest(req.Call.Blocks[0].Digest, &answer), result.Digest)
		listing, err := target.ListCache(t.Context())
		require.NoError(t, err)
		require.Contains(t, listing.Digests, result.Digest, "the engine must cache the conversation including its answer")
		require.Equal(t, 1, s.Executions(req.Attempt.String()))
	}
}

func TestRunResumesAfterIdleTimeout(t *testing.T) {
	s, target := startEngine(t, standin.Options{Params: fastParams(), Heartbeat: 20 * time.Millisecond},
		openai.Options{IdleTimeout: 300 * time.Millisecond, Backoff: time.Millisecond})
	req := newRequest(t, 1, "hello", true, 40)
	var once sync.Once
	sink := recorder{onData: func() { once.Do(s.MakeUnresponsive) }}
	_, err := target.Run(t.Context(), req, &sink)
	require.NoError(t, err)
	require.Equal(t, wantAnswer(req, 40), sink.text(t, true))
	require.Equal(t, 1, s.Executions(req.Attempt.String()))
}

func TestPlainAnswerSurvivesIdleTimeouts(t *testing.T) {
	s, target := startEngine(t, standin.Options{Params: fastParams(), Heartbeat: 20 * time.Millisecond},
		openai.Options{IdleTimeout: 60 * time.Millisecond, Backoff: time.Millisecond, MaxResumes: 1000})
	req := newRequest(t, 1, "hello", false, 200)
	var sink recorder
	_, err := target.Run(t.Context(), req, &sink)
	require.NoError(t, err)
	require.Equal(t, wantAnswer(req, 200), sink.text(t, false))
	require.Equal(t, 1, s.Executions(req.Attempt.String()))
}

func TestErrorsReportWhetherAttemptWasSent(t *testing.T) {
	tests := []struct {
		name   string
		faults fault.Faults
		sent   bool
		reason core.Reason
	}{
		{"overloaded", fault.Faults{Status: 503}, false, core.ReasonOverload},
		{"failed", fault.Faults{Status: 500}, true, core.ReasonTargetFailed},
		{"bad request", fault.Faults{Status: 400}, false, core.ReasonTargetFailed},
		{"hangs", fault.Faults{Hang: true}, true, core.ReasonTargetFailed},
		{"loses responses", fault.Faults{LoseResponse: true}, true, core.ReasonTargetFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, target := startEngine(t, standin.Options{Params: fastParams()},
				openai.Options{IdleTimeout: 100 * time.Millisecond, Backoff: time.Millisecond, MaxResumes: 1})
			s.SetFaults(tt.faults)
			_, err := target.Run(t.Context(), newRequest(t, 1, "hello", true, 10), &recorder{})
			var e *engine.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, tt.sent, e.Sent, err)
			require.Equal(t, tt.reason, e.Reason)
		})
	}
}

func TestUnreachableTargetReportsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = openai.New(addr, openai.Options{}).Run(t.Context(), newRequest(t, 1, "hello", true, 10), &recorder{})
	var e *engine.Error
	require.ErrorAs(t, err, &e)
	require.False(t, e.Sent)
	require.Equal(t, addr, e.Peer)
	require.Equal(t, engine.StepRun, e.Step)
}

func TestStaleFenceIsRejectedIfChecked(t *testing.T) {
	for _, checks := range []bool{false, true} {
		_, target := startEngine(t, standin.Options{Params: fastParams(), ChecksFence: checks}, openai.Options{})
		command := engine.Command{Kind: engine.CommandLoadModel, Name: "m2", Slot: 3, Fence: core.Epoch{Version: 5}}
		require.NoError(t, target.Execute(t.Context(), command))
		command.Fence.Version = 4
		err := target.Execute(t.Context(), command)
		_, runErr := target.Run(t.Context(), newRequest(t, 1, "hello", true, 10), &recorder{})
		if !checks {
			require.NoError(t, err)
			require.NoError(t, runErr)
			continue
		}
		for _, err := range []error{err, runErr} {
			var e *engine.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, core.ReasonStaleEpoch, e.Reason)
			require.False(t, e.Sent)
		}
	}
}

func TestCancelStopsAttempt(t *testing.T) {
	_, target := startEngine(t, standin.Options{Params: fastParams()}, openai.Options{Backoff: time.Millisecond})
	req := newRequest(t, 1, "hello", true, 100_000)
	began := make(chan struct{})
	var once sync.Once
	sink := recorder{onData: func() { once.Do(func() { close(began) }) }}
	done := make(chan error, 1)
	go func() {
		_, err := target.Run(context.Background(), req, &sink)
		done <- err
	}()
	<-began
	require.NoError(t, target.Cancel(t.Context(), req.Attempt))
	require.Error(t, <-done)
	load, err := target.Load(t.Context())
	require.NoError(t, err)
	require.Zero(t, load.Running)
	require.NoError(t, target.Cancel(t.Context(), req.Attempt), "canceling an attempt that has ended must succeed")
}

func TestCacheListingIsCompleteDespiteEventGaps(t *testing.T) {
	_, target := startEngine(t, standin.Options{Params: fastParams(), EventGapEvery: 2, EventDelay: 5 * time.Millisecond}, openai.Options{})
	for n := range uint64(3) {
		_, err := target.Run(t.Context(), newRequest(t, n, fmt.Sprint("hello ", n), false, 4), &recorder{})
		require.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var numbers []uint64
	err := target.CacheEvents(ctx, 1, func(e core.CacheEvent) {
		numbers = append(numbers, e.Sequence)
		if e.Sequence == 5 {
			cancel()
		}
	})
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, []uint64{3, 5}, numbers)
	listing, err := target.ListCache(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 6, listing.Sequence)
	require.Len(t, listing.Digests, 6)
	require.NoError(t, target.Release(t.Context(), listing.Digests))
	listing, err = target.ListCache(t.Context())
	require.NoError(t, err)
	require.Empty(t, listing.Digests)
}

func TestImportedPrefixIsCached(t *testing.T) {
	_, from := startEngine(t, standin.Options{Params: fastParams()}, openai.Options{})
	_, to := startEngine(t, standin.Options{Params: fastParams()}, openai.Options{})
	req := newRequest(t, 1, "a long message to move", false, 4)
	_, err := from.Run(t.Context(), req, &recorder{})
	require.NoError(t, err)
	kv, err := from.Export(t.Context(), req.Call.Blocks)
	require.NoError(t, err)
	require.Equal(t, req.Call.Blocks, kv.Blocks)
	tokens, err := to.Import(t.Context(), kv)
	require.NoError(t, err)
	require.EqualValues(t, req.Call.PromptTokens(), tokens)
	result, err := to.Run(t.Context(), req, &recorder{})
	require.NoError(t, err)
	require.Equal(t, req.Call.PromptTokens(), result.Usage.CachedTokens)
}
