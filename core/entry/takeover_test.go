package entry

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// kill stops a VM's process. The VM stays in the VM list, so that nothing
// confirms its death.
func (c *cluster) kill(p *proc) { p.down = true }

// TestTakeoverContinuesProgram loses the owner in each of the ways below.
// Another entry must continue the program with its history, and a call that must
// not be repeated and was in flight must be executed once.
func TestTakeoverContinuesProgram(t *testing.T) {
	tests := []struct {
		name string
		fail func(c *cluster, owner *proc)
	}{
		{"killed owner, takeover through the store", func(c *cluster, owner *proc) { c.kill(owner) }},
		{"compare-and-swap whose response is lost", func(c *cluster, owner *proc) {
			c.loseSwapResults = 3
			c.kill(owner)
		}},
		{"VM removed from the list", func(c *cluster, owner *proc) { c.removeVM(owner.node.VM) }},
		{"restart in place", func(c *cluster, owner *proc) { c.restart(owner.node.VM) }},
		{"VM removed while the store is down", func(c *cluster, owner *proc) {
			c.kvDown = true
			c.removeVM(owner.node.VM)
		}},
		{"restart in place while the store is down", func(c *cluster, owner *proc) {
			c.kvDown = true
			c.restart(owner.node.VM)
		}},
		{"paused owner", func(c *cluster, owner *proc) { owner.paused = true }},
		{"owner without connections", func(c *cluster, owner *proc) {
			c.drop = func(from, to core.VM, _ core.Message) bool {
				return from != to && (from == owner.node.VM || to == owner.node.VM)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3, 2)
			c.waitForOwners()
			owner := c.ownerOf("p")
			ingress := c.entryExcept(owner, nil)
			require.Equal(t, core.OutcomeRan, c.reply(c.call(ingress, turn("p", 1))).Outcome)
			c.procs["t1"].sidecar.hold = true
			open := c.call(ingress, nonIdempotent("p", 2, "k"))
			c.advance(50 * core.Millisecond)
			require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])

			tt.fail(c, owner)
			c.waitFor("another owner", func() bool {
				for _, p := range c.owners(core.ProgramID("p").Slot(c.set.Ownership.Slots)) {
					if p.node != owner.node {
						return true
					}
				}
				return false
			})
			c.procs["t1"].sidecar.release()
			f0 := c.reply(open)
			require.Equal(t, core.OutcomeRan, f0.Outcome, "%s", f0.Reason)
			repeated := c.reply(c.call(ingress, nonIdempotent("p", 2, "k")))
			require.Equal(t, core.OutcomeRan, repeated.Outcome)
			require.Equal(t, []byte("done"), repeated.Answer)
			require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
			mismatched := withSeq(turn("p", 2), 3)
			mismatched.Blocks[1].Digest++
			f := c.reply(c.call(ingress, mismatched))
			require.Equal(t, core.OutcomeNotRun, f.Outcome, "a conversation that does not extend the recorded one")
			require.Equal(t, core.ReasonHistoryMismatch, f.Reason)
			f = c.reply(c.call(ingress, withSeq(turn("p", 2), 3)))
			require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
		})
	}
}

func withSeq(call core.Call, seq uint64) core.Call {
	call.Seq = seq
	return call
}

// TestResumedOwnerExecutesNothingAfterTakeover resumes a paused owner after a
// takeover, with a call in its backlog. It must not execute the call again.
func TestResumedOwnerExecutesNothingAfterTakeover(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	owner := c.ownerOf("p")
	ingress := c.entryExcept(owner, nil)
	c.reply(c.call(ingress, turn("p", 1)))
	owner.paused = true
	req := c.call(ingress, nonIdempotent("p", 2, "k"))
	own := c.call(owner, nonIdempotent("p", 2, "k"))
	f := c.reply(req)
	require.Equal(t, core.OutcomeRan, f.Outcome)
	require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])

	c.resume(owner.node.VM)
	require.Equal(t, core.OutcomeRan, c.reply(own).Outcome)
	require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
	c.waitForOwners()
	require.Len(t, c.owners(core.ProgramID("p").Slot(c.set.Ownership.Slots)), 1)
}

