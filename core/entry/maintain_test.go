package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestDrain shuts an entry down with a call in flight at it as edge and as
// home. Nothing is cut off and nothing is forgotten.
func TestDrain(t *testing.T) {
	for _, n := range []int{1, 2, 3} {
		c := newCluster(t, n)
		c.settled()
		home := c.homeOf("p")
		c.reply(c.call(home, turn("p", 1)))
		c.procs["t1"].side.hold = true
		req := c.call(home, booking("p", 2, "k"))
		c.advance(50 * core.Millisecond)
		c.deliver(home, core.DrainRequested{})
		c.advance(2 * core.Second)
		require.False(t, home.stopped, "stopped with a request in flight")
		c.procs["t1"].side.release()
		require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
		c.until("the entry stops", func() bool { return home.stopped })
		require.Equal(t, 1, c.procs["t1"].side.executed["k"])
		if n == 1 {
			continue
		}
		next := c.homeOf("p")
		require.NotEqual(t, home, next)
		f := c.reply(c.call(next, withSeq(turn("p", 2), 3)))
		require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
	}
}

// TestJoin lets an entry join that is first in rendezvous order of some slots.
// They move to it with their memory while calls go on.
func TestJoin(t *testing.T) {
	c := newCluster(t, 2)
	c.settled()
	programs := []core.ProgramID{"p", "q", "r", "s", "t", "u"}
	for _, id := range programs {
		require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn(id, 1))).Outcome)
	}
	c.start("e2", "d2", 1)
	c.list()
	for seq := uint64(2); seq <= 4; seq++ {
		c.advance(2 * core.Second)
		for _, id := range programs {
			f := c.reply(c.call(c.procs["e1"], turn(id, seq)))
			require.Equal(t, core.OutcomeRan, f.Outcome, "%s %d: %s", id, seq, f.Reason)
		}
	}
	for id := range c.set.Ownership.Slots {
		order := ranked(core.SlotID(id), c.procs["e0"].entry.candidates())
		hs := c.homes(core.SlotID(id))
		require.Len(t, hs, 1)
		require.Equal(t, order[0].node, hs[0].node, "slot %d", id)
		require.Len(t, hs[0].entry.slots[id].owner.Replicas, 1)
	}
	require.NotZero(t, c.procs["e2"].entry.Status().OwnedSlots)
	swaps := c.swaps
	c.advance(10 * core.Second)
	require.Equal(t, swaps, c.swaps, "owners keep changing without need")
}

// TestLeavingEntryHandsItsSlotsOver marks an entry's VM as leaving.
func TestLeavingEntryHandsItsSlotsOver(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	home := c.homeOf("p")
	c.reply(c.call(home, turn("p", 1)))
	c.leaving = home.node.VM
	c.list()
	c.until("the slots move", func() bool { return !home.entry.needed() })
	require.False(t, home.stopped)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(home, turn("p", 2))).Outcome)
}

// TestRollingRestart drains and restarts every entry in turn. The program goes
// on after each, and no slot forgets anything.
func TestRollingRestart(t *testing.T) {
	for _, mirrors := range []int{1, 2} {
		c := newCluster(t, 3, mirrors)
		c.settled()
		for i, vm := range []core.VM{"e0", "e1", "e2"} {
			edge := c.other(c.procs[vm], nil)
			f := c.reply(c.call(edge, turn("p", uint64(i)+1)))
			require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
			c.deliver(c.procs[vm], core.DrainRequested{})
			c.until("the entry stops", func() bool { return c.procs[vm].stopped })
			c.restart(vm)
			c.settled()
		}
		for id := range c.set.Ownership.Slots {
			require.EqualValues(t, 1, c.homes(core.SlotID(id))[0].entry.slots[id].image.remembers)
		}
	}
}
