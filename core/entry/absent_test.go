package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestEntriesStartedAfterAllMembersLeft replaces every entry VM by one that
// never saw the old ones listed. The slots are taken over without their memory
// once the list has not shown the old VMs for longer than it lags.
func TestEntriesStartedAfterAllMembersLeft(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settled()
	for _, vm := range []core.VM{"e0", "e1", "e2"} {
		c.kill(c.procs[vm])
		c.unlisted[vm] = true
	}
	for i, vm := range []core.VM{"e3", "e4", "e5"} {
		c.start(vm, core.Domain("d"+string(rune('0'+i))), 1)
	}
	c.list()
	c.advance(defaultListLag)
	require.Empty(t, c.homes(0), "the list may still lag")
	c.list()
	c.advance(core.Second)
	c.settled()
	for s := range c.set.Ownership.Slots {
		epoch := c.homes(core.SlotID(s))[0].entry.slots[s].home.epoch
		require.False(t, c.procs["m1"].side.fences[core.SlotID(s)].Less(epoch), "the fence of slot %d", s)
	}
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e3"], turn("new", 1))).Outcome)
}

// TestForgottenHomeWaitsForTheFences loses the first words to a sidecar of a new
// home without memory. Nothing is served before the sidecar has confirmed: a
// late dispatch of the lost home must not run once the program has gone on.
func TestForgottenHomeWaitsForTheFences(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settled()
	for _, vm := range []core.VM{"e0", "e1", "e2"} {
		c.kill(c.procs[vm])
		c.unlisted[vm] = true
	}
	for i, vm := range []core.VM{"e3", "e4"} {
		c.start(vm, core.Domain("d"+string(rune('0'+i))), 1)
	}
	lost := 0
	c.cut = func(_, to core.VM, m core.Message) bool {
		q, ask := m.(core.QueryAttempt)
		if ask && q.Attempt.N == 0 && to == "m1" {
			lost++
			return true
		}
		return false
	}
	c.list()
	c.advance(defaultListLag)
	c.list()
	c.until("a fence that was lost", func() bool { return lost > 0 })
	slot := core.ProgramID("p").Slot(c.set.Ownership.Slots)
	c.until("the slot's owner to wait", func() bool {
		hs := c.homes(slot)
		return len(hs) == 1 && hs[0].entry.slots[slot].home.fencing != nil
	})
	home := c.homes(slot)[0]
	c.call(home, turn("p", 1))
	c.advance(500 * core.Millisecond)
	require.False(t, home.entry.slots[slot].home.ready)
	require.Empty(t, c.procs["m1"].side.order)
	c.cut = nil
	c.until("the home to serve", func() bool { return home.entry.slots[slot].home.ready })
	require.False(t, c.procs["m1"].side.fences[slot].Less(home.entry.slots[slot].home.epoch))
}
