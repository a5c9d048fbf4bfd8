package chat

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestParseRefuses(t *testing.T) {
	tests := []struct{ body, field string }{
		{`{`, "body"},
		{`{"messages":[{"role":"user"}]}`, "model"},
		{`{"model":"m","messages":[]}`, "messages"},
		{`{"model":"m","messages":[{"role":"user"}],"n":2}`, "n"},
		{`{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}`, "body"},
	}
	for _, tt := range tests {
		_, err := Parse([]byte(tt.body))
		var refused *RequestError
		require.ErrorAs(t, err, &refused, tt.body)
		require.Equal(t, tt.field, refused.Field, tt.body)
	}
}

func TestWithOutputLimitOutweighsNull(t *testing.T) {
	for _, body := range []string{`{"model":"m"}`, ` {"max_tokens": null, "model":"m"} `, `{}`} {
		limited, err := WithOutputLimit([]byte(body), 7)
		require.NoError(t, err)
		var r Request
		require.NoError(t, json.Unmarshal(limited, &r))
		require.EqualValues(t, 7, r.OutputLimit(1), "%s", limited)
	}
	_, err := WithOutputLimit([]byte(`[]`), 7)
	require.Error(t, err)
}

func digests(t *testing.T, messages string) []core.Block {
	r, err := Parse([]byte(`{"model":"m","messages":` + messages + `}`))
	require.NoError(t, err)
	return Blocks(r.Messages)
}

func TestDigestTellsConversationsApart(t *testing.T) {
	base := digests(t, `[{"role":"user","content":"ab"},{"role":"assistant","content":"c"}]`)
	same := digests(t, `[{"role":"user","content":[{"type":"text","text":"ab"}]},{"content":"c","role":"assistant"}]`)
	require.Equal(t, base, same)
	for _, other := range []string{
		`[{"role":"user","content":"a"},{"role":"assistant","content":"bc"}]`,
		`[{"role":"system","content":"ab"},{"role":"assistant","content":"c"}]`,
		`[{"role":"user","content":"ab"},{"role":"assistant","content":"c","tool_calls":[{"id":"1","function":{"name":"f"}}]}]`,
		`[{"role":"user","content":"ab"},{"role":"assistant","content":"c","tool_call_id":"x"}]`,
	} {
		require.NotEqual(t, base[1].Digest, digests(t, other)[1].Digest, other)
	}
}

func TestStreamedAndPlainAnswerHaveOneDigest(t *testing.T) {
	plain, err := ParseAnswer([]byte(`{"choices":[{"message":{"role":"assistant","content":"hello",
		"tool_calls":[{"id":"c1","function":{"name":"book","arguments":"{\"a\":1}"}}]},"finish_reason":"stop"}],
		"usage":{"prompt_tokens":3,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":1}}}`))
	require.NoError(t, err)
	var acc Accumulator
	for _, data := range []string{
		`{"choices":[{"delta":{"role":"assistant","content":"hel"}}]}`,
		`{"choices":[{"delta":{"content":"lo","tool_calls":[{"index":0,"id":"c1","function":{"name":"book","arguments":"{\"a\""}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"stop"}]}`,
		`{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":1}}}`,
		`[DONE]`,
	} {
		_, err := acc.Add([]byte(data))
		require.NoError(t, err)
	}
	streamed := acc.Answer()
	require.Equal(t, ExtendDigest(9, &plain.Message), ExtendDigest(9, &streamed.Message))
	require.Equal(t, core.Usage{PromptTokens: 3, CachedTokens: 1, OutputTokens: 2}, streamed.Usage)
	require.Equal(t, plain.Usage, streamed.Usage)
	require.True(t, streamed.Finished && plain.Finished)
}

func TestEndsAnswer(t *testing.T) {
	tests := []struct {
		event string
		ends  bool
	}{
		{"data: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n", false},
		{"data: {\"choices\":[{\"delta\":{\"content\":\"\\\"finish_reason\\\":\\\"stop\\\"\"}}]}\n\n", false},
		{"data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", true},
		{"data: {\"choices\":[{\"delta\":{},\"finish_reason\": \"stop\"}]}\r\n\r\n", true},
		{"data: [DONE]\n\n", true},
	}
	for _, tt := range tests {
		event, rest, ok := CutEvent([]byte(tt.event + "data: x"))
		require.True(t, ok)
		require.Equal(t, tt.event, string(event))
		require.Equal(t, "data: x", string(rest))
		require.Equal(t, tt.ends, IsFinalEvent(event), tt.event)
	}
}

func TestHasText(t *testing.T) {
	tests := []struct {
		event string
		want  bool
	}{
		{`data: {"choices":[{"delta":{"role":"assistant","content":""}}]}`, false},
		{`data: {"choices":[{"delta":{"content":"x"}}]}`, true},
		{`data: {"choices":[{"delta":{"content": "x"}}]}`, true},
		{`data: {"choices":[{"delta":{"tool_calls":[{"function":{"arguments":"\"content\":\"x\""}}]}}]}`, false},
		{`: heartbeat`, false},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, HasText([]byte(tt.event)), tt.event)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":5}],"max_tokens":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := Parse(body)
		if err != nil {
			return
		}
		require.Len(t, Blocks(r.Messages), len(r.Messages))
		if !r.HasOutputLimit() {
			limited, err := WithOutputLimit(body, 5)
			require.NoError(t, err)
			again, err := Parse(limited)
			require.NoError(t, err)
			require.EqualValues(t, 5, again.OutputLimit(1))
		}
	})
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var acc Accumulator
		rest := body
		for {
			event, after, ok := CutEvent(rest)
			if !ok {
				break
			}
			require.Less(t, len(after), len(rest))
			rest = after
			_, _ = acc.Add(EventData(event))
		}
		acc.Answer()
		_, _ = ParseAnswer(body)
	})
}
