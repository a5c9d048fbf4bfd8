package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestUnreadableConversations(t *testing.T) {
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
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.reason, unreadable(tt.program, tt.account)) })
	}
}

func TestCopiesOfOlderStatesGoOnceANewerOneIsKept(t *testing.T) {
	copyAt := func(vm core.VM, digest uint64) core.HistoryCopy {
		return core.HistoryCopy{Node: core.Node{VM: vm, Inc: 1}, Digest: digest, Blocks: uint32(digest)}
	}
	p := &core.Program{HistoryDigest: 4, HistoryBlocks: 4, HistoryCopies: []core.HistoryCopy{copyAt("a", 2), copyAt("b", 2)}}
	servedBy(p, core.Node{VM: "c", Inc: 1})
	require.Equal(t, []core.HistoryCopy{copyAt("c", 4), copyAt("a", 2), copyAt("b", 2)}, p.HistoryCopies)
	outdated := addCopy(p, copyAt("b", 4))
	require.Equal(t, []core.HistoryCopy{copyAt("a", 2)}, outdated)
	require.Equal(t, []core.HistoryCopy{copyAt("c", 4), copyAt("b", 4)}, p.HistoryCopies)
	for _, vm := range []core.VM{"d", "e", "f", "g"} {
		require.Empty(t, addCopy(p, copyAt(vm, 4)))
	}
	require.Len(t, p.HistoryCopies, maxCopies)
}

// TestTakeoverFindsTheCopies kills the home after a copy was told to a former one.
func TestTakeoverFindsTheCopies(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", 1))).Outcome)
	home := c.homeOf("p")
	p := home.entry.slotOf("p").image.programs["p"]
	require.Len(t, p.HistoryCopies, 1)
	holder := core.Node{VM: "m9", Inc: 1}
	former := c.mirrorOf("p")
	kept := core.HistoryStored{
		Node: holder, Slot: home.entry.slotOf("p").id, Program: "p", Digest: p.HistoryDigest, Blocks: p.HistoryBlocks,
	}
	c.deliver(former, core.Recv{From: holder, Msg: kept})
	c.advance(100 * core.Millisecond)
	home.down = true
	c.remove(home.node.VM)
	c.until("a new home", func() bool {
		h := c.homes(kept.Slot)
		return len(h) == 1 && h[0] != home && h[0].entry.slotOf("p").home.ready
	})
	taken := c.homeOf("p").entry.slotOf("p").image.programs["p"]
	require.Len(t, taken.HistoryCopies, 2)
	require.Equal(t, holder, taken.HistoryCopies[1].Node)
}

// TestCopyThatIsToldBeforeTheAnswerCounts lets word of a copy overtake the answer, as
// on a VM whose processor is short.
func TestCopyThatIsToldBeforeTheAnswerCounts(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	for _, p := range c.procs {
		if p.side != nil {
			p.side.hold = true
		}
	}
	req := c.call(c.procs["e0"], turn("p", 1))
	home := c.homeOf("p")
	holder := core.Node{VM: "m9", Inc: 1}
	// The engine adds one block to the one of the call.
	c.deliver(home, core.Recv{From: holder, Msg: core.HistoryStored{
		Node: holder, Slot: home.entry.slotOf("p").id, Program: "p", Digest: 1001, Blocks: 2,
	}})
	require.Empty(t, c.replies[req])
	for _, p := range c.procs {
		if p.side != nil {
			p.side.release()
		}
	}
	require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
	p := home.entry.slotOf("p").image.programs["p"]
	require.EqualValues(t, 1001, p.HistoryDigest)
	require.Len(t, p.HistoryCopies, 2)
	require.Equal(t, holder, p.HistoryCopies[1].Node)
}
