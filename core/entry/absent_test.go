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
