package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestCompareAndSwapNeedsPromises drops all promise requests of a slot with two
// replicas: a replica that gets no promise from another member must not take the
// slot over in the store.
func TestCompareAndSwapNeedsPromises(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.waitForOwners()
	owner := c.ownerOf("p")
	key := core.SlotKey(core.ProgramID("p").Slot(c.set.Ownership.Slots))
	c.drop = func(_, _ core.VM, m core.Message) bool {
		_, isPromise := m.(core.PromiseRequest)
		return isPromise
	}
	before := c.kv[key].Revision
	owner.paused = true
	c.advance(3 * core.Second)
	require.Equal(t, before, c.kv[key].Revision)
	c.drop = nil
	c.waitForOwners()
	require.Greater(t, c.kv[key].Revision, before)
}

// TestPartitionedReplicaDoesNotTakeOver partitions one entry from the others,
// but not from the key-value service. The slots owned by the others must stay
// with them.
func TestPartitionedReplicaDoesNotTakeOver(t *testing.T) {
	for _, vm := range []core.VM{"e0", "e1", "e2"} {
		c := newCluster(t, 3)
		c.waitForOwners()
		owners := map[core.SlotID]*proc{}
		for s := range core.SlotID(c.set.Ownership.Slots) {
			owners[s] = c.owners(s)[0]
		}
		c.drop = func(from, to core.VM, _ core.Message) bool { return from != to && (from == vm || to == vm) }
		c.advance(2 * core.Second)
		for s, owner := range owners {
			if owner.node.VM != vm {
				require.Equal(t, []*proc{owner}, c.owners(s), "slot %d, %s partitioned", s, vm)
			}
		}
	}
}

// TestMemberWithoutSnapshotDoesNotTakeOver invalidates the snapshot of one
// replica and then removes the owner. The other replica must take over with the
// state.
func TestMemberWithoutSnapshotDoesNotTakeOver(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.waitForOwners()
	owner := c.ownerOf("p")
	c.reply(c.call(owner, turn("p", 1)))
	first := c.entryExcept(owner, nil)
	first.entry.slotOf("p").snapshot.valid = false
	c.removeVM(owner.node.VM)
	c.waitForOwners()
	next := c.ownerOf("p")
	require.NotEqual(t, first, next)
	require.EqualValues(t, 1, next.entry.slotOf("p").snapshot.completeSince)
	require.NotNil(t, next.entry.slotOf("p").snapshot.programs["p"])
}

// TestOwnerLossNeverReportsInFlightCallsAsNotRun loses the owner while the
// target executes a call. A call that may have been executed must never be
// reported as not run.
func TestOwnerLossNeverReportsInFlightCallsAsNotRun(t *testing.T) {
	t.Run("owner and all replicas are removed", func(t *testing.T) {
		c := newCluster(t, 3)
		c.waitForOwners()
		owner, replica := c.ownerOf("p"), c.replicaOf("p")
		ingress := c.entryExcept(owner, replica)
		c.procs["m1"].sidecar.hold = true
		req := c.call(ingress, turn("p", 1))
		c.advance(50 * core.Millisecond)
		require.Len(t, c.procs["m1"].sidecar.started, 1)
		owner.down, replica.down = true, true
		c.unlisted[owner.node.VM] = true
		c.removeVM(replica.node.VM)
		f := c.reply(req)
		require.Equal(t, core.OutcomeUnknown, f.Outcome)
		require.Equal(t, core.ReasonMemoryLost, f.Reason)
	})
	t.Run("owner is removed during a store outage, one replica left", func(t *testing.T) {
		c := newCluster(t, 3)
		c.waitForOwners()
		owner, replica := c.ownerOf("p"), c.replicaOf("p")
		ingress := c.entryExcept(owner, replica)
		c.procs["t1"].sidecar.hold = true
		req := c.call(ingress, nonIdempotent("p", 1, "k"))
		c.advance(50 * core.Millisecond)
		c.kvDown = true
		c.removeVM(owner.node.VM)
		c.advance(5 * core.Second)
		require.Empty(t, c.replies[req])
		fresh := c.call(ingress, turn("p2", 1))
		if core.ProgramID("p2").Slot(4) == core.ProgramID("p").Slot(4) {
			require.Equal(t, core.ReasonNoOwner, c.reply(fresh).Reason)
		}
		c.kvDown = false
		c.procs["t1"].sidecar.release()
		require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
		require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
	})
}

