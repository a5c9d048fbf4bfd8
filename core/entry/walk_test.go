package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestOwnershipWithAWalk runs entries that look at few of the other entries'
// slots in a tick through the loss and the restart of a home.
func TestOwnershipWithAWalk(t *testing.T) {
	c := newCluster(t, 5, 2)
	c.set.Ownership.Slots = 40
	short := func(vm core.VM) { c.procs[vm].entry.walk.limit = 3 }
	for _, vm := range []core.VM{"e0", "e1", "e2", "e3", "e4"} {
		c.start(vm, c.procs[vm].domain, 2)
		short(vm)
	}
	c.list()
	c.settled()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e1"], turn("p", 1))).Outcome)
	home := c.homeOf("p")
	at := c.mirrorOf("p")
	c.kill(home)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 2))).Outcome)
	c.restart(home.node.VM)
	short(home.node.VM)
	c.settled()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 3))).Outcome)
}

func TestEveryTickLooksAtAllOwnSlots(t *testing.T) {
	e := newAlone("e0")
	e.createSlots(20)
	e.walk.limit = 4
	member := func(vm core.VM) core.Member { return core.Member{Node: core.Node{VM: vm, Inc: 1}} }
	for i, s := range e.slots {
		home := core.VM("e1")
		if i%10 == 0 {
			home = "e0"
		}
		e.adopt(s, core.SlotAssignment{Slot: s.id, Epoch: core.Epoch{Version: 1}, Owner: member(home)})
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
