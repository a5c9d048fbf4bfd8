package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/answer"
)

const testKey = "secret"

// arrivalTime is the time at which the requests of these tests arrive.
var arrivalTime = time.Unix(1, 0)

func testSet() *config.Set {
	digest := sha256.Sum256([]byte(testKey))
	return &config.Set{
		Deployment: "test",
		Pools: []config.Pool{
			{Name: "small", Kind: config.PoolModel, Model: "m1"},
			{Name: "other", Kind: config.PoolModel, Model: "m2"},
			{Name: "booking", Kind: config.PoolTool},
		},
		Programs: []config.ProgramKind{{Name: "assistant", Pools: []string{"small", "booking"}}},
		Accounts: []config.Account{{Name: "acme", KeySHA256: hex.EncodeToString(digest[:]), Programs: []string{"assistant"}}},
		Tools: []config.Tool{
			{Name: "booking", Prefix: "/book", Pool: "booking", NonIdempotent: []string{"POST"}},
		},
	}
}

// fakeBackend answers each call with parts, then returns finish.
type fakeBackend struct {
	set    *config.Set
	call   core.Call
	ended  core.ProgramID
	parts  []string
	finish core.Finish
	// history is the stored conversation of every program; "" means none.
	history string
}

func (f *fakeBackend) History(context.Context, core.ProgramID, core.Account) ([]byte, core.Finish) {
	if f.history == "" {
		return nil, core.Finish{Outcome: core.OutcomeNotRun, Reason: core.ReasonHistoryLost}
	}
	return []byte(f.history), core.Finish{Outcome: core.OutcomeRan}
}

func (f *fakeBackend) Config() *config.Set { return f.set }

func (f *fakeBackend) Do(_ context.Context, call core.Call, sink Sink) core.Finish {
	f.call = call
	for _, p := range f.parts {
		if _, err := sink.Write([]byte(p)); err != nil {
			return core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonCanceled}
		}
	}
	return f.finish
}

func (f *fakeBackend) End(_ context.Context, p core.ProgramID, _ core.Account) core.Finish {
	f.ended = p
	return f.finish
}

func serve(t *testing.T, f *fakeBackend) *httptest.Server {
	if f.set == nil {
		f.set = testSet()
	}
	server := httptest.NewServer(New(Options{Backend: f, Limits: config.Limits{BodyBytes: 4096}}))
	t.Cleanup(server.Close)
	return server
}