// TestStalledOwnerWithoutStateReportsUnknownOutcome removes the owner that has
// dispatched a call, and its replica. The call is forwarded again to a new owner
// that has no state and whose replica does not acknowledge: it must not report
// the call as not run.
func TestStalledOwnerWithoutStateReportsUnknownOutcome(t *testing.T) {
	c := newCluster(t, 4)
	c.waitForOwners()
	owner, replica := c.ownerOf("p"), c.replicaOf("p")
	order := rendezvousOrder(owner.entry.slotOf("p").id, owner.entry.candidates())
	ingress := c.procs[order[3].node.VM]
	require.Equal(t, owner.node, order[0].node)
	require.NotEqual(t, replica, ingress)
	c.procs["m1"].sidecar.hold = true
	req := c.call(ingress, turn("p", 1))
	c.advance(50 * core.Millisecond)
	require.Len(t, c.procs["m1"].sidecar.started, 1)
	forwards := 0
	c.drop = func(_, _ core.VM, m core.Message) bool {
		f, ok := m.(core.Forward)
		if ok && f.Reforwarded {
			forwards++
		}
		return ok
	}
	owner.down, replica.down = true, true
	c.unlisted[owner.node.VM] = true
	c.removeVM(replica.node.VM)
	c.waitFor("a forward to the new owner", func() bool { return forwards > 0 })
	c.waitForOwners()
	c.kvDown = true
	next := c.ownerOf("p")
	c.drop = func(from, to core.VM, m core.Message) bool {
		_, ack := m.(core.ReplicaAck)
		return ack && to == next.node.VM
	}
	f := c.reply(req)
	require.Equal(t, core.OutcomeUnknown, f.Outcome, "%s", f.Reason)
}

// TestMemberWithoutSnapshotDoesNotDeposeLiveOwner partitions a replica without a
// snapshot from its owner only. The owner must keep the slot.
func TestMemberWithoutSnapshotDoesNotDeposeLiveOwner(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.waitForOwners()
	owner := c.ownerOf("p")
	s := owner.entry.slotOf("p")
	noSnapshot := c.procs[s.assignment.Replicas[1].Node.VM]
	epoch := s.ownerState.epoch
	c.drop = func(from, to core.VM, m core.Message) bool {
		_, isPromise := m.(core.PromiseRequest)
		return from == owner.node.VM && to == noSnapshot.node.VM || isPromise && from != noSnapshot.node.VM
	}
	noSnapshot.entry.slotOf("p").snapshot.valid = false
	c.advance(2 * core.Second)
	require.NotNil(t, s.ownerState)
	require.Equal(t, epoch, s.ownerState.epoch)
}

// TestTakeoverByRankWhileStoreHangs makes the key-value service accept requests
// and never respond. The takeover from an owner that is confirmed dead must not
// wait for it.
func TestTakeoverByRankWhileStoreHangs(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.waitForOwners()
	owner := c.ownerOf("p")
	ingress := c.entryExcept(owner, nil)
	c.reply(c.call(ingress, turn("p", 1)))
	c.kvHung = true
	c.removeVM(owner.node.VM)
	c.advance(500 * core.Millisecond)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(ingress, turn("p", 2))).Outcome)
	require.NotZero(t, c.ownerOf("p").entry.slotOf("p").ownerState.epoch.Rank)
}
