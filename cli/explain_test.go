package cli

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

func TestExplainOutputsAndErrors(t *testing.T) {
	log, path := newEventLog(t)
	require.NoError(t, log.AppendDecision(observe.Decision{Step: "place", Program: "p1", Seq: 1, Target: "s1#1", WaitSeconds: 0.25}))
	require.NoError(t, log.AppendDecision(observe.Decision{Step: "finish", Program: "p1", Seq: 1, WaitSeconds: 1}))
	for _, id := range []core.ProgramID{"a:p3", "b:p4", "a:p4"} {
		require.NoError(t, log.AppendDecision(observe.Decision{Step: "place", Program: id, Seq: 1}))
	}
	tests := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--data", path, "p1"}, ExitOK, "p1#1"},
		{[]string{"--data", path, "--json", "p1"}, ExitOK, `"home_seconds": 0.25`},
		{[]string{"--data", path, "p2"}, ExitFailed, "do not mention this program"},
		{[]string{"--data", path, "p3"}, ExitFailed, "contain no finished call of this program"},
		{[]string{"--data", path, "p4"}, ExitFailed, "several accounts have this program, give one of [a:p4 b:p4]"},
		{[]string{"--data", path}, ExitUsage, "PROGRAM"},
		{[]string{"p1"}, ExitUsage, "name event logs"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		args := append([]string{"rhubarbsaddle", "explain"}, tt.args...)
		require.Equal(t, tt.code, Run(t.Context(), args, &out, &out), out.String())
		require.Contains(t, out.String(), tt.want)
	}
}
