package front

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// FuzzRequests sends any method, path, headers and body. Every response is
// either a whole answer or a typed refusal, and a call that is passed on has a
// program, a pool and a bounded size.
func FuzzRequests(f *testing.F) {
	chatBody := `{"model":"m1","messages":[{"role":"user","content":"x"}]}`
	f.Add("POST", "/v1/chat/completions", "p", "1", "2", "reset", "k", chatBody)
	f.Add("POST", "/book/x?a=b", "", "", "", "", "", "body")
	f.Add("DELETE", "/v1/programs/a/b", "", "", "", "", "", "")
	f.Add("GET", "/v1/models", "../..", "-1", "99999999999999999999", "x", strings.Repeat("k", 300), "")
	f.Add("POST", "/v1/chat/completions", "", "", "", "", "", `{"model":"m1","messages":[{"content":[1]}],"metadata":{"rhubarbsaddle_program":"/"}}`)
	f.Fuzz(func(t *testing.T, method, path, program, seq, budget, history, key, body string) {
		req, err := http.NewRequest(method, "http://entry/", strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		if parsed, err := req.URL.Parse(path); err != nil || parsed.Host != "entry" {
			return
		} else {
			req.URL = parsed
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		for name, value := range map[string]string{
			HeaderProgram: program, HeaderSeq: seq, HeaderBudget: budget,
			HeaderHistory: history, HeaderKey: key,
		} {
			req.Header.Set(name, value)
		}
		exchange := &fakeExchange{
			set:    testSet(),
			parts:  []string{head("text/plain") + "answer"},
			finish: core.Finish{Outcome: core.OutcomeRan},
		}
		w := httptest.NewRecorder()
		New(Options{Backend: exchange, Limits: config.Limits{BodyBytes: 4096}}).ServeHTTP(w, req)
		if c := exchange.call; c.Program != "" {
			require.NotEmpty(t, c.Pool)
			require.True(t, strings.HasPrefix(string(c.Program), "acme:"))
			require.LessOrEqual(t, len(c.Body), 4096+len(`,"max_tokens":1024}`))
			require.LessOrEqual(t, len(c.Key), maxKeyBytes)
			return
		}
		if w.Code >= http.StatusBadRequest && w.Header().Get("Content-Type") == "application/json" {
			var e envelope
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &e))
			require.Equal(t, "not_run", e.Error.Outcome)
		}
	})
}
