package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// taken returns the decisions of a step.
func (c *cluster) taken(step string) []core.Decision {
	var out []core.Decision
	for _, d := range c.decisions {
		if d.Step == step {
			out = append(out, d)
		}
	}
	return out
}

// TestDecisionsForObjectives runs two turns of a program and ends it.
func TestDecisionsForObjectives(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	at := c.procs["e0"]
	c.reply(c.call(at, turn("p", 1)))
	c.reply(c.call(at, turn("p/a", 1)))
	c.advance(2 * core.Second)
	c.reply(c.call(at, turn("p", 2)))
	finished := c.taken("finish")
	require.Len(t, finished, 3)
	require.EqualValues(t, 0, finished[0].History)
	require.EqualValues(t, 20, finished[2].History, "the prompt and the answer of the first turn")
	require.Equal(t, "kind", finished[2].Kind)
	require.EqualValues(t, "acc", finished[2].Account)
	c.advance(core.Second)
	c.reply(c.end(at, "p"))
	c.reply(c.end(at, "p"))
	ended := c.taken("end")
	require.Len(t, ended, 1, "once for the tree")
	require.Equal(t, core.ProgramID("p"), ended[0].Program)
	require.Equal(t, "kind", ended[0].Kind)
	require.InDelta(t, float64(2*core.Second), float64(ended[0].Wait), float64(500*core.Millisecond),
		"from the first call to the last answer, in virtual time")
}

// TestEndWithAnOpenCallHasNoLatency ends a program whose call has no answer.
func TestEndWithAnOpenCallHasNoLatency(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	c.procs["m1"].side.hold = true
	c.call(c.procs["e0"], turn("p", 1))
	c.advance(50 * core.Millisecond)
	c.reply(c.end(c.procs["e0"], "p"))
	require.Empty(t, c.taken("end"))
}

// TestDispatchNamesThePosition sends a call whose position the home chooses.
func TestDispatchNamesThePosition(t *testing.T) {
	c := newCluster(t, 1)
	c.settled()
	at := c.procs["e0"]
	c.reply(c.call(at, turn("p", 1)))
	second := turn("p", 2)
	second.Seq = 0
	c.reply(c.call(at, second))
	side := c.procs["m1"].side
	require.EqualValues(t, 2, side.calls[side.order[1]].Seq)
}
