package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestNewEntriesTakeOverAfterAllMembersAreRemoved replaces all entry VMs by new
// ones that never saw the old ones in the VM list. They must take the slots over
// without state, but only once the old VMs have been missing for longer than the
// list may lag.
func TestNewEntriesTakeOverAfterAllMembersAreRemoved(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitForOwners()
	for _, vm := range []core.VM{"e0", "e1", "e2"} {
		c.kill(c.procs[vm])
		c.unlisted[vm] = true
	}
	for i, vm := range []core.VM{"e3", "e4", "e5"} {
		c.start(vm, core.Domain("d"+string(rune('0'+i))), 1)
	}
	c.publishVMList()
	c.advance(defaultListLag)
	require.Empty(t, c.owners(0), "the VM list may still lag")
	c.publishVMList()
	c.advance(core.Second)
	c.waitForOwners()
	for s := range c.set.Ownership.Slots {
		epoch := c.owners(core.SlotID(s))[0].entry.slots[s].ownerState.epoch
		require.False(t, c.procs["m1"].sidecar.fences[core.SlotID(s)].Less(epoch), "the fence of slot %d is below the owner's epoch", s)
	}
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e3"], turn("new", 1))).Outcome)
}

// TestOwnerWithoutStateWaitsForFences drops the fence requests of a new owner
// without state. The owner must not serve before the sidecar has confirmed the
// fence: a late dispatch by the old owner must not be executed once the program
// has continued.
func TestOwnerWithoutStateWaitsForFences(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitForOwners()
	for _, vm := range []core.VM{"e0", "e1", "e2"} {
		c.kill(c.procs[vm])
		c.unlisted[vm] = true
	}
	for i, vm := range []core.VM{"e3", "e4"} {
		c.start(vm, core.Domain("d"+string(rune('0'+i))), 1)
	}
	lost := 0
	c.drop = func(_, to core.VM, m core.Message) bool {
		q, isQuery := m.(core.QueryAttempt)
		if isQuery && q.Attempt.N == 0 && to == "m1" {
			lost++
			return true
		}
		return false
	}
	c.publishVMList()
	c.advance(defaultListLag)
	c.publishVMList()
	c.waitFor("a fence request to be dropped", func() bool { return lost > 0 })
	slot := core.ProgramID("p").Slot(c.set.Ownership.Slots)
	c.waitFor("the slot's owner to wait for fences", func() bool {
		owners := c.owners(slot)
		return len(owners) == 1 && owners[0].entry.slots[slot].ownerState.fencing != nil
	})
	owner := c.owners(slot)[0]
	c.call(owner, turn("p", 1))
	c.advance(500 * core.Millisecond)
	require.False(t, owner.entry.slots[slot].ownerState.ready)
	require.Empty(t, c.procs["m1"].sidecar.started)
	c.drop = nil
	c.waitFor("the owner to be ready", func() bool { return owner.entry.slots[slot].ownerState.ready })
	require.False(t, c.procs["m1"].sidecar.fences[slot].Less(owner.entry.slots[slot].ownerState.epoch))
}
