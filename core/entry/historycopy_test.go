package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestUnreadableConversationsAreRefused(t *testing.T) {
	known := &core.Program{Account: "a", HistoryBlocks: 2}
	tests := []struct {
		name    string
		program *core.Program
		account core.Account
		reason  core.Reason
	}{
		{"known", known, "a", ""},
		{"another account's", known, "b", core.ReasonUnauthorized},
		{"unknown", nil, "a", core.ReasonHistoryLost},
		{"without a conversation", &core.Program{Account: "a"}, "a", core.ReasonHistoryLost},
		{"ended", &core.Program{Account: "a", HistoryBlocks: 2, Ended: true}, "a", core.ReasonProgramEnded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.reason, historyRefusal(tt.program, tt.account)) })
	}
}

func TestOlderCopiesAreDroppedWhenNewerIsStored(t *testing.T) {
	copyAt := func(vm core.VM, digest uint64) core.HistoryCopy {
		return core.HistoryCopy{Node: core.Node{VM: vm, Inc: 1}, Digest: digest, Blocks: uint32(digest)}
	}
	p := &core.Program{HistoryDigest: 4, HistoryBlocks: 4, HistoryCopies: []core.HistoryCopy{copyAt("a", 2), copyAt("b", 2)}}
	recordServerCopy(p, core.Node{VM: "c", Inc: 1})
	require.Equal(t, []core.HistoryCopy{copyAt("c", 4), copyAt("a", 2), copyAt("b", 2)}, p.HistoryCopies)
	outdated := addCopy(p, copyAt("b", 4))
	require.Equal(t, []core.HistoryCopy{copyAt("a", 2)}, outdated)
	require.Equal(t, []core.HistoryCopy{copyAt("c", 4), copyAt("b", 4)}, p.HistoryCopies)
	for _, vm := range []core.VM{"d", "e", "f", "g"} {
		require.Empty(t, addCopy(p, copyAt(vm, 4)))
	}
	require.Len(t, p.HistoryCopies, maxCopies)
}

// TestTakeoverKeepsForwardedCopies reports a copy to an entry that is not the
// owner, which forwards it, and then removes the owner. The new owner must have
// the copy.
func TestTakeoverKeepsForwardedCopies(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", 1))).Outcome)
	owner := c.ownerOf("p")
	p := owner.entry.slotOf("p").snapshot.programs["p"]
	require.Len(t, p.HistoryCopies, 1)
	holder := core.Node{VM: "m9", Inc: 1}
	former := c.replicaOf("p")
	stored := core.HistoryStored{
		Node: holder, Slot: owner.entry.slotOf("p").id, Program: "p", Digest: p.HistoryDigest, Blocks: p.HistoryBlocks,
	}
	c.deliver(former, core.Recv{From: holder, Msg: stored})
	c.advance(100 * core.Millisecond)
	owner.down = true
	c.removeVM(owner.node.VM)
	c.waitFor("a new owner", func() bool {
		owners := c.owners(stored.Slot)
		return len(owners) == 1 && owners[0] != owner && owners[0].entry.slotOf("p").ownerState.ready
	})
	atNewOwner := c.ownerOf("p").entry.slotOf("p").snapshot.programs["p"]
	require.Len(t, atNewOwner.HistoryCopies, 2)
	require.Equal(t, holder, atNewOwner.HistoryCopies[1].Node)
}

// TestCopyReportedBeforeAnswerIsRecorded lets the report of a copy arrive before
// the call's answer, as happens on a VM that is short of CPU.
func TestCopyReportedBeforeAnswerIsRecorded(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	for _, p := range c.procs {
		if p.sidecar != nil {
			p.sidecar.hold = true
		}
	}
	req := c.call(c.procs["e0"], turn("p", 1))
	owner := c.ownerOf("p")
	holder := core.Node{VM: "m9", Inc: 1}
	// The call has one block, and the fake sidecar's answer adds another.
	c.deliver(owner, core.Recv{From: holder, Msg: core.HistoryStored{
		Node: holder, Slot: owner.entry.slotOf("p").id, Program: "p", Digest: 1001, Blocks: 2,
	}})
	require.Empty(t, c.replies[req])
	for _, p := range c.procs {
		if p.sidecar != nil {
			p.sidecar.release()
		}
	}
	require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
	p := owner.entry.slotOf("p").snapshot.programs["p"]
	require.EqualValues(t, 1001, p.HistoryDigest)
	require.Len(t, p.HistoryCopies, 2)
	require.Equal(t, holder, p.HistoryCopies[1].Node)
}
