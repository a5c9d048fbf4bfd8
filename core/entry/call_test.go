package entry

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestCallChecks sends calls after a first turn of program p and a booking of
// program b, and looks at their outcomes.
func TestCallChecks(t *testing.T) {
	edit := func(call core.Call, f func(*core.Call)) core.Call {
		f(&call)
		return call
	}
	tests := []struct {
		name    string
		call    core.Call
		outcome core.Outcome
		reason  core.Reason
	}{
		{"the next turn", turn("p", 2), core.OutcomeRan, ""},
		{"a retry of the first turn", turn("p", 1), core.OutcomeRan, ""},
		{"another body at a used position", edit(turn("p", 1), func(c *core.Call) { c.Body = []byte("x") }), core.OutcomeNotRun, core.ReasonOutOfSequence},
		{"no position means the next", edit(turn("p", 2), func(c *core.Call) { c.Seq = 0 }), core.OutcomeRan, ""},
		{"a position after a gap", withSeq(turn("p", 2), 3), core.OutcomeNotRun, core.ReasonOutOfSequence},
		{"a conversation that is too short", withSeq(turn("p", 1), 2), core.OutcomeNotRun, core.ReasonHistoryMismatch},
		{"another conversation", edit(turn("p", 2), func(c *core.Call) { c.Blocks[1].Digest++ }), core.OutcomeNotRun, core.ReasonHistoryMismatch},
		{"another conversation that is accepted", edit(turn("p", 2), func(c *core.Call) { c.Blocks[1].Digest++; c.ResetHistory = true }), core.OutcomeRan, ""},
		{"more than the budget", edit(turn("p", 2), func(c *core.Call) { c.MaxTokens = 951 }), core.OutcomeNotRun, core.ReasonBudgetExhausted},
		{"all of the budget", edit(turn("p", 2), func(c *core.Call) { c.MaxTokens = 950 }), core.OutcomeRan, ""},
		{"a sub-agent", turn("p/a", 1), core.OutcomeRan, ""},
		{"a sub-agent beyond the root's budget", edit(turn("p/a", 1), func(c *core.Call) { c.MaxTokens = 971 }), core.OutcomeNotRun, core.ReasonBudgetExhausted},
		{"too deep", turn("p/a/b", 1), core.OutcomeNotRun, core.ReasonLimitExceeded},
		{"another account's program", edit(turn("p", 2), func(c *core.Call) { c.Account = "rich" }), core.OutcomeNotRun, core.ReasonUnauthorized},
		{"a key again", booking("b", 0, "k"), core.OutcomeRan, ""},
		{"a key for another request", edit(booking("b", 0, "k"), func(c *core.Call) { c.Body = []byte("x") }), core.OutcomeNotRun, core.ReasonKeyReuse},
		{"an unknown pool", edit(turn("p", 2), func(c *core.Call) { c.Pool = "nowhere" }), core.OutcomeNotRun, core.ReasonNoTarget},
		{"beyond the account's budget", edit(turn("r", 1), func(c *core.Call) { c.Account = "rich"; c.MaxTokens = 491 }), core.OutcomeNotRun, core.ReasonBudgetExhausted},
		{"all of the account's budget", edit(turn("r", 1), func(c *core.Call) { c.Account = "rich"; c.MaxTokens = 490 }), core.OutcomeRan, ""},
		{"the account's first program", edit(turn("f", 1), func(c *core.Call) { c.Account = "few" }), core.OutcomeRan, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.settled()
			at := c.procs["e0"]
			require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 1))).Outcome)
			require.Equal(t, core.OutcomeRan, c.reply(c.call(at, booking("b", 1, "k"))).Outcome)
			f := c.reply(c.call(c.procs["e1"], tt.call))
			require.Equal(t, tt.outcome, f.Outcome, "%s", f.Reason)
			require.Equal(t, tt.reason, f.Reason)
			require.Equal(t, 1, c.procs["t1"].side.executed["k"])
		})
	}
}

