package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestDrainCompletesInFlightCall drains an entry that is both ingress and owner
// of a call in flight. The call must complete before the entry stops, and the
// program must continue at another entry if there is one.
func TestDrainCompletesInFlightCall(t *testing.T) {
	for _, n := range []int{1, 2, 3} {
		c := newCluster(t, n)
		c.waitForOwners()
		owner := c.ownerOf("p")
		c.reply(c.call(owner, turn("p", 1)))
		c.procs["t1"].sidecar.hold = true
		req := c.call(owner, nonIdempotent("p", 2, "k"))
		c.advance(50 * core.Millisecond)
		c.deliver(owner, core.DrainRequested{})
		c.advance(2 * core.Second)
		require.False(t, owner.stopped, "stopped with a request in flight")
		c.procs["t1"].sidecar.release()
		require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
		c.waitFor("the entry to stop", func() bool { return owner.stopped })
		require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
		if n == 1 {
			continue
		}
		next := c.ownerOf("p")
		require.NotEqual(t, owner, next)
		f := c.reply(c.call(next, withSeq(turn("p", 2), 3)))
		require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
	}
}

// TestJoinMovesSlotsWithState adds an entry that is first in rendezvous order
// for some slots. They must move to it with their state while calls continue,
// and then ownership must be stable.
func TestJoinMovesSlotsWithState(t *testing.T) {
	c := newCluster(t, 2)
	c.waitForOwners()
	programs := []core.ProgramID{"p", "q", "r", "s", "t", "u"}
	for _, id := range programs {
		require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn(id, 1))).Outcome)
	}
	c.start("e2", "d2", 1)
	c.publishVMList()
	for seq := uint64(2); seq <= 4; seq++ {
		c.advance(2 * core.Second)
		for _, id := range programs {
			f := c.reply(c.call(c.procs["e1"], turn(id, seq)))
			require.Equal(t, core.OutcomeRan, f.Outcome, "%s %d: %s", id, seq, f.Reason)
		}
	}
	for id := range c.set.Ownership.Slots {
		order := rendezvousOrder(core.SlotID(id), c.procs["e0"].entry.candidates())
		owners := c.owners(core.SlotID(id))
		require.Len(t, owners, 1)
		require.Equal(t, order[0].node, owners[0].node, "slot %d", id)
		require.Len(t, owners[0].entry.slots[id].assignment.Replicas, 1)
	}
	require.NotZero(t, c.procs["e2"].entry.Status().OwnedSlots)
	swaps := c.swaps
	c.advance(10 * core.Second)
	require.Equal(t, swaps, c.swaps, "owners change although nothing else did")
}

// TestLeavingEntryHandsOverSlots marks an entry's VM as leaving in the VM list.
// The entry must hand over its slots and continue to accept calls.
func TestLeavingEntryHandsOverSlots(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	owner := c.ownerOf("p")
	c.reply(c.call(owner, turn("p", 1)))
	c.leaving = owner.node.VM
	c.publishVMList()
	c.waitFor("the slots to be handed over", func() bool { return !owner.entry.isMemberOfAnySlot() })
	require.False(t, owner.stopped)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(owner, turn("p", 2))).Outcome)
}

// TestRollingRestartKeepsState drains and restarts one entry after the other.
// The program must continue after each restart, and no slot may lose its state.
func TestRollingRestartKeepsState(t *testing.T) {
	for _, replicas := range []int{1, 2} {
		c := newCluster(t, 3, replicas)
		c.waitForOwners()
		for i, vm := range []core.VM{"e0", "e1", "e2"} {
			ingress := c.entryExcept(c.procs[vm], nil)
			f := c.reply(c.call(ingress, turn("p", uint64(i)+1)))
			require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
			c.deliver(c.procs[vm], core.DrainRequested{})
			c.waitFor("the entry to stop", func() bool { return c.procs[vm].stopped })
			c.restart(vm)
			c.waitForOwners()
		}
		for id := range c.set.Ownership.Slots {
			require.EqualValues(t, 1, c.owners(core.SlotID(id))[0].entry.slots[id].snapshot.completeSince)
		}
	}
}
