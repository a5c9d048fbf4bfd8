package entry

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// kill stops a VM's process without any evidence of it.
func (c *cluster) kill(p *proc) { p.down = true }

// TestTakeover provokes the loss of a home in each way of the design note. The
// program must go on at another entry with its history, and a booking that was
// under way must be executed once.
func TestTakeover(t *testing.T) {
	tests := []struct {
		name string
		fail func(c *cluster, home *proc)
	}{
		{"silent home, swap", func(c *cluster, home *proc) { c.kill(home) }},
		{"swap whose answer is lost", func(c *cluster, home *proc) {
			c.loseSwap = 3
			c.kill(home)
		}},
		{"VM gone from the list", func(c *cluster, home *proc) { c.remove(home.node.VM) }},
		{"restart in place", func(c *cluster, home *proc) { c.restart(home.node.VM) }},
		{"VM gone while the store is down", func(c *cluster, home *proc) {
			c.kvDown = true
			c.remove(home.node.VM)
		}},
		{"restart in place while the store is down", func(c *cluster, home *proc) {
			c.kvDown = true
			c.restart(home.node.VM)
		}},
		{"paused home", func(c *cluster, home *proc) { home.paused = true }},
		{"home without connections", func(c *cluster, home *proc) {
			c.cut = func(from, to core.VM, _ core.Message) bool {
				return from != to && (from == home.node.VM || to == home.node.VM)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3, 2)
			c.settled()
			home := c.homeOf("p")
			edge := c.other(home, nil)
			require.Equal(t, core.OutcomeRan, c.reply(c.call(edge, turn("p", 1))).Outcome)
			c.procs["t1"].side.hold = true
			open := c.call(edge, booking("p", 2, "k"))
			c.advance(50 * core.Millisecond)
			require.Equal(t, 1, c.procs["t1"].side.executed["k"])

			tt.fail(c, home)
			c.until("another home", func() bool {
				for _, p := range c.homes(core.ProgramID("p").Slot(c.set.Ownership.Slots)) {
					if p.node != home.node {
						return true
					}
				}
				return false
			})
			c.procs["t1"].side.release()
			f0 := c.reply(open)
			require.Equal(t, core.OutcomeRan, f0.Outcome, "%s", f0.Reason)
			again := c.reply(c.call(edge, booking("p", 2, "k")))
			require.Equal(t, core.OutcomeRan, again.Outcome)
			require.Equal(t, []byte("done"), again.Answer)
			require.Equal(t, 1, c.procs["t1"].side.executed["k"])
			strange := withSeq(turn("p", 2), 3)
			strange.Blocks[1].Digest++
			f := c.reply(c.call(edge, strange))
			require.Equal(t, core.OutcomeNotRun, f.Outcome, "a conversation that is not the recorded one")
			require.Equal(t, core.ReasonHistoryMismatch, f.Reason)
			f = c.reply(c.call(edge, withSeq(turn("p", 2), 3)))
			require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
		})
	}
}

func withSeq(call core.Call, seq uint64) core.Call {
	call.Seq = seq
	return call
}

// TestPausedHomeWakes lets an old home wake up after a takeover, with a call in
// its backlog. It must execute nothing.
func TestPausedHomeWakes(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	home := c.homeOf("p")
	edge := c.other(home, nil)
	c.reply(c.call(edge, turn("p", 1)))
	home.paused = true
	req := c.call(edge, booking("p", 2, "k"))
	own := c.call(home, booking("p", 2, "k"))
	f := c.reply(req)
	require.Equal(t, core.OutcomeRan, f.Outcome)
	require.Equal(t, 1, c.procs["t1"].side.executed["k"])

	c.resume(home.node.VM)
	require.Equal(t, core.OutcomeRan, c.reply(own).Outcome)
	require.Equal(t, 1, c.procs["t1"].side.executed["k"])
	c.settled()
	require.Len(t, c.homes(core.ProgramID("p").Slot(c.set.Ownership.Slots)), 1)
}

