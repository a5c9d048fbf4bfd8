package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// decisionsOf returns the decisions with a step name.
func (c *cluster) decisionsOf(step string) []core.Decision {
	var out []core.Decision
	for _, d := range c.decisions {
		if d.Step == step {
			out = append(out, d)
		}
	}
	return out
}

// TestFinishAndEndDecisions runs two turns of a program and one of a sub-agent,
// ends the program twice, and checks the events from which metrics are computed.
func TestFinishAndEndDecisions(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	at := c.procs["e0"]
	c.reply(c.call(at, turn("p", 1)))
	c.reply(c.call(at, turn("p/a", 1)))
	c.advance(2 * core.Second)
	c.reply(c.call(at, turn("p", 2)))
	finished := c.decisionsOf("finish")
	require.Len(t, finished, 3)
	require.EqualValues(t, 0, finished[0].History)
	require.EqualValues(t, 20, finished[2].History, "the prompt and the answer of the first turn")
	require.Equal(t, "kind", finished[2].Kind)
	require.EqualValues(t, "acc", finished[2].Account)
	c.advance(core.Second)
	c.reply(c.end(at, "p"))
	c.reply(c.end(at, "p"))
	ended := c.decisionsOf("end")
	require.Len(t, ended, 1, "one event for the program tree")
	require.Equal(t, core.ProgramID("p"), ended[0].Program)
	require.Equal(t, "kind", ended[0].Kind)
	require.InDelta(t, float64(2*core.Second), float64(ended[0].Wait), float64(500*core.Millisecond),
		"from the first call to the last answer, in virtual time")
}

// TestEndWithOpenCallReportsNoLatency ends a program while its call is in
// flight: there is no last answer to measure the latency to.
func TestEndWithOpenCallReportsNoLatency(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	c.procs["m1"].sidecar.hold = true
	c.call(c.procs["e0"], turn("p", 1))
	c.advance(50 * core.Millisecond)
	c.reply(c.end(c.procs["e0"], "p"))
	require.Empty(t, c.decisionsOf("end"))
}

// TestDispatchCarriesAssignedSequenceNumber makes a call without a sequence
// number. The owner assigns one, and the dispatch must carry it.
func TestDispatchCarriesAssignedSequenceNumber(t *testing.T) {
	c := newCluster(t, 1)
	c.waitForOwners()
	at := c.procs["e0"]
	c.reply(c.call(at, turn("p", 1)))
	second := turn("p", 2)
	second.Seq = 0
	c.reply(c.call(at, second))
	sidecar := c.procs["m1"].sidecar
	require.EqualValues(t, 2, sidecar.calls[sidecar.started[1]].Seq)
}
