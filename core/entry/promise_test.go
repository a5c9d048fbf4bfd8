package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestSwapNeedsPromises keeps a mirror that reaches no other member from taking
// a slot with two mirrors over by a swap.
func TestSwapNeedsPromises(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.settled()
	home := c.homeOf("p")
	key := core.SlotKey(core.ProgramID("p").Slot(c.set.Ownership.Slots))
	c.cut = func(_, _ core.VM, m core.Message) bool {
		_, ask := m.(core.PromiseRequest)
		return ask
	}
	before := c.kv[key].Revision
	home.paused = true
	c.advance(3 * core.Second)
	require.Equal(t, before, c.kv[key].Revision)
	c.cut = nil
	c.settled()
	require.Greater(t, c.kv[key].Revision, before)
}

// TestCutOffMirrorDoesNotTakeOver cuts one entry off from the others, but not
// from the key-value service. The slots of the others stay where they are.
func TestCutOffMirrorDoesNotTakeOver(t *testing.T) {
	for _, vm := range []core.VM{"e0", "e1", "e2"} {
		c := newCluster(t, 3)
		c.settled()
		homes := map[core.SlotID]*proc{}
		for s := range core.SlotID(c.set.Ownership.Slots) {
			homes[s] = c.homes(s)[0]
		}
		c.cut = func(from, to core.VM, _ core.Message) bool { return from != to && (from == vm || to == vm) }
		c.advance(2 * core.Second)
		for s, home := range homes {
			if home.node.VM != vm {
				require.Equal(t, []*proc{home}, c.homes(s), "slot %d, %s cut off", s, vm)
			}
		}
	}
}

// TestMemberWithoutImageLeavesTheSlotToOthers takes the image of one mirror away
// before the home ends. The other mirror must bring the memory on.
func TestMemberWithoutImageLeavesTheSlotToOthers(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.settled()
	home := c.homeOf("p")
	c.reply(c.call(home, turn("p", 1)))
	first := c.other(home, nil)
	first.entry.slotOf("p").image.valid = false
	c.remove(home.node.VM)
	c.settled()
	next := c.homeOf("p")
	require.NotEqual(t, first, next)
	require.EqualValues(t, 1, next.entry.slotOf("p").image.remembers)
	require.NotNil(t, next.entry.slotOf("p").image.programs["p"])
}

// TestCallsInFlightWhenTheHomeIsLost loses the home while the target executes a
// call. What may have run is never answered as not run.
func TestCallsInFlightWhenTheHomeIsLost(t *testing.T) {
	t.Run("with all mirrors", func(t *testing.T) {
		c := newCluster(t, 3)
		c.settled()
		home, mirror := c.homeOf("p"), c.mirrorOf("p")
		edge := c.other(home, mirror)
		c.procs["m1"].side.hold = true
		req := c.call(edge, turn("p", 1))
		c.advance(50 * core.Millisecond)
		require.Len(t, c.procs["m1"].side.order, 1)
		home.down, mirror.down = true, true
		c.unlisted[home.node.VM] = true
		c.remove(mirror.node.VM)
		f := c.reply(req)
		require.Equal(t, core.OutcomeUnknown, f.Outcome)
		require.Equal(t, core.ReasonMemoryLost, f.Reason)
	})
	t.Run("during an outage, with one mirror left", func(t *testing.T) {
		c := newCluster(t, 3)
		c.settled()
		home, mirror := c.homeOf("p"), c.mirrorOf("p")
		edge := c.other(home, mirror)
		c.procs["t1"].side.hold = true
		req := c.call(edge, booking("p", 1, "k"))
		c.advance(50 * core.Millisecond)
		c.kvDown = true
		c.remove(home.node.VM)
		c.advance(5 * core.Second)
		require.Empty(t, c.replies[req])
		fresh := c.call(edge, turn("p2", 1))
		if core.ProgramID("p2").Slot(4) == core.ProgramID("p").Slot(4) {
			require.Equal(t, core.ReasonNoOwner, c.reply(fresh).Reason)
		}
		c.kvDown = false
		c.procs["t1"].side.release()
		require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
		require.Equal(t, 1, c.procs["t1"].side.executed["k"])
	})
}

// TestForgottenCallAtAStalledHome forwards a call that the lost home has
// dispatched to one without memory whose mirror is silent.
func TestForgottenCallAtAStalledHome(t *testing.T) {
	c := newCluster(t, 4)
	c.settled()
	home, mirror := c.homeOf("p"), c.mirrorOf("p")
	order := ranked(home.entry.slotOf("p").id, home.entry.candidates())
	edge := c.procs[order[3].node.VM]
	require.Equal(t, home.node, order[0].node)
	require.NotEqual(t, mirror, edge)
	c.procs["m1"].side.hold = true
	req := c.call(edge, turn("p", 1))
	c.advance(50 * core.Millisecond)
	require.Len(t, c.procs["m1"].side.order, 1)
	forwards := 0
	c.cut = func(_, _ core.VM, m core.Message) bool {
		f, ok := m.(core.Forward)
		if ok && f.Reforwarded {
			forwards++
		}
		return ok
	}
	home.down, mirror.down = true, true
	c.unlisted[home.node.VM] = true
	c.remove(mirror.node.VM)
	c.until("a forward to the new home", func() bool { return forwards > 0 })
	c.settled()
	c.kvDown = true
	next := c.homeOf("p")
	c.cut = func(from, to core.VM, m core.Message) bool {
		_, ack := m.(core.ReplicaAck)
		return ack && to == next.node.VM
	}
	f := c.reply(req)
	require.Equal(t, core.OutcomeUnknown, f.Outcome, "%s", f.Reason)
}

// TestMemberWithoutImageLeavesALivingHome cuts a mirror that has no image off
// from its home only. The home must stay.
func TestMemberWithoutImageLeavesALivingHome(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.settled()
	home := c.homeOf("p")
	s := home.entry.slotOf("p")
	bare := c.procs[s.owner.Replicas[1].Node.VM]
	epoch := s.home.epoch
	c.cut = func(from, to core.VM, m core.Message) bool {
		_, ask := m.(core.PromiseRequest)
		return from == home.node.VM && to == bare.node.VM || ask && from != bare.node.VM
	}
	bare.entry.slotOf("p").image.valid = false
	c.advance(2 * core.Second)
	require.NotNil(t, s.home)
	require.Equal(t, epoch, s.home.epoch)
}

// TestTakeoverWhileTheStoreHangs lets the key-value service leave all questions
// open. Evidence must not wait for it.
func TestTakeoverWhileTheStoreHangs(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.settled()
	home := c.homeOf("p")
	edge := c.other(home, nil)
	c.reply(c.call(edge, turn("p", 1)))
	c.kvHangs = true
	c.remove(home.node.VM)
	c.advance(500 * core.Millisecond)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(edge, turn("p", 2))).Outcome)
	require.NotZero(t, c.homeOf("p").entry.slotOf("p").home.epoch.Rank)
}
