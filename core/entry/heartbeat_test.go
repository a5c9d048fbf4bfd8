package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// countHeartbeats counts the heartbeats that an entry sends to each peer in a
// number of rounds, and returns the last period announced to each.
func countHeartbeats(e *Entry, now core.Instant, rounds int) (map[core.VM]int, map[core.VM]core.Duration) {
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

// entryList returns a VM list of n entries.
func entryList(n int) core.VMList {
	var vms []core.VMInfo
	for i := range n {
		vms = append(vms, core.VMInfo{VM: core.VM(fmt.Sprintf("e%03d", i)), Role: core.RoleEntry, Domain: "d"})
	}
	return core.VMList{VMs: vms}
}

func TestReducedRatePeersGetFewHeartbeats(t *testing.T) {
	for _, tt := range []struct{ entries, fullRate int }{{3, 2}, {17, 16}, {200, 16}} {
		e := newTestEntry("e000")
		now := core.Instant(core.Hour)
		e.Step(entryList(tt.entries), now)
		countHeartbeats(e, now, 1)
		now = now.Add(e.times.heartbeat)
		count, period := countHeartbeats(e, now, 10*reducedRateRounds)
		require.Len(t, count, tt.entries-1, "every peer gets heartbeats")
		fullRate := 0
		for vm, n := range count {
			if period[vm] == 0 {
				fullRate++
				require.Equal(t, 10*reducedRateRounds, n)
				continue
			}
			require.Equal(t, 10, n)
		}
		require.Equal(t, tt.fullRate, fullRate)
	}
}

func TestRingNeighboursAgree(t *testing.T) {
	const n = 60
	neighbours := map[core.VM]map[core.VM]bool{}
	for _, vm := range entryList(n).VMs {
		e := newTestEntry(vm.VM)
		e.Step(entryList(n), core.Instant(core.Hour))
		neighbours[vm.VM] = e.members.ringNeighbourhood()
	}
	for a := range neighbours {
		for b := range neighbours[a] {
			require.True(t, neighbours[b][a], "%s is a neighbour of %s but not the reverse", b, a)
		}
	}
}

func TestSlotMembersGetFullHeartbeatRate(t *testing.T) {
	e := newTestEntry("e000")
	e.Step(entryList(200), core.Instant(core.Hour))
	var reducedRate *peer
	for _, p := range e.members.sorted() {
		if !e.members.needsFullRate(p) {
			reducedRate = p
		}
	}
	e.createSlots(2)
	assignment := func(slot core.SlotID, version uint64, ownerVM, replicaVM core.VM) core.SlotAssignment {
		return core.SlotAssignment{
			Slot: slot, Epoch: core.Epoch{Version: version},
			Owner:    core.Member{Node: core.Node{VM: ownerVM, Inc: 1}},
			Replicas: []core.Member{{Node: core.Node{VM: replicaVM, Inc: 1}}},
		}
	}
	e.adopt(e.slots[0], assignment(0, 1, reducedRate.node.VM, "e000"))
	e.adopt(e.slots[1], assignment(1, 1, reducedRate.node.VM, "e000"))
	require.True(t, e.members.needsFullRate(reducedRate))
	e.adopt(e.slots[0], assignment(0, 2, reducedRate.node.VM, "e001"))
	require.True(t, e.members.needsFullRate(reducedRate), "one shared slot is left")
	e.adopt(e.slots[1], assignment(1, 2, "e001", "e000"))
	require.False(t, e.members.needsFullRate(reducedRate))
}

func TestSuspicionAllowsForAnnouncedPeriod(t *testing.T) {
	e := newTestEntry("e000")
	now := core.Instant(core.Hour)
	e.Step(entryList(2), now)
	peer := core.Node{VM: "e001", Inc: 1}
	period := reducedRateRounds * e.times.heartbeat
	e.Step(core.Recv{From: peer, Msg: core.Heartbeat{Period: period}}, now)
	e.Step(core.Tick{}, now.Add(period-e.times.heartbeat+e.times.suspect-1))
	require.False(t, e.isSuspected(peer))
	require.True(t, e.isAlive(e.members.peers["e001"]))
	e.Step(core.Tick{}, now.Add(period-e.times.heartbeat+e.times.suspect))
	require.True(t, e.isSuspected(peer))
	require.False(t, e.isAlive(e.members.peers["e001"]))
	e.Step(core.Recv{From: peer, Msg: core.Heartbeat{}}, now.Add(10*period))
	e.Step(core.Tick{}, now.Add(10*period+e.times.suspect))
	require.True(t, e.isSuspected(peer), "the heartbeats are expected at the full rate again")
}

// TestTakeoverWithFewRingNeighbours kills and restarts an owner among entries
// that exchange most of their heartbeats at the reduced rate.
func TestTakeoverWithFewRingNeighbours(t *testing.T) {
	c := newCluster(t, 9, 2)
	for _, p := range c.sorted() {
		if p.entry != nil {
			p.entry.members.neighbours = 1
		}
	}
	c.waitForOwners()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e1"], turn("p", 1))).Outcome)
	owner := c.ownerOf("p")
	replica := c.replicaOf("p")
	c.kill(owner)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(replica, turn("p", 2))).Outcome)
	c.restart(owner.node.VM)
	c.procs[owner.node.VM].entry.members.neighbours = 1
	c.advance(core.Second)
	c.waitForOwners()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs[owner.node.VM], turn("p", 3))).Outcome)
}