func TestCallsOfAProgramKeepTheirOrder(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	third := c.call(c.procs["e2"], turn("p", 3))
	second := c.call(c.procs["e1"], turn("p", 2))
	c.advance(100 * core.Millisecond)
	require.Empty(t, c.procs["m1"].side.order)
	first := c.call(c.procs["e0"], turn("p", 1))
	var attempts []core.AttemptID
	for _, req := range []core.RequestID{first, second, third} {
		f := c.reply(req)
		require.Equal(t, core.OutcomeRan, f.Outcome)
		attempts = append(attempts, f.Attempt)
	}
	require.Equal(t, c.procs["m1"].side.order, attempts)
}

func TestRetryAtAnotherEntryJoinsTheOpenCall(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	side := c.procs["t1"].side
	side.hold = true
	one := c.call(c.procs["e0"], booking("p", 1, "k"))
	two := c.call(c.procs["e1"], booking("p", 1, "k"))
	c.advance(100 * core.Millisecond)
	side.release()
	require.Equal(t, c.reply(one), c.reply(two))
	require.Equal(t, 1, side.executed["k"])
}

// TestSidecarRestart ends the life of the sidecar that runs a call.
func TestSidecarRestart(t *testing.T) {
	tests := []struct {
		name     string
		call     core.Call
		outcome  core.Outcome
		executed int
	}{
		{"non-idempotent", booking("p", 1, "k"), core.OutcomeUnknown, 0},
		{"idempotent", func() core.Call { b := booking("p", 1, "k"); b.NonIdempotent = false; return b }(), core.OutcomeRan, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.settled()
			c.procs["t1"].side.hold = true
			req := c.call(c.procs["e0"], tt.call)
			c.advance(50 * core.Millisecond)
			c.restart("t1")
			f := c.reply(req)
			require.Equal(t, tt.outcome, f.Outcome)
			require.Equal(t, tt.outcome, c.reply(c.call(c.procs["e1"], tt.call)).Outcome)
			require.Equal(t, tt.executed, c.procs["t1"].side.executed["k"], "executions by the new life")
		})
	}
}

// TestLostDispatch loses the dispatch of a call that must not be repeated. The
// query leaves a tombstone, so another attempt is safe.
func TestLostDispatch(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	lost := 0
	var late []core.Dispatch
	c.cut = func(_, _ core.VM, m core.Message) bool {
		d, ok := m.(core.Dispatch)
		if ok && lost == 0 {
			lost++
			late = append(late, d)
			return true
		}
		return false
	}
	home := c.homeOf("p")
	require.Equal(t, core.OutcomeRan, c.reply(c.call(home, booking("p", 1, "k"))).Outcome)
	c.deliver(c.procs["t1"], core.Recv{From: home.node, Msg: late[0]})
	require.Equal(t, 1, c.procs["t1"].side.executed["k"])
}

// TestRefusedTriesAreRetriedWithinTheBudget lets the only target refuse calls.
func TestRefusedTriesAreRetriedWithinTheBudget(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	side := c.procs["m1"].side
	side.refuse = 3
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", 1))).Outcome)
	side.refuse = 1000
	f := c.reply(c.call(c.procs["e0"], turn("p", 2)))
	require.Equal(t, core.OutcomeNotRun, f.Outcome)
	require.Equal(t, core.ReasonOverload, f.Reason)
	require.NotZero(t, f.RetryAfter)
	require.Less(t, 1000-side.refuse, 15, "retries beyond the budget")
	side.refuse = 0
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", 2))).Outcome)
}

// TestLateRefusalOfAnOldHome delivers the refusal of an old home after its
// request was forwarded to the new one, which runs it.
func TestLateRefusalOfAnOldHome(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	home := c.homeOf("p")
	edge := c.other(home, nil)
	epoch := home.entry.slotOf("p").home.epoch
	home.paused = true
	c.procs["t1"].side.hold = true
	req := c.call(edge, booking("p", 1, "k"))
	c.until("the new home runs the call", func() bool { return c.procs["t1"].side.executed["k"] == 1 })
	c.deliver(edge, core.Recv{From: home.node, Msg: core.Finished{
		Req: req, Finish: refusal(core.ReasonLimitExceeded, 0), Epoch: epoch,
	}})
	require.Empty(t, c.replies[req], "a refusal of a call that runs")
	c.procs["t1"].side.release()
	require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
}