func client(server *httptest.Server, opts ...option.RequestOption) openai.Client {
	opts = append([]option.RequestOption{
		option.WithBaseURL(server.URL + "/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0),
	}, opts...)
	return openai.NewClient(opts...)
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "m1",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

func head(contentType string) string {
	return string(answer.AppendHead(nil, answer.Head{Status: 200, ContentType: contentType}))
}

const plainAnswer = `{"id":"1","object":"chat.completion","model":"m1","choices":[{"index":0,"message":{"role":"assistant","content":"hi"},"finish_reason":"stop"}]}`

func TestOfficialClientReceivesPlainAnswer(t *testing.T) {
	f := &fakeBackend{
		parts:  []string{head("application/json")[:9], head("application/json")[9:] + plainAnswer[:20], plainAnswer[20:]},
		finish: core.Finish{Outcome: core.OutcomeRan},
	}
	c := client(serve(t, f), option.WithHeader(HeaderProgram, "p1"), option.WithHeader(HeaderSeq, "3"),
		option.WithHeader(HeaderBudget, "500"), option.WithHeader(HeaderKey, "k"))
	got, err := c.Chat.Completions.New(context.Background(), chatParams())
	require.NoError(t, err)
	require.Equal(t, "hi", got.Choices[0].Message.Content)
	require.Equal(t, core.ProgramID("acme:p1"), f.call.Program)
	require.EqualValues(t, 3, f.call.Seq)
	require.EqualValues(t, 500, f.call.Budget)
	require.Equal(t, "k", f.call.Key)
	require.Equal(t, core.Pool("small"), f.call.Pool)
	require.Equal(t, "assistant", f.call.ProgramKind)
	require.Len(t, f.call.Blocks, 1)
	require.EqualValues(t, defaultMaxTokens, f.call.MaxTokens)
	require.Contains(t, string(f.call.Body), `"max_tokens":1024`)
}

var streamEvents = []string{
	"data: {\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"he\"}}]}\n\n",
	"data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"llo\"}}]}\n\n",
	"data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
	"data: [DONE]\n\n",
}

func TestOfficialClientReceivesStreamedAnswer(t *testing.T) {
	f := &fakeBackend{
		parts:  append([]string{head("text/event-stream")}, streamEvents...),
		finish: core.Finish{Outcome: core.OutcomeRan},
	}
	c := client(serve(t, f))
	stream := c.Chat.Completions.NewStreaming(context.Background(), chatParams())
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	require.NoError(t, stream.Err())
	require.Equal(t, "hello", acc.Choices[0].Message.Content)
	require.Equal(t, "stop", acc.Choices[0].FinishReason)
	require.True(t, f.call.Stream)
}

func TestFinalStreamEventsAreHeldUntilComplete(t *testing.T) {
	w := httptest.NewRecorder()
	r := newResponse(w, true, arrivalTime)
	_, err := r.Write([]byte(head("text/event-stream") + strings.Join(streamEvents, "")))
	require.NoError(t, err)
	require.Equal(t, strings.Join(streamEvents[:2], ""), w.Body.String())
	require.False(t, r.Restart(), "Restart must fail once the caller has received a part of the answer")
	r.complete()
	require.Equal(t, strings.Join(streamEvents, ""), w.Body.String())
}

func TestRestartDiscardsUnsentAnswer(t *testing.T) {
	w := httptest.NewRecorder()
	r := newResponse(w, false, arrivalTime)
	_, err := r.Write([]byte(head("text/plain") + "from the first attempt"))
	require.NoError(t, err)
	require.True(t, r.Restart())
	_, err = r.Write([]byte(head("text/plain") + "second"))
	require.NoError(t, err)
	r.complete()
	require.Equal(t, "second", w.Body.String())
}

func TestInterruptedStreamEndsWithErrorEvent(t *testing.T) {
	f := &fakeBackend{
		parts:  []string{head("text/event-stream"), streamEvents[0]},
		finish: core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonTargetRestarted},
	}
	c := client(serve(t, f))
	stream := c.Chat.Completions.NewStreaming(context.Background(), chatParams())
	for stream.Next() {
		require.Equal(t, "he", stream.Current().Choices[0].Delta.Content)
	}
	require.ErrorContains(t, stream.Err(), "target_restarted")
}

func TestFailuresMapToAPIErrors(t *testing.T) {
	tests := []struct {
		finish      core.Finish
		status      int
		want        APIError
		retryAfter  string
		shouldRetry string
	}{
		{
			core.Finish{Outcome: core.OutcomeNotRun, Reason: core.ReasonOverload, RetryAfter: 1500 * core.Millisecond},
			429, APIError{Type: typeRateLimit, Code: "overloaded", Outcome: "not_run"}, "2", "true",
		},
		{
			core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonTargetRestarted, Sidecar: core.Node{VM: "vm9"}},
			503, APIError{Type: typeServer, Code: "target_restarted", Outcome: "unknown_outcome", Peer: "vm9"}, "", "false",
		},
		{
			core.Finish{Outcome: core.OutcomeNotRun, Reason: core.ReasonBudgetExhausted},
			402, APIError{Type: typeBudget, Code: "budget_exhausted", Outcome: "not_run"}, "", "false",
		},
		{
			core.Finish{Outcome: core.OutcomeRan, Reason: core.ReasonAnswerLost},
			502, APIError{Type: typeServer, Code: "answer_lost", Outcome: "ran"}, "", "false",
		},
	}
	for _, tt := range tests {
		server := serve(t, &fakeBackend{finish: tt.finish})
		resp := post(t, server, "/v1/chat/completions", testKey, `{"model":"m1","messages":[{"role":"user","content":"x"}]}`)
		require.Equal(t, tt.status, resp.StatusCode)
		require.Equal(t, tt.retryAfter, resp.Header.Get("Retry-After"))
		require.Equal(t, tt.shouldRetry, resp.Header.Get("X-Should-Retry"))
		got := decodeAPIError(t, resp)
		require.NotEmpty(t, got.Message)
		got.Message, got.Step = "", ""
		require.Equal(t, tt.want, got)
	}
}

