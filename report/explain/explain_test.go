package explain

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// decision returns a decision that was made at the given seconds after start.
func decision(at float64, step string, program core.ProgramID, seq uint64, attempt, target string, wait float64) observe.Decision {
	return observe.Decision{
		Time: start.Add(time.Duration(at * float64(time.Second))), Step: step, Program: program, Seq: seq,
		Attempt: attempt, Target: target, WaitSeconds: wait,
	}
}

// decisions returns the decisions of a model call that was refused once and then
// executed, of a tool call of a sub-agent two seconds later, of a call that has not
// finished, and of another program.
func decisions() []observe.Decision {
	finish := decision(10, "finish", "p", 1, "a2", "s2#1", 10)
	finish.PromptTokens, finish.CachedTokens, finish.OutputTokens = 100, 80, 20
	return []observe.Decision{
		finish,
		decision(0.5, "place", "p", 1, "", "s1#1", 0.5),
		// This sidecar's clock is an hour ahead.
		decision(3601, "refuse", "p", 1, "a1", "s1#1", 0.1),
		decision(1.5, "place", "p", 1, "", "s2#1", 1.5),
		decision(3602, "queue", "p", 1, "a2", "s2#1", 2),
		decision(3603, "first_token", "p", 1, "a2", "s2#1", 1),
		decision(3609, "run", "p", 1, "a2", "s2#1", 5),
		decision(12.5, "place", "p/q", 1, "", "t1#1", 0.5),
		decision(13, "run", "p/q", 1, "a3", "t1#1", 0.25),
		decision(13, "finish", "p/q", 1, "a3", "t1#1", 1),
		decision(14, "place", "p", 2, "", "s2#1", 1),
		decision(14, "finish", "pq", 1, "", "", 1),
	}
}

func TestTimeIsSplitIntoParts(t *testing.T) {
	r := New("p", decisions())
	require.Len(t, r.Calls, 2, "a call that has not finished is left out")
	model, tool := r.Calls[0], r.Calls[1]
	want := Parts{Owner: 0.5, Queue: 2, Prefill: 1, Decode: 4, Retry: 1, Other: 1.5}
	require.Equal(t, want, model.Parts)
	require.InDelta(t, model.TotalSeconds, model.Parts.sumWithoutOther()+model.Parts.Other, 1e-9)
	require.Equal(t, Parts{Owner: 0.5, Tool: 0.25, Other: 0.25}, tool.Parts)
	require.Equal(t, core.ProgramID("p/q"), tool.Program)
	require.InDelta(t, 13.0, r.SpanSeconds, 1e-9)
	require.InDelta(t, 2.0, r.OutsideSeconds, 1e-9)
	require.InDelta(t, 1.0, r.Parts.Owner, 1e-9)
}

func TestExplanationOfPlacement(t *testing.T) {
	list := decisions()
	list[1].CostSeconds, list[3].CostSeconds = 0.02, 0.05
	list[2].Reason = core.ReasonOverload
	r := New("p", list)
	require.Equal(t, "s1 at the least cost, 20ms, refused: overloaded; then s2 at the least cost, 50ms;"+
		" 80 of 100 prompt tokens cached", r.Calls[0].Explanation())
	failed := New("p", []observe.Decision{{Step: "finish", Program: "p", Reason: core.ReasonNoTarget}})
	require.Equal(t, "no target was chosen; failed: no_target", failed.Calls[0].Explanation())
}

func TestOutputFormats(t *testing.T) {
	r := New("p", decisions())
	var table, data bytes.Buffer
	require.NoError(t, r.WriteTable(&table))
	require.Contains(t, table.String(), "p/q#1")
	require.NoError(t, r.WriteJSON(&data))
	var back Report
	require.NoError(t, json.Unmarshal(data.Bytes(), &back))
	require.Equal(t, r, &back)
	require.NoError(t, New("unknown", decisions()).WriteTable(&table))
}