// TestReplacedReplicaDoesNotTakeOverByRank resumes a paused replica that its
// owner has replaced, after that owner has died during an outage of the
// key-value service. Its snapshot is stale, so it must not take over by rank.
func TestReplacedReplicaDoesNotTakeOverByRank(t *testing.T) {
	for _, replicas := range []int{1, 2} {
		c := newCluster(t, 2+replicas, replicas)
		c.waitForOwners()
		owner, replaced := c.ownerOf("p"), c.replicaOf("p")
		replaced.paused = true
		c.waitFor("the replica to be replaced", func() bool {
			return !slices.ContainsFunc(c.ownerOf("p").entry.slotOf("p").assignment.Replicas, func(m core.Member) bool {
				return m.Node == replaced.node
			})
		})
		c.advance(500 * core.Millisecond)
		require.Equal(t, owner, c.ownerOf("p"))
		require.Equal(t, core.OutcomeRan, c.reply(c.call(owner, nonIdempotent("p", 1, "k"))).Outcome)

		replaced.backlog = nil
		c.kvDown = true
		c.drop = func(from, to core.VM, _ core.Message) bool {
			entries := c.procs[from].entry != nil && c.procs[to].entry != nil
			return entries && (from == replaced.node.VM) != (to == replaced.node.VM)
		}
		c.removeVM(owner.node.VM)
		c.resume(replaced.node.VM)
		req := c.call(replaced, nonIdempotent("p", 1, "k"))
		c.advance(3 * core.Second)
		require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
		require.Equal(t, core.OutcomeNotRun, c.reply(req).Outcome)
		c.drop = nil
		c.kvDown = false
		c.waitForOwners()
		f := c.reply(c.call(replaced, nonIdempotent("p", 1, "k")))
		require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
		require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
	}
}

// TestUnresponsiveReplicaBlocksWrites pauses a replica during a store outage.
// The owner must not dispatch until the replica is replaced.
func TestUnresponsiveReplicaBlocksWrites(t *testing.T) {
	for _, replicas := range []int{1, 2} {
		c := newCluster(t, 2+replicas, replicas)
		c.waitForOwners()
		owner, replica := c.ownerOf("p"), c.replicaOf("p")
		c.reply(c.call(owner, turn("p", 1)))
		replica.paused = true
		c.kvDown = true
		req := c.call(owner, nonIdempotent("p", 2, "k"))
		c.advance(2 * core.Second)
		require.Len(t, c.replies[req], 1)
		require.Equal(t, refusal(core.ReasonNoOwner, defaultRetryAfter), c.replies[req][0])
		mismatched := withSeq(turn("p", 2), 2)
		mismatched.Blocks[1].Digest++
		f := c.reply(c.call(owner, mismatched))
		require.Equal(t, core.ReasonNoOwner, f.Reason, "a permanent refusal must not be based on records that may be stale")
		c.advance(2 * core.Second)
		require.Zero(t, c.procs["t1"].sidecar.executed["k"], "dispatched without a replicated dispatch record")
		c.kvDown = false
		c.waitFor("another replica", func() bool { return c.replicaOf("p") != replica })
		c.advance(core.Second)
		require.Zero(t, c.procs["t1"].sidecar.executed["k"], "a refused call was executed")
		require.Equal(t, core.OutcomeRan, c.reply(c.call(owner, nonIdempotent("p", 2, "k"))).Outcome)
	}
}

// TestOwnerContinuesWithoutDeadReplica removes one of two replicas during a
// store outage. The owner continues without the replica that is confirmed dead,
// because the other replica has its writes.
func TestOwnerContinuesWithoutDeadReplica(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.waitForOwners()
	owner, replica := c.ownerOf("p"), c.replicaOf("p")
	c.kvDown = true
	c.removeVM(replica.node.VM)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(owner, turn("p", 1))).Outcome)
	c.kvDown = false
	c.waitFor("a new replica", func() bool { return c.replicaOf("p") != replica })
}

// TestOwnerStopsWithoutLastReplicaDuringOutage removes the only replica during a
// store outage. The owner must not continue alone: it cannot know whether it is
// still the owner.
func TestOwnerStopsWithoutLastReplicaDuringOutage(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitForOwners()
	owner, replica := c.ownerOf("p"), c.replicaOf("p")
	c.kvDown = true
	c.removeVM(replica.node.VM)
	req := c.call(owner, nonIdempotent("p", 1, "k"))
	c.advance(2 * core.Second)
	require.Zero(t, c.procs["t1"].sidecar.executed["k"])
	require.Equal(t, refusal(core.ReasonNoOwner, defaultRetryAfter), c.reply(req))
	c.kvDown = false
	c.waitFor("another replica", func() bool { return c.replicaOf("p") != replica })
	require.Equal(t, core.OutcomeRan, c.reply(c.call(owner, nonIdempotent("p", 1, "k"))).Outcome)
	require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
}

// TestOwnerServesDuringStoreOutage checks that a healthy owner executes calls
// while the key-value service is down.
func TestOwnerServesDuringStoreOutage(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	c.kvDown = true
	for seq := uint64(1); seq <= 3; seq++ {
		require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", seq))).Outcome)
		c.advance(core.Second)
	}
}