func post(t *testing.T, server *httptest.Server, path, key, body string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := server.Client().Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func decodeAPIError(t *testing.T, resp *http.Response) APIError {
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	e := errorBody{Error: &APIError{}}
	require.NoError(t, json.Unmarshal(body, &e), "%s", body)
	return *e.Error
}

func TestInvalidRequestsAreRejectedBeforeExecution(t *testing.T) {
	chatBody := `{"model":"m1","messages":[{"role":"user","content":"x"}]}`
	tests := []struct {
		name, path, key, body string
		status                int
	}{
		{"missing key", "/v1/chat/completions", "", chatBody, 401},
		{"wrong key", "/v1/chat/completions", "other", chatBody, 401},
		{"malformed JSON", "/v1/chat/completions", testKey, "{", 400},
		{"unknown model", "/v1/chat/completions", testKey, `{"model":"zz","messages":[{"role":"user"}]}`, 404},
		{"model not allowed for the account", "/v1/chat/completions", testKey, `{"model":"m2","messages":[{"role":"user"}]}`, 403},
		{"invalid program ID", "/v1/chat/completions", testKey, `{"model":"m1","messages":[{"role":"user"}],"metadata":{"rhubarbsaddle_program":"../x"}}`, 400},
		{"invalid sequence number", "/v1/chat/completions", testKey, `{"model":"m1","messages":[{"role":"user"}],"metadata":{"rhubarbsaddle_seq":"-1"}}`, 400},
		{"unknown program kind", "/v1/chat/completions", testKey, `{"model":"m1","messages":[{"role":"user"}],"metadata":{"rhubarbsaddle_program_kind":"zz"}}`, 403},
		{"large", "/v1/chat/completions", testKey, strings.Repeat("x", 5000), 413},
		{"unknown path", "/bookings", testKey, chatBody, 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeBackend{finish: core.Finish{Outcome: core.OutcomeRan}}
			resp := post(t, serve(t, f), tt.path, tt.key, tt.body)
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, "not_run", decodeAPIError(t, resp).Outcome)
			require.Empty(t, f.call.Program, "an invalid request must not reach the backend")
		})
	}
}

func TestServiceCallIsForwarded(t *testing.T) {
	f := &fakeBackend{parts: []string{head("text/plain") + "booked"}, finish: core.Finish{Outcome: core.OutcomeRan}}
	server := serve(t, f)
	resp := post(t, server, "/book/pitch?day=1", testKey, "body")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "booked", string(body))
	require.Equal(t, "text/plain", resp.Header.Get("Content-Type"))
	require.True(t, f.call.NonIdempotent)
	require.Equal(t, core.CallService, f.call.Kind)
	require.Equal(t, "/book/pitch?day=1", f.call.Path)
	require.True(t, strings.HasPrefix(string(f.call.Program), "acme:call."))
}

func TestListModelsAndEndProgram(t *testing.T) {
	f := &fakeBackend{finish: core.Finish{Outcome: core.OutcomeRan}}
	server := serve(t, f)
	c := client(server)
	page, err := c.Models.List(context.Background())
	require.NoError(t, err)
	require.Len(t, page.Data, 1)
	require.Equal(t, "m1", page.Data[0].ID)
	require.NoError(t, c.Delete(context.Background(), "programs/p1/sub", nil, nil))
	require.Equal(t, core.ProgramID("acme:p1/sub"), f.ended)
}

func TestStandaloneProgramIDDerivesFromKey(t *testing.T) {
	account := &config.Account{Name: "acme"}
	first := (&programParams{key: "a/b"}).programID(account)
	require.Equal(t, first, (&programParams{key: "a/b"}).programID(account))
	require.Equal(t, first, first.Root(), "a key with a slash must not make a sub-agent")
	require.NotEqual(t, first, (&programParams{key: "a/c"}).programID(account))
	require.NotEqual(t, (&programParams{}).programID(account), (&programParams{}).programID(account))
}
