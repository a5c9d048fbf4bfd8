package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestEndWaitsForAHomeThatIsNotReady ends a program while its new home cannot
// complete its first write. The end is done as soon as that is complete, not
// when the edge repeats it.
func TestEndWaitsForAHomeThatIsNotReady(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.settled()
	home := c.homeOf("p")
	require.Equal(t, core.OutcomeRan, c.reply(c.call(home, turn("p", 1))).Outcome)
	c.cut = func(_, _ core.VM, m core.Message) bool {
		_, ack := m.(core.ReplicaAck)
		return ack
	}
	c.remove(home.node.VM)
	var next *proc
	c.until("a new home", func() bool {
		for _, p := range c.procs {
			if p.entry != nil && p != home && p.entry.slotOf("p").home != nil {
				next = p
			}
		}
		return next != nil
	})
	require.False(t, next.entry.slotOf("p").home.ready)
	req := c.end(next, "p")
	c.advance(100 * core.Millisecond)
	require.Empty(t, c.replies[req])
	c.cut = nil
	c.until("the home to be ready", func() bool { return next.entry.slotOf("p").home.ready })
	c.advance(2 * tickPeriod)
	require.Len(t, c.replies[req], 1)
	require.Equal(t, core.OutcomeRan, c.replies[req][0].Outcome)
}

// TestAccountBudgetDuringOutage makes an account's first call while its budget
// cannot be read. The refusal says that trying again helps.
func TestAccountBudgetDuringOutage(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	c.kvDown = true
	call := turn("p", 1)
	call.Account = "rich"
	f := c.reply(c.call(c.procs["e0"], call))
	require.Equal(t, core.OutcomeNotRun, f.Outcome)
	require.Equal(t, core.ReasonBudgetUnavailable, f.Reason)
	require.NotZero(t, f.RetryAfter)
}
