package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestTakeoverWithPartialSlotScan kills and restarts an owner among entries that
// check only a few of the other entries' slots per tick.
func TestTakeoverWithPartialSlotScan(t *testing.T) {
	c := newCluster(t, 5, 2)
	c.set.Ownership.Slots = 40
	limitScan := func(vm core.VM) { c.procs[vm].entry.scan.limit = 3 }
	for _, vm := range []core.VM{"e0", "e1", "e2", "e3", "e4"} {
		c.start(vm, c.procs[vm].domain, 2)
		limitScan(vm)
	}
	c.publishVMList()
	c.waitForOwners()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e1"], turn("p", 1))).Outcome)
	owner := c.ownerOf("p")
	replica := c.replicaOf("p")
	c.kill(owner)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(replica, turn("p", 2))).Outcome)
	c.restart(owner.node.VM)
	limitScan(owner.node.VM)
	c.waitForOwners()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(replica, turn("p", 3))).Outcome)
}

func TestEveryTickChecksAllOwnSlots(t *testing.T) {
	e := newTestEntry("e0")
	e.createSlots(20)
	e.scan.limit = 4
	member := func(vm core.VM) core.Member { return core.Member{Node: core.Node{VM: vm, Inc: 1}} }
	for i, s := range e.slots {
		owner := core.VM("e1")
		if i%10 == 0 {
			owner = "e0"
		}
		e.adopt(s, core.SlotAssignment{Slot: s.id, Epoch: core.Epoch{Version: 1}, Owner: member(owner)})
	}
	seen := map[core.SlotID]int{}
	for range 5 {
		for _, s := range e.slotsDue() {
			seen[s.id]++
		}
	}
	require.Len(t, seen, 20)
	require.Equal(t, 5, seen[0])
	require.Equal(t, 5, seen[10])
	require.Equal(t, 1, seen[1])
}
