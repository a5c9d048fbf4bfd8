package observe

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// summary is an observation without the fields that are equal in all tests.
type summary struct {
	measure Measure
	value   float64
	good    bool
}

// summarize checks the fields that are equal in all tests and returns the others.
func summarize(t *testing.T, list []Observation) []summary {
	var out []summary
	for _, o := range list {
		require.Equal(t, at, o.Time)
		require.Equal(t, "haggle", o.Kind)
		require.EqualValues(t, "circuit", o.Account)
		require.EqualValues(t, "s1", o.Target)
		require.EqualValues(t, "milano-a", o.Domain)
		out = append(out, summary{o.Measure, o.Value, o.Good})
	}
	return out
}

func TestFromDecision(t *testing.T) {
	tests := []struct {
		name     string
		decision core.Decision
		want     []summary
	}{
		{"first call", core.Decision{Step: "finish"}, nil},
		{"all cached", core.Decision{Step: "finish", History: 10, Usage: core.Usage{CachedTokens: 12}}, []summary{{WastedCache, 10, true}}},
		{"part recomputed", core.Decision{Step: "finish", History: 10, Usage: core.Usage{CachedTokens: 4}},
			[]summary{{WastedCache, 4, true}, {WastedCache, 6, false}}},
		{"end", core.Decision{Step: "end", Wait: 2 * core.Second}, []summary{{ProgramLatency, 2, true}}},
		{"other step", core.Decision{Step: "run", History: 10}, nil},
	}
	for _, tt := range tests {
		tt.decision.Kind = "haggle"
		tt.decision.Account = "circuit"
		tt.decision.Target.VM = "s1"
		require.Equal(t, tt.want, summarize(t, FromDecision(at, tt.decision, "milano-a")), tt.name)
	}
}

func TestFromRequest(t *testing.T) {
	ran := core.Finish{Outcome: core.OutcomeRan, Usage: core.Usage{OutputTokens: 5}}
	tests := []struct {
		name    string
		request Request
		want    []summary
	}{
		{"plain", Request{Finish: ran}, []summary{{Refused, 0, true}}},
		{"streamed", Request{Finish: ran, FirstToken: time.Second, LastToken: 3 * time.Second},
			[]summary{{Refused, 0, true}, {FirstToken, 1, true}, {BetweenTokens, 0.5, true}}},
		{"overloaded", Request{Finish: core.Finish{Outcome: core.OutcomeNotRun, Reason: core.ReasonOverload}}, []summary{{Refused, 0, false}}},
		{"answer lost", Request{Finish: core.Finish{Outcome: core.OutcomeRan, Reason: core.ReasonAnswerLost}}, []summary{{Refused, 0, false}}},
		{"caused by the caller", Request{Finish: core.Finish{Outcome: core.OutcomeNotRun, Reason: core.ReasonBudgetExhausted}}, nil},
	}
	for _, tt := range tests {
		tt.request.Call = core.Call{ProgramKind: "haggle", Account: "circuit"}
		tt.request.Finish.Sidecar.VM = "s1"
		require.Equal(t, tt.want, summarize(t, FromRequest(at, tt.request, "milano-a")), tt.name)
	}
	require.Empty(t, FromRequest(at, Request{Finish: ran}, ""), "a request that was not parsed yields no observation")
}