// TestPausedMirrorThatWasReplaced wakes a mirror that its home has replaced,
// after that home has died during an outage of the key-value service. Its image
// is old, so it must not take over by rank.
func TestPausedMirrorThatWasReplaced(t *testing.T) {
	for _, mirrors := range []int{1, 2} {
		c := newCluster(t, 2+mirrors, mirrors)
		c.settled()
		home, old := c.homeOf("p"), c.mirrorOf("p")
		old.paused = true
		c.until("the mirror is replaced", func() bool {
			return !slices.ContainsFunc(c.homeOf("p").entry.slotOf("p").owner.Replicas, func(m core.Member) bool {
				return m.Node == old.node
			})
		})
		c.advance(500 * core.Millisecond)
		require.Equal(t, home, c.homeOf("p"))
		require.Equal(t, core.OutcomeRan, c.reply(c.call(home, booking("p", 1, "k"))).Outcome)

		old.backlog = nil
		c.kvDown = true
		c.cut = func(from, to core.VM, _ core.Message) bool {
			entries := c.procs[from].entry != nil && c.procs[to].entry != nil
			return entries && (from == old.node.VM) != (to == old.node.VM)
		}
		c.remove(home.node.VM)
		c.resume(old.node.VM)
		req := c.call(old, booking("p", 1, "k"))
		c.advance(3 * core.Second)
		require.Equal(t, 1, c.procs["t1"].side.executed["k"])
		require.Equal(t, core.OutcomeNotRun, c.reply(req).Outcome)
		c.cut = nil
		c.kvDown = false
		c.settled()
		f := c.reply(c.call(old, booking("p", 1, "k")))
		require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
		require.Equal(t, 1, c.procs["t1"].side.executed["k"])
	}
}

// TestSilentMirror keeps a home from writing while one of its mirrors is silent,
// until the mirror is replaced.
func TestSilentMirror(t *testing.T) {
	for _, mirrors := range []int{1, 2} {
		c := newCluster(t, 2+mirrors, mirrors)
		c.settled()
		home, mirror := c.homeOf("p"), c.mirrorOf("p")
		c.reply(c.call(home, turn("p", 1)))
		mirror.paused = true
		c.kvDown = true
		req := c.call(home, booking("p", 2, "k"))
		c.advance(2 * core.Second)
		require.Len(t, c.replies[req], 1)
		require.Equal(t, refusal(core.ReasonNoOwner, retryHint), c.replies[req][0])
		strange := withSeq(turn("p", 2), 2)
		strange.Blocks[1].Digest++
		f := c.reply(c.call(home, strange))
		require.Equal(t, core.ReasonNoOwner, f.Reason, "a final reason from records that may be old")
		c.advance(2 * core.Second)
		require.Zero(t, c.procs["t1"].side.executed["k"], "a dispatch without a mirrored ticket")
		c.kvDown = false
		c.until("another mirror", func() bool { return c.mirrorOf("p") != mirror })
		c.advance(core.Second)
		require.Zero(t, c.procs["t1"].side.executed["k"], "a refused call ran")
		require.Equal(t, core.OutcomeRan, c.reply(c.call(home, booking("p", 2, "k"))).Outcome)
	}
}

// TestDeadMirrorDuringOutage lets a home go on without a mirror that is dead by
// evidence, as long as another mirror has its writes.
func TestDeadMirrorDuringOutage(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.settled()
	home, mirror := c.homeOf("p"), c.mirrorOf("p")
	c.kvDown = true
	c.remove(mirror.node.VM)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(home, turn("p", 1))).Outcome)
	c.kvDown = false
	c.until("a new mirror", func() bool { return c.mirrorOf("p") != mirror })
}

// TestLastMirrorDeadDuringOutage keeps a home from going on alone: it cannot
// know whether it still is the home.
func TestLastMirrorDeadDuringOutage(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settled()
	home, mirror := c.homeOf("p"), c.mirrorOf("p")
	c.kvDown = true
	c.remove(mirror.node.VM)
	req := c.call(home, booking("p", 1, "k"))
	c.advance(2 * core.Second)
	require.Zero(t, c.procs["t1"].side.executed["k"])
	require.Equal(t, refusal(core.ReasonNoOwner, retryHint), c.reply(req))
	c.kvDown = false
	c.until("another mirror", func() bool { return c.mirrorOf("p") != mirror })
	require.Equal(t, core.OutcomeRan, c.reply(c.call(home, booking("p", 1, "k"))).Outcome)
	require.Equal(t, 1, c.procs["t1"].side.executed["k"])
}

// TestHomeLivesThroughOutage serves calls of a healthy home during an outage.
func TestHomeLivesThroughOutage(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	c.kvDown = true
	for seq := uint64(1); seq <= 3; seq++ {
		require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", seq))).Outcome)
		c.advance(core.Second)
	}
}

