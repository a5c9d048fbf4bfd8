package demo

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDemoRunHasNoViolations(t *testing.T) {
	var out bytes.Buffer
	results, err := Run(context.Background(), Options{
		ExamplesDir: "../examples",
		Seed:        1,
		Programs:    8,
		ArrivalSpan: time.Second,
		FaultRounds: 1,
		Out:         &out,
	})
	require.NoError(t, err)
	require.NoError(t, Check(results), out.String())
	for _, r := range results {
		require.Len(t, r.InjectedFaults, 2, "an entry and a sidecar were killed")
		require.NotZero(t, r.CompleteAnswers)
		require.Len(t, r.Observations, 8)
	}
}

func TestToolCallViolationComparesOutcomeWithExecutions(t *testing.T) {
	tests := []struct {
		name       string
		call       toolCall
		executions int
		violates   bool
	}{
		{"answered once", toolCall{nonIdempotent: true, outcome: "ran"}, 1, false},
		{"executed twice", toolCall{nonIdempotent: true, outcome: "ran"}, 2, true},
		{"idempotent twice", toolCall{outcome: "ran"}, 2, false},
		{"answered without execution", toolCall{outcome: "ran"}, 0, true},
		{"not run but executed", toolCall{nonIdempotent: true, outcome: "not_run"}, 1, true},
		{"unknown", toolCall{nonIdempotent: true, outcome: "unknown_outcome"}, 1, false},
	}
	for _, tt := range tests {
		require.Equal(t, tt.violates, toolCallViolation(tt.call, tt.executions) != "", tt.name)
	}
}

func TestCheckRejectsUnfinishedProgramsAndViolations(t *testing.T) {
	require.NoError(t, Check([]*Result{{Programs: 2, Finished: 2}}))
	require.Error(t, Check([]*Result{{Programs: 2, Finished: 1}}))
	require.Error(t, Check([]*Result{{Programs: 2, Finished: 2, Violations: []string{"x"}}}))
}

func TestScriptsDependOnlyOnSeed(t *testing.T) {
	s := scenarios()[0]
	scriptsOf := func(seed uint64) []programScript {
		return s.drawScripts(rand.New(rand.NewPCG(seed, 0)), 20, time.Second)
	}
	require.Equal(t, scriptsOf(1), scriptsOf(1))
	require.NotEqual(t, scriptsOf(1), scriptsOf(2))
}

func TestIsAnswerLostRequiresCodeAndOutcome(t *testing.T) {
	tests := []struct {
		err  apiError
		lost bool
	}{
		{apiError{Code: "answer_lost", Outcome: "ran"}, true},
		{apiError{Code: "answer_lost", Outcome: "unknown_outcome"}, false},
		{apiError{Code: "overloaded", Outcome: "not_run"}, false},
	}
	for _, tt := range tests {
		require.Equal(t, tt.lost, tt.err.isAnswerLost(), tt.err)
	}
}