// TestCallWithoutOwnerIsRefusedImmediately makes a call whose slot has had no
// owner for longer than a takeover takes. It must be refused immediately.
func TestCallWithoutOwnerIsRefusedImmediately(t *testing.T) {
	c := newCluster(t, 2)
	c.waitForOwners()
	owner := c.ownerOf("p")
	ingress := c.entryExcept(owner, nil)
	c.kvDown = true
	c.kill(owner)
	c.advance(2 * core.Second)
	req := c.call(ingress, turn("p", 1))
	require.Len(t, c.replies[req], 1)
	require.Equal(t, core.OutcomeNotRun, c.replies[req][0].Outcome)
	require.Equal(t, core.ReasonNoOwner, c.replies[req][0].Reason)
	require.NotZero(t, c.replies[req][0].RetryAfter)
}

// TestNewOwnerWithoutStateDoesNotRepeatCalls removes the owner and all replicas
// of a slot. The new owner must not repeat calls that the old one may have
// executed.
func TestNewOwnerWithoutStateDoesNotRepeatCalls(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	owner, replica := c.ownerOf("p"), c.replicaOf("p")
	ingress := c.entryExcept(owner, replica)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(ingress, nonIdempotent("p", 1, "k"))).Outcome)
	owner.down, replica.down = true, true
	c.unlisted[owner.node.VM] = true
	c.removeVM(replica.node.VM)
	c.waitForOwners()

	tests := []struct {
		name    string
		call    core.Call
		outcome core.Outcome
	}{
		{"the old non-idempotent call", nonIdempotent("p", 1, "k"), core.OutcomeUnknown},
		{"a program in progress", withSeq(turn("p", 3), 3), core.OutcomeNotRun},
		{"a new program", turn("p2", 1), core.OutcomeRan},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := c.reply(c.call(ingress, tt.call))
			require.Equal(t, tt.outcome, f.Outcome, "%s", f.Reason)
			if tt.outcome != core.OutcomeRan {
				require.Equal(t, core.ReasonMemoryLost, f.Reason)
			}
		})
	}
	require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
}

// TestPromiseHoldsWhileCompareAndSwapIsUncertain takes the key-value service
// down right after a compare-and-swap took effect, so that its result is
// unknown. Neither owner may continue until the result has been read.
func TestPromiseHoldsWhileCompareAndSwapIsUncertain(t *testing.T) {
	for _, replicas := range []int{1, 2} {
		c := newCluster(t, 3, replicas)
		c.waitForOwners()
		owner := c.ownerOf("p")
		owner.paused = true
		c.downAfterSwap = core.SlotKey(core.ProgramID("p").Slot(c.set.Ownership.Slots))
		c.waitFor("a compare-and-swap without a result", func() bool { return c.kvDown })
		// The replicas, not a promise request, must stop the old owner.
		owner.backlog = nil
		c.drop = func(_, to core.VM, m core.Message) bool {
			_, isPromise := m.(core.PromiseRequest)
			return isPromise && to == owner.node.VM
		}
		c.resume(owner.node.VM)
		req := c.call(owner, nonIdempotent("p", 1, "k"))
		c.advance(2 * core.Second)
		require.Zero(t, c.procs["t1"].sidecar.executed["k"])
		c.kvDown = false
		f := c.reply(req)
		if f.Outcome == core.OutcomeNotRun {
			f = c.reply(c.call(owner, nonIdempotent("p", 1, "k")))
		}
		require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
		require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
	}
}

func TestEligibleReplicas(t *testing.T) {
	tests := []struct {
		name            string
		valid           bool
		snapshotVersion uint64
		since           uint64
		want            bool
	}{
		{"snapshot of the version in which it joined", true, 3, 3, true},
		{"snapshot of a later version", true, 5, 3, true},
		{"snapshot from before it left and joined again", true, 2, 3, false},
		{"no snapshot", false, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := New(Options{Self: core.Node{VM: "e", Inc: 1}})
			s := &slot{snapshot: snapshot{valid: tt.valid, epoch: core.Epoch{Version: tt.snapshotVersion}}}
			require.Equal(t, tt.want, e.isEligible(s, core.Member{Node: e.self, Since: tt.since}))
		})
	}
}

// TestTakeoverShiftsInstantsToNewClock moves a program to an owner whose clock
// differs by hours. The recorded instants must be converted to the new clock.
func TestTakeoverShiftsInstantsToNewClock(t *testing.T) {
	c := newCluster(t, 3)
	for i, p := range c.sorted() {
		p.offset = core.Duration(i) * 7 * core.Hour
	}
	c.advance(core.Second)
	c.waitForOwners()
	owner := c.ownerOf("p")
	c.reply(c.call(owner, turn("p", 1)))
	began := c.now
	c.advance(5 * core.Second)
	c.removeVM(owner.node.VM)
	c.waitForOwners()
	next := c.ownerOf("p")
	p := next.entry.slotOf("p").snapshot.programs["p"]
	require.InDelta(t, int64(began.Add(next.offset)), int64(p.Started), float64(core.Second))
	require.InDelta(t, int64(began.Add(next.offset)), int64(p.Calls[0].DoneAt), float64(core.Second))
}
