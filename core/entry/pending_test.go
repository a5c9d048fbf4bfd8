package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestEndProgramWaitsUntilOwnerIsReady ends a program while its new owner cannot
// complete its first write. The end must complete as soon as the owner is ready,
// not only when the ingress entry sends it again.
func TestEndProgramWaitsUntilOwnerIsReady(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.waitForOwners()
	owner := c.ownerOf("p")
	require.Equal(t, core.OutcomeRan, c.reply(c.call(owner, turn("p", 1))).Outcome)
	c.drop = func(_, _ core.VM, m core.Message) bool {
		_, ack := m.(core.ReplicaAck)
		return ack
	}
	c.removeVM(owner.node.VM)
	var next *proc
	c.waitFor("a new owner", func() bool {
		for _, p := range c.procs {
			if p.entry != nil && p != owner && p.entry.slotOf("p").ownerState != nil {
				next = p
			}
		}
		return next != nil
	})
	require.False(t, next.entry.slotOf("p").ownerState.ready)
	req := c.end(next, "p")
	c.advance(100 * core.Millisecond)
	require.Empty(t, c.replies[req])
	c.drop = nil
	c.waitFor("the owner to be ready", func() bool { return next.entry.slotOf("p").ownerState.ready })
	c.advance(2 * tickPeriod)
	require.Len(t, c.replies[req], 1)
	require.Equal(t, core.OutcomeRan, c.replies[req][0].Outcome)
}

// TestUnreadableAccountBudgetIsRetryable makes an account's first call while its
// budget cannot be read from the store. The refusal must carry a retry hint.
func TestUnreadableAccountBudgetIsRetryable(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	c.kvDown = true
	call := turn("p", 1)
	call.Account = "rich"
	f := c.reply(c.call(c.procs["e0"], call))
	require.Equal(t, core.OutcomeNotRun, f.Outcome)
	require.Equal(t, core.ReasonBudgetUnavailable, f.Reason)
	require.NotZero(t, f.RetryAfter)
}