// TestLateForward delivers a copy of a forward after the call was refused.
func TestLateForward(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	home := c.homeOf("p")
	edge := c.other(home, nil)
	c.procs["t1"].side.leaving = true
	c.list()
	var copied core.Forward
	c.seen = func(_ core.Node, m core.Message) {
		if f, ok := m.(core.Forward); ok {
			copied = f
		}
	}
	require.Equal(t, core.OutcomeNotRun, c.reply(c.call(edge, booking("p", 1, "k"))).Outcome)
	c.procs["t1"].side.leaving = false
	c.list()
	c.deliver(home, core.Recv{From: edge.node, Msg: copied})
	c.advance(3 * core.Second)
	require.Zero(t, c.procs["t1"].side.executed["k"])
}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	c := newCluster(t, 3)
	c.startSidecar("m2", "model", 1)
	c.list()
	c.settled()
	c.procs["m1"].side.leaving = true
	c.list()
	for seq := uint64(1); seq <= 5; seq++ {
		require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", seq))).Outcome)
	}
	require.Empty(t, c.procs["m1"].side.order)
}

// TestEndProgram ends a tree while a call of a sub-agent runs.
func TestEndProgram(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	at := c.procs["e0"]
	c.reply(c.call(at, turn("p", 1)))
	c.reply(c.call(at, turn("p/a", 1)))
	require.Equal(t, core.OutcomeRan, c.reply(c.end(c.procs["e1"], "p")).Outcome)
	require.Contains(t, c.procs["m1"].side.ended, core.ProgramID("p"))
	for _, id := range []core.ProgramID{"p", "p/a"} {
		f := c.reply(c.call(at, turn(id, 2)))
		require.Equal(t, core.OutcomeNotRun, f.Outcome)
		require.Equal(t, core.ReasonProgramEnded, f.Reason)
	}
}

func TestLimits(t *testing.T) {
	c := newCluster(t, 1)
	c.settled()
	at := c.procs["e0"]
	for seq := uint64(1); seq <= 5; seq++ {
		require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", seq))).Outcome)
	}
	require.Equal(t, core.ReasonLimitExceeded, c.reply(c.call(at, turn("p", 6))).Reason, "turns")
	first, second := turn("f1", 1), turn("f2", 1)
	first.Account, second.Account = "few", "few"
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, first)).Outcome)
	require.Equal(t, core.ReasonLimitExceeded, c.reply(c.call(at, second)).Reason, "programs of an account")
}

// TestOverloadShedsNewProgramsOnly fills the pool's queue.
func TestOverloadShedsNewProgramsOnly(t *testing.T) {
	c := newCluster(t, 1)
	c.settled()
	at := c.procs["e0"]
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 1))).Outcome)
	c.procs["m1"].side.load.Waiting = 100
	c.advance(50 * core.Millisecond)
	f := c.reply(c.call(at, turn("new", 1)))
	require.Equal(t, core.ReasonOverload, f.Reason)
	require.NotZero(t, f.RetryAfter)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 2))).Outcome)
}

// TestEscrow spends an account's budget from several slots, with lost answers
// of the key-value service. The account never gets more than its budget.
func TestEscrow(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	spent := uint64(0)
	for i := range 40 {
		if i%3 == 0 {
			c.loseSwap = 1
		}
		call := turn(core.ProgramID("p"+string(rune('a'+i))), 1)
		call.Account = "rich"
		f := c.reply(c.call(c.procs["e0"], call))
		spent += f.Usage.Total()
		if f.Outcome != core.OutcomeRan {
			require.Equal(t, core.ReasonBudgetExhausted, f.Reason)
		}
	}
	require.LessOrEqual(t, spent, uint64(500))
	require.Greater(t, spent, uint64(250), "most of the budget can be spent")
}

func TestExpiry(t *testing.T) {
	c := newCluster(t, 1)
	c.set.Programs[0].MaxIdle = 3e9
	c.settled()
	c.reply(c.call(c.procs["e0"], turn("p", 1)))
	c.advance(2 * core.Second)
	require.Empty(t, c.procs["m1"].side.ended)
	c.advance(3 * core.Second)
	require.Contains(t, c.procs["m1"].side.ended, core.ProgramID("p"))
}

