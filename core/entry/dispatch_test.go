package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestRetryAfterTakeoverNeedsBudget restarts the owner and the sidecar that
// executes a call. The new owner receives the report that the attempt is lost
// before an ingress entry forwards the call again. The remaining budget does
// not cover another attempt.
func TestRetryAfterTakeoverNeedsBudget(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitForOwners()
	owner := c.ownerOf("p")
	ingress := c.entryExcept(owner, c.replicaOf("p"))
	c.procs["m1"].sidecar.hold = true
	call := turn("p", 1)
	call.Budget = call.Cost() + call.Cost()/2
	req := c.call(ingress, call)
	c.advance(50 * core.Millisecond)
	c.drop = func(_, _ core.VM, m core.Message) bool {
		_, forward := m.(core.Forward)
		return forward
	}
	c.restart("m1")
	c.restart(owner.node.VM)
	c.waitForOwners()
	c.advance(core.Second)
	c.drop = nil
	f := c.reply(req)
	require.Equal(t, core.OutcomeUnknown, f.Outcome)
	require.Equal(t, core.ReasonBudgetExhausted, f.Reason)
}

// TestPartitionedOwnerDoesNotReportOutOfSequence partitions an owner from all
// other entries. Its program continues at another owner; the old owner must
// refuse a call because the slot has no owner, not because the call is out of
// sequence.
func TestPartitionedOwnerDoesNotReportOutOfSequence(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitForOwners()
	owner := c.ownerOf("p")
	ingress := c.entryExcept(owner, c.replicaOf("p"))
	c.drop = func(from, to core.VM, _ core.Message) bool {
		return (from == owner.node.VM) != (to == owner.node.VM)
	}
	require.Equal(t, core.OutcomeRan, c.reply(c.call(ingress, turn("p", 1))).Outcome)
	f := c.reply(c.call(owner, turn("p", 2)))
	require.Equal(t, core.OutcomeNotRun, f.Outcome)
	require.Equal(t, core.ReasonNoOwner, f.Reason)
}
