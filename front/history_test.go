package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestAppendCompletesTheConversation(t *testing.T) {
	const body = `{"model":"m1","max_tokens":5,"messages":[{"role":"user","content":"new"}]}`
	const kept = `[{"role":"user","content":"old"},{"role":"assistant","content":"said"}]`
	tests := []struct {
		name, kept, program, key string
		status                   int
		code                     string
	}{
		{"kept", kept, "p", "k", http.StatusOK, ""},
		{"lost", "", "p", "k", http.StatusConflict, "history_lost"},
		{"no program", kept, "", "k", http.StatusBadRequest, "invalid_request"},
		{"no key", kept, "p", "", http.StatusBadRequest, "invalid_request"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &fakeExchange{set: testSet(), kept: tt.kept, finish: core.Finish{Outcome: core.OutcomeRan},
				parts: []string{head("application/json"), plainAnswer}}
			r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
			r.Header.Set("Authorization", "Bearer "+testKey)
			r.Header.Set(HeaderHistory, "append")
			r.Header.Set(HeaderProgram, tt.program)
			r.Header.Set(HeaderKey, tt.key)
			w := httptest.NewRecorder()
			New(Options{Backend: x}).ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code, w.Body)
			require.Contains(t, w.Body.String(), tt.code)
			if tt.status != http.StatusOK {
				require.Contains(t, w.Body.String(), "not_run")
				require.Empty(t, x.call.Program)
				return
			}
			require.Len(t, x.call.Blocks, 3)
			require.NotZero(t, x.call.Fingerprint)
			require.Contains(t, string(x.call.Body), `"said"`)
		})
	}
}
