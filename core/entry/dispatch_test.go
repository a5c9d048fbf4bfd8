package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestRetryAfterTakeoverNeedsBudget loses a home and the sidecar that runs a
// call. The new home learns of the lost attempt before an edge forwards the
// call again; the budget does not cover another attempt.
func TestRetryAfterTakeoverNeedsBudget(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settled()
	home := c.homeOf("p")
	edge := c.other(home, c.mirrorOf("p"))
	c.procs["m1"].side.hold = true
	call := turn("p", 1)
	call.Budget = call.Cost() + call.Cost()/2
	req := c.call(edge, call)
	c.advance(50 * core.Millisecond)
	c.cut = func(_, _ core.VM, m core.Message) bool {
		_, forward := m.(core.Forward)
		return forward
	}
	c.restart("m1")
	c.restart(home.node.VM)
	c.settled()
	c.advance(core.Second)
	c.cut = nil
	f := c.reply(req)
	require.Equal(t, core.OutcomeUnknown, f.Outcome)
	require.Equal(t, core.ReasonBudgetExhausted, f.Reason)
}

// TestIsolatedHomeDoesNotJudgeTheOrder parts a home from all others. Its
// program goes on at another home; a call that the old home has to refuse must
// not be told to be out of sequence.
func TestIsolatedHomeDoesNotJudgeTheOrder(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settled()
	home := c.homeOf("p")
	edge := c.other(home, c.mirrorOf("p"))
	c.cut = func(from, to core.VM, _ core.Message) bool {
		return (from == home.node.VM) != (to == home.node.VM)
	}
	require.Equal(t, core.OutcomeRan, c.reply(c.call(edge, turn("p", 1))).Outcome)
	f := c.reply(c.call(home, turn("p", 2)))
	require.Equal(t, core.OutcomeNotRun, f.Outcome)
	require.Equal(t, core.ReasonNoOwner, f.Reason)
}