// TestNoOwnerIsRefusedAtOnce refuses a call whose slot has had no home for a
// while.
func TestNoOwnerIsRefusedAtOnce(t *testing.T) {
	c := newCluster(t, 2)
	c.settled()
	home := c.homeOf("p")
	edge := c.other(home, nil)
	c.kvDown = true
	c.kill(home)
	c.advance(2 * core.Second)
	req := c.call(edge, turn("p", 1))
	require.Len(t, c.replies[req], 1)
	require.Equal(t, core.OutcomeNotRun, c.replies[req][0].Outcome)
	require.Equal(t, core.ReasonNoOwner, c.replies[req][0].Reason)
	require.NotZero(t, c.replies[req][0].RetryAfter)
}

// TestForgotten loses the home and all mirrors of a slot. The new owner must
// not repeat what the lost ones may have executed.
func TestForgotten(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	home, mirror := c.homeOf("p"), c.mirrorOf("p")
	edge := c.other(home, mirror)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(edge, booking("p", 1, "k"))).Outcome)
	home.down, mirror.down = true, true
	c.unlisted[home.node.VM] = true
	c.remove(mirror.node.VM)
	c.settled()

	tests := []struct {
		name    string
		call    core.Call
		outcome core.Outcome
	}{
		{"the old booking", booking("p", 1, "k"), core.OutcomeUnknown},
		{"a program in progress", withSeq(turn("p", 3), 3), core.OutcomeNotRun},
		{"a new program", turn("p2", 1), core.OutcomeRan},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := c.reply(c.call(edge, tt.call))
			require.Equal(t, tt.outcome, f.Outcome, "%s", f.Reason)
			if tt.outcome != core.OutcomeRan {
				require.Equal(t, core.ReasonMemoryLost, f.Reason)
			}
		})
	}
	require.Equal(t, 1, c.procs["t1"].side.executed["k"])
}

// TestPromiseHoldsWhileTheSwapIsUncertain loses the answer of a swap and the
// key-value service with it. Neither home may go on until the swap is settled.
func TestPromiseHoldsWhileTheSwapIsUncertain(t *testing.T) {
	for _, mirrors := range []int{1, 2} {
		c := newCluster(t, 3, mirrors)
		c.settled()
		home := c.homeOf("p")
		home.paused = true
		c.downAfterSwap = core.SlotKey(core.ProgramID("p").Slot(c.set.Ownership.Slots))
		c.until("a swap without an answer", func() bool { return c.kvDown })
		// The old home must be stopped by its mirrors, not by a request to promise.
		home.backlog = nil
		c.cut = func(_, to core.VM, m core.Message) bool {
			_, ask := m.(core.PromiseRequest)
			return ask && to == home.node.VM
		}
		c.resume(home.node.VM)
		req := c.call(home, booking("p", 1, "k"))
		c.advance(2 * core.Second)
		require.Zero(t, c.procs["t1"].side.executed["k"])
		c.kvDown = false
		f := c.reply(req)
		if f.Outcome == core.OutcomeNotRun {
			f = c.reply(c.call(home, booking("p", 1, "k")))
		}
		require.Equal(t, core.OutcomeRan, f.Outcome, "%s", f.Reason)
		require.Equal(t, 1, c.procs["t1"].side.executed["k"])
	}
}

func TestEligibleMirrors(t *testing.T) {
	tests := []struct {
		name  string
		valid bool
		image uint64
		since uint64
		want  bool
	}{
		{"image of the version that it joined in", true, 3, 3, true},
		{"image of a later version", true, 5, 3, true},
		{"image from before it left and joined again", true, 2, 3, false},
		{"no image", false, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := New(Options{Self: core.Node{VM: "e", Inc: 1}})
			s := &slot{image: image{valid: tt.valid, epoch: core.Epoch{Version: tt.image}}}
			require.Equal(t, tt.want, e.eligible(s, core.Member{Node: e.self, Since: tt.since}))
		})
	}
}

// TestAgesGoOnAtAnotherClock moves a program to a home whose clock differs.
func TestAgesGoOnAtAnotherClock(t *testing.T) {
	c := newCluster(t, 3)
	for i, p := range c.sorted() {
		p.offset = core.Duration(i) * 7 * core.Hour
	}
	c.advance(core.Second)
	c.settled()
	home := c.homeOf("p")
	c.reply(c.call(home, turn("p", 1)))
	began := c.now
	c.advance(5 * core.Second)
	c.remove(home.node.VM)
	c.settled()
	next := c.homeOf("p")
	p := next.entry.slotOf("p").image.programs["p"]
	require.InDelta(t, int64(began.Add(next.offset)), int64(p.Started), float64(core.Second))
	require.InDelta(t, int64(began.Add(next.offset)), int64(p.Calls[0].DoneAt), float64(core.Second))
}
