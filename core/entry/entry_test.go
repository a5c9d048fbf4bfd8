package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestCallSucceedsThroughAnyEntry(t *testing.T) {
	for _, n := range []int{1, 2, 3} {
		c := newCluster(t, n)
		c.waitForOwners()
		for seq := uint64(1); seq <= 3; seq++ {
			at := c.sorted()[int(seq)%n]
			req := c.call(at, turn("p", seq))
			f := c.reply(req)
			require.Equal(t, core.OutcomeRan, f.Outcome, "%d entries, turn %d: %s", n, seq, f.Reason)
			require.Len(t, c.attached[req], 1)
			require.Equal(t, f.Attempt, c.attached[req][0])
		}
		p := c.ownerOf("p").entry.slotOf("p").snapshot.programs["p"]
		require.EqualValues(t, 4, p.NextSeq)
		require.EqualValues(t, 6, p.HistoryBlocks)
		require.EqualValues(t, 20+40+60, p.Spent)
		require.Zero(t, p.Reserved)
	}
}

func TestReplicaStoresRecordBeforeReply(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	c.reply(c.call(c.sorted()[0], turn("p", 1)))
	replicaSlot := c.replicaOf("p").entry.slotOf("p")
	require.NotNil(t, replicaSlot.snapshot.programs["p"])
	require.Equal(t, core.PhaseDone, replicaSlot.snapshot.programs["p"].Calls[0].Phase)
	ownerSlot := c.ownerOf("p").entry.slotOf("p")
	require.NotEqual(t, ownerSlot.assignment.Owner.Domain, ownerSlot.assignment.Replicas[0].Domain)
}