// TestReservationsOfSubAgentsCount runs two sub-agents whose reservations do
// not fit into their root's budget together.
func TestReservationsOfSubAgentsCount(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	c.procs["m1"].side.hold = true
	one, two := turn("p/a", 1), turn("p/b", 1)
	one.MaxTokens, two.MaxTokens = 590, 590
	first := c.call(c.procs["e0"], one)
	c.advance(50 * core.Millisecond)
	f := c.reply(c.call(c.procs["e1"], two))
	require.Equal(t, core.ReasonBudgetExhausted, f.Reason)
	c.procs["m1"].side.release()
	require.Equal(t, core.OutcomeRan, c.reply(first).Outcome)
}

// TestEndIsToldAgain loses the first message about a program's end.
func TestEndIsToldAgain(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	c.reply(c.call(c.procs["e0"], turn("p", 1)))
	lost := 0
	c.cut = func(_, _ core.VM, m core.Message) bool {
		_, end := m.(core.EndProgram)
		if end {
			lost++
		}
		return end && lost == 1
	}
	require.Equal(t, core.OutcomeRan, c.reply(c.end(c.procs["e1"], "p")).Outcome)
	require.Empty(t, c.procs["m1"].side.ended)
	c.advance(5 * core.Second)
	require.Contains(t, c.procs["m1"].side.ended, core.ProgramID("p"))
}

// BenchmarkTurn measures one turn of a program through three entries, a mirror
// and a fake sidecar: all reducer steps and the pump.
func BenchmarkTurn(b *testing.B) {
	c := newCluster(&testing.T{}, 3)
	c.check.Panic = false
	c.set.Programs[0] = config.ProgramKind{Name: "kind"}
	c.settled()
	call := turn("p", 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		call.Program = core.ProgramID(strconv.Itoa(i))
		c.call(c.procs["e0"], call)
	}
}

// TestRefusedAfterALostAttempt loses the first attempt of an idempotent call and
// refuses all others. The call may have run.
func TestRefusedAfterALostAttempt(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	c.procs["m1"].side.lose = 1
	c.procs["m1"].side.refuse = 1000
	f := c.reply(c.call(c.procs["e0"], turn("p", 1)))
	require.Equal(t, core.OutcomeUnknown, f.Outcome, "%s", f.Reason)
	p := c.homeOf("p").entry.slotOf("p").image.programs["p"]
	require.EqualValues(t, 20, p.Spent, "the reservation of the lost attempt")
	require.Zero(t, p.Reserved)
}

// TestOverdueTicket lets a call's time run out while a mirror is silent.
func TestOverdueTicket(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	home := c.homeOf("p")
	c.mirrorOf("p").paused = true
	c.kvDown = true
	call := booking("p", 1, "k")
	call.Timeout = 200 * core.Millisecond
	req := c.call(home, call)
	c.advance(300 * core.Millisecond)
	require.Len(t, c.replies[req], 1)
	require.Equal(t, core.OutcomeNotRun, c.replies[req][0].Outcome)
	require.Equal(t, core.ReasonTimeout, c.replies[req][0].Reason)
	c.kvDown = false
	c.advance(5 * core.Second)
	require.Zero(t, c.procs["t1"].side.executed["k"])
	require.Equal(t, core.OutcomeRan, c.reply(c.call(home, booking("p", 1, "k"))).Outcome)
}

// TestTargetLeavesBeforeTheDispatch marks a target as leaving between the
// placement of a call and the acknowledgement of its ticket.
func TestTargetLeavesBeforeTheDispatch(t *testing.T) {
	c := newCluster(t, 3)
	c.settled()
	c.cut = func(_, _ core.VM, m core.Message) bool {
		_, ack := m.(core.ReplicaAck)
		return ack
	}
	req := c.call(c.procs["e0"], turn("p", 1))
	c.startSidecar("m2", "model", 1)
	c.procs["m1"].side.leaving = true
	c.list()
	c.cut = nil
	require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
	require.Empty(t, c.procs["m1"].side.order)
	require.Len(t, c.procs["m2"].side.order, 1)
}
