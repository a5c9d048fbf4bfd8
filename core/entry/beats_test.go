package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// beats counts the heartbeats that an entry sends to each peer in a number of
// rounds, and returns the last period told to each.
func beats(e *Entry, now core.Instant, rounds int) (map[core.VM]int, map[core.VM]core.Duration) {
	count, period := map[core.VM]int{}, map[core.VM]core.Duration{}
	for range rounds {
		now = now.Add(e.times.heartbeat)
		for _, ef := range e.Step(core.Tick{}, now) {
			if s, ok := ef.(core.Send); ok {
				if h, ok := s.Msg.(core.Heartbeat); ok {
					count[s.To.VM]++
					period[s.To.VM] = h.Period
				}
			}
		}
	}
	return count, period
}

// entryList returns a VM list of entries.
func entryList(n int) core.VMList {
	var vms []core.VMInfo
	for i := range n {
		vms = append(vms, core.VMInfo{VM: core.VM(fmt.Sprintf("e%03d", i)), Role: core.RoleEntry, Domain: "d"})
	}
	return core.VMList{VMs: vms}
}

func TestFarPeersGetFewHeartbeats(t *testing.T) {
	for _, tt := range []struct{ entries, near int }{{3, 2}, {17, 16}, {200, 16}} {
		e := newAlone("e000")
		now := core.Instant(core.Hour)
		e.Step(entryList(tt.entries), now)
		beats(e, now, 1)
		now = now.Add(e.times.heartbeat)
		count, period := beats(e, now, 10*farRounds)
		require.Len(t, count, tt.entries-1, "every peer is heard of")
		near := 0
		for vm, n := range count {
			if period[vm] == 0 {
				near++
				require.Equal(t, 10*farRounds, n)
				continue
			}
			require.Equal(t, 10, n)
		}
		require.Equal(t, tt.near, near)
	}
}

func TestNeighboursAgree(t *testing.T) {
	const n = 60
	near := map[core.VM]map[core.VM]bool{}
	for _, vm := range entryList(n).VMs {
		e := newAlone(vm.VM)
		e.Step(entryList(n), core.Instant(core.Hour))
		near[vm.VM] = e.members.neighbourhood()
	}
	for a := range near {
		for b := range near[a] {
			require.True(t, near[b][a], "%s is a neighbour of %s and not the reverse", b, a)
		}
	}
}

func TestFellowMembersAreClose(t *testing.T) {
	e := newAlone("e000")
	e.Step(entryList(200), core.Instant(core.Hour))
	var far *peer
	for _, p := range e.members.sorted() {
		if !e.members.close(p) {
			far = p
		}
	}
	e.createSlots(2)
	owner := func(slot core.SlotID, version uint64, home, mirror core.VM) core.SlotAssignment {
		return core.SlotAssignment{
			Slot: slot, Epoch: core.Epoch{Version: version},
			Owner:    core.Member{Node: core.Node{VM: home, Inc: 1}},
			Replicas: []core.Member{{Node: core.Node{VM: mirror, Inc: 1}}},
		}
	}
	e.adopt(e.slots[0], owner(0, 1, far.node.VM, "e000"))
	e.adopt(e.slots[1], owner(1, 1, far.node.VM, "e000"))
	require.True(t, e.members.close(far))
	e.adopt(e.slots[0], owner(0, 2, far.node.VM, "e001"))
	require.True(t, e.members.close(far), "one slot is left")
	e.adopt(e.slots[1], owner(1, 2, "e001", "e000"))
	require.False(t, e.members.close(far))
}

func TestSilenceIsJudgedAgainstThePeriodOwed(t *testing.T) {
	e := newAlone("e000")
	now := core.Instant(core.Hour)
	e.Step(entryList(2), now)
	peer := core.Node{VM: "e001", Inc: 1}
	period := farRounds * e.times.heartbeat
	e.Step(core.Recv{From: peer, Msg: core.Heartbeat{Period: period}}, now)
	e.Step(core.Tick{}, now.Add(period-e.times.heartbeat+e.times.suspect-1))
	require.False(t, e.silent(peer))
	require.True(t, e.alive(e.members.peers["e001"]))
	e.Step(core.Tick{}, now.Add(period-e.times.heartbeat+e.times.suspect))
	require.True(t, e.silent(peer))
	require.False(t, e.alive(e.members.peers["e001"]))
	e.Step(core.Recv{From: peer, Msg: core.Heartbeat{}}, now.Add(10*period))
	e.Step(core.Tick{}, now.Add(10*period+e.times.suspect))
	require.True(t, e.silent(peer), "the full rate is owed again")
}

// TestOwnershipWithFewNeighbours runs entries that are mostly far from each
// other through a restart and the loss of a home.
func TestOwnershipWithFewNeighbours(t *testing.T) {
	c := newCluster(t, 9, 2)
	for _, p := range c.sorted() {
		if p.entry != nil {
			p.entry.members.neighbours = 1
		}
	}
	c.settled()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e1"], turn("p", 1))).Outcome)
	home := c.homeOf("p")
	at := c.mirrorOf("p")
	c.kill(home)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 2))).Outcome)
	c.restart(home.node.VM)
	c.procs[home.node.VM].entry.members.neighbours = 1
	c.advance(core.Second)
	c.settled()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs[home.node.VM], turn("p", 3))).Outcome)
}
