package entry

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TestCallChecks makes one call after a first turn of program p and a
// non-idempotent call of program b, and checks its outcome.
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
		{"another body with a used sequence number", edit(turn("p", 1), func(c *core.Call) { c.Body = []byte("x") }), core.OutcomeNotRun, core.ReasonOutOfSequence},
		{"no sequence number means the next one", edit(turn("p", 2), func(c *core.Call) { c.Seq = 0 }), core.OutcomeRan, ""},
		{"a sequence number after a gap", withSeq(turn("p", 2), 3), core.OutcomeNotRun, core.ReasonOutOfSequence},
		{"a conversation that is too short", withSeq(turn("p", 1), 2), core.OutcomeNotRun, core.ReasonHistoryMismatch},
		{"a conversation that does not extend the recorded one", edit(turn("p", 2), func(c *core.Call) { c.Blocks[1].Digest++ }), core.OutcomeNotRun, core.ReasonHistoryMismatch},
		{"a conversation that does not extend the recorded one, with ResetHistory", edit(turn("p", 2), func(c *core.Call) { c.Blocks[1].Digest++; c.ResetHistory = true }), core.OutcomeRan, ""},
		{"more than the program's budget", edit(turn("p", 2), func(c *core.Call) { c.MaxTokens = 951 }), core.OutcomeNotRun, core.ReasonBudgetExhausted},
		{"all of the program's budget", edit(turn("p", 2), func(c *core.Call) { c.MaxTokens = 950 }), core.OutcomeRan, ""},
		{"a sub-agent", turn("p/a", 1), core.OutcomeRan, ""},
		{"a sub-agent's call above the root's budget", edit(turn("p/a", 1), func(c *core.Call) { c.MaxTokens = 971 }), core.OutcomeNotRun, core.ReasonBudgetExhausted},
		{"a sub-agent below the maximum depth", turn("p/a/b", 1), core.OutcomeNotRun, core.ReasonLimitExceeded},
		{"another account's program", edit(turn("p", 2), func(c *core.Call) { c.Account = "rich" }), core.OutcomeNotRun, core.ReasonUnauthorized},
		{"a repeated key", nonIdempotent("b", 0, "k"), core.OutcomeRan, ""},
		{"a key for another request", edit(nonIdempotent("b", 0, "k"), func(c *core.Call) { c.Body = []byte("x") }), core.OutcomeNotRun, core.ReasonKeyReuse},
		{"an unknown pool", edit(turn("p", 2), func(c *core.Call) { c.Pool = "nowhere" }), core.OutcomeNotRun, core.ReasonNoTarget},
		{"more than the account's budget", edit(turn("r", 1), func(c *core.Call) { c.Account = "rich"; c.MaxTokens = 491 }), core.OutcomeNotRun, core.ReasonBudgetExhausted},
		{"all of the account's budget", edit(turn("r", 1), func(c *core.Call) { c.Account = "rich"; c.MaxTokens = 490 }), core.OutcomeRan, ""},
		{"the account's first program", edit(turn("f", 1), func(c *core.Call) { c.Account = "few" }), core.OutcomeRan, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.waitForOwners()
			at := c.procs["e0"]
			require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 1))).Outcome)
			require.Equal(t, core.OutcomeRan, c.reply(c.call(at, nonIdempotent("b", 1, "k"))).Outcome)
			f := c.reply(c.call(c.procs["e1"], tt.call))
			require.Equal(t, tt.outcome, f.Outcome, "%s", f.Reason)
			require.Equal(t, tt.reason, f.Reason)
			require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
		})
	}
}

func TestCallsOfProgramExecuteInSequence(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	third := c.call(c.procs["e2"], turn("p", 3))
	second := c.call(c.procs["e1"], turn("p", 2))
	c.advance(100 * core.Millisecond)
	require.Empty(t, c.procs["m1"].sidecar.started)
	first := c.call(c.procs["e0"], turn("p", 1))
	var attempts []core.AttemptID
	for _, req := range []core.RequestID{first, second, third} {
		f := c.reply(req)
		require.Equal(t, core.OutcomeRan, f.Outcome)
		attempts = append(attempts, f.Attempt)
	}
	require.Equal(t, c.procs["m1"].sidecar.started, attempts)
}

func TestRetryAtAnotherEntryJoinsOpenCall(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	sidecar := c.procs["t1"].sidecar
	sidecar.hold = true
	one := c.call(c.procs["e0"], nonIdempotent("p", 1, "k"))
	two := c.call(c.procs["e1"], nonIdempotent("p", 1, "k"))
	c.advance(100 * core.Millisecond)
	sidecar.release()
	require.Equal(t, c.reply(one), c.reply(two))
	require.Equal(t, 1, sidecar.executed["k"])
}

// TestSidecarRestartRetriesOnlyIdempotentCalls restarts the sidecar that
// executes a call. Only an idempotent call may be attempted again.
func TestSidecarRestartRetriesOnlyIdempotentCalls(t *testing.T) {
	tests := []struct {
		name     string
		call     core.Call
		outcome  core.Outcome
		executed int
	}{
		{"non-idempotent", nonIdempotent("p", 1, "k"), core.OutcomeUnknown, 0},
		{"idempotent", func() core.Call { b := nonIdempotent("p", 1, "k"); b.NonIdempotent = false; return b }(), core.OutcomeRan, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.waitForOwners()
			c.procs["t1"].sidecar.hold = true
			req := c.call(c.procs["e0"], tt.call)
			c.advance(50 * core.Millisecond)
			c.restart("t1")
			f := c.reply(req)
			require.Equal(t, tt.outcome, f.Outcome)
			require.Equal(t, tt.outcome, c.reply(c.call(c.procs["e1"], tt.call)).Outcome)
			require.Equal(t, tt.executed, c.procs["t1"].sidecar.executed["k"], "executions by the restarted sidecar")
		})
	}
}

// TestLostDispatchIsExecutedOnce drops the first dispatch of a call that must
// not be repeated and delivers it after a second attempt has executed the call.
// The owner's query leaves a tombstone at the sidecar, which makes another
// attempt safe.
func TestLostDispatchIsExecutedOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	lost := 0
	var late []core.Dispatch
	c.drop = func(_, _ core.VM, m core.Message) bool {
		d, ok := m.(core.Dispatch)
		if ok && lost == 0 {
			lost++
			late = append(late, d)
			return true
		}
		return false
	}
	owner := c.ownerOf("p")
	require.Equal(t, core.OutcomeRan, c.reply(c.call(owner, nonIdempotent("p", 1, "k"))).Outcome)
	c.deliver(c.procs["t1"], core.Recv{From: owner.node, Msg: late[0]})
	require.Equal(t, 1, c.procs["t1"].sidecar.executed["k"])
}

// TestRefusedAttemptsAreRetriedWithinBudget makes the only target refuse
// attempts. A few refusals are retried; if they continue, the call is refused
// within the retry budget.
func TestRefusedAttemptsAreRetriedWithinBudget(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	sidecar := c.procs["m1"].sidecar
	sidecar.refuseNext = 3
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", 1))).Outcome)
	sidecar.refuseNext = 1000
	f := c.reply(c.call(c.procs["e0"], turn("p", 2)))
	require.Equal(t, core.OutcomeNotRun, f.Outcome)
	require.Equal(t, core.ReasonOverload, f.Reason)
	require.NotZero(t, f.RetryAfter)
	require.Less(t, 1000-sidecar.refuseNext, 15, "more retries than the retry budget allows")
	sidecar.refuseNext = 0
	require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", 2))).Outcome)
}

// TestLateRefusalOfOldOwnerIsIgnored delivers the old owner's refusal of a call
// while the new owner's attempt is executing it. The caller must get the new
// owner's result.
func TestLateRefusalOfOldOwnerIsIgnored(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	owner := c.ownerOf("p")
	ingress := c.entryExcept(owner, nil)
	epoch := owner.entry.slotOf("p").ownerState.epoch
	owner.paused = true
	c.procs["t1"].sidecar.hold = true
	req := c.call(ingress, nonIdempotent("p", 1, "k"))
	c.waitFor("the new owner to execute the call", func() bool { return c.procs["t1"].sidecar.executed["k"] == 1 })
	c.deliver(ingress, core.Recv{From: owner.node, Msg: core.Finished{
		Req: req, Finish: refusal(core.ReasonLimitExceeded, 0), Epoch: epoch,
	}})
	require.Empty(t, c.replies[req], "refused a call that is being executed")
	c.procs["t1"].sidecar.release()
	require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
}

// TestLateForwardOfRefusedCallIsNotExecuted delivers a duplicate of a forward
// after its call was refused. The call must not be executed.
func TestLateForwardOfRefusedCallIsNotExecuted(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	owner := c.ownerOf("p")
	ingress := c.entryExcept(owner, nil)
	c.procs["t1"].sidecar.leaving = true
	c.publishVMList()
	var copied core.Forward
	c.observe = func(_ core.Node, m core.Message) {
		if f, ok := m.(core.Forward); ok {
			copied = f
		}
	}
	require.Equal(t, core.OutcomeNotRun, c.reply(c.call(ingress, nonIdempotent("p", 1, "k"))).Outcome)
	c.procs["t1"].sidecar.leaving = false
	c.publishVMList()
	c.deliver(owner, core.Recv{From: ingress.node, Msg: copied})
	c.advance(3 * core.Second)
	require.Zero(t, c.procs["t1"].sidecar.executed["k"])
}

func TestLeavingTargetGetsNoNewCalls(t *testing.T) {
	c := newCluster(t, 3)
	c.startSidecar("m2", "model", 1)
	c.publishVMList()
	c.waitForOwners()
	c.procs["m1"].sidecar.leaving = true
	c.publishVMList()
	for seq := uint64(1); seq <= 5; seq++ {
		require.Equal(t, core.OutcomeRan, c.reply(c.call(c.procs["e0"], turn("p", seq))).Outcome)
	}
	require.Empty(t, c.procs["m1"].sidecar.started)
}

// TestEndedProgramRefusesCalls ends a program with a sub-agent. Further calls
// of both must be refused, and the sidecar must be instructed to release the
// program.
func TestEndedProgramRefusesCalls(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	at := c.procs["e0"]
	c.reply(c.call(at, turn("p", 1)))
	c.reply(c.call(at, turn("p/a", 1)))
	require.Equal(t, core.OutcomeRan, c.reply(c.end(c.procs["e1"], "p")).Outcome)
	require.Contains(t, c.procs["m1"].sidecar.ended, core.ProgramID("p"))
	for _, id := range []core.ProgramID{"p", "p/a"} {
		f := c.reply(c.call(at, turn(id, 2)))
		require.Equal(t, core.OutcomeNotRun, f.Outcome)
		require.Equal(t, core.ReasonProgramEnded, f.Reason)
	}
}

func TestCallsBeyondLimitsAreRefused(t *testing.T) {
	c := newCluster(t, 1)
	c.waitForOwners()
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

// TestOverloadShedsNewProgramsOnly fills the pool's queue: new programs are
// refused, programs in progress continue.
func TestOverloadShedsNewProgramsOnly(t *testing.T) {
	c := newCluster(t, 1)
	c.waitForOwners()
	at := c.procs["e0"]
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 1))).Outcome)
	c.procs["m1"].sidecar.load.Waiting = 100
	c.advance(50 * core.Millisecond)
	f := c.reply(c.call(at, turn("new", 1)))
	require.Equal(t, core.ReasonOverload, f.Reason)
	require.NotZero(t, f.RetryAfter)
	require.Equal(t, core.OutcomeRan, c.reply(c.call(at, turn("p", 2))).Outcome)
}

// TestEscrowNeverExceedsAccountBudget spends an account's budget from several
// slots while responses to compare-and-swaps are lost. The account must never
// spend more than its budget.
func TestEscrowNeverExceedsAccountBudget(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	spent := uint64(0)
	for i := range 40 {
		if i%3 == 0 {
			c.loseSwapResults = 1
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
	require.Greater(t, spent, uint64(250), "most of the budget must be usable")
}

func TestIdleProgramExpires(t *testing.T) {
	c := newCluster(t, 1)
	c.set.Programs[0].MaxIdle = 3e9
	c.waitForOwners()
	c.reply(c.call(c.procs["e0"], turn("p", 1)))
	c.advance(2 * core.Second)
	require.Empty(t, c.procs["m1"].sidecar.ended)
	c.advance(3 * core.Second)
	require.Contains(t, c.procs["m1"].sidecar.ended, core.ProgramID("p"))
}

// TestSubAgentReservationsCountAgainstRootBudget runs two sub-agents whose
// reservations together exceed their root's budget.
func TestSubAgentReservationsCountAgainstRootBudget(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	c.procs["m1"].sidecar.hold = true
	one, two := turn("p/a", 1), turn("p/b", 1)
	one.MaxTokens, two.MaxTokens = 590, 590
	first := c.call(c.procs["e0"], one)
	c.advance(50 * core.Millisecond)
	f := c.reply(c.call(c.procs["e1"], two))
	require.Equal(t, core.ReasonBudgetExhausted, f.Reason)
	c.procs["m1"].sidecar.release()
	require.Equal(t, core.OutcomeRan, c.reply(first).Outcome)
}

// TestEndProgramIsResent drops the first EndProgram message of a program. The
// owner must send it again.
func TestEndProgramIsResent(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	c.reply(c.call(c.procs["e0"], turn("p", 1)))
	lost := 0
	c.drop = func(_, _ core.VM, m core.Message) bool {
		_, end := m.(core.EndProgram)
		if end {
			lost++
		}
		return end && lost == 1
	}
	require.Equal(t, core.OutcomeRan, c.reply(c.end(c.procs["e1"], "p")).Outcome)
	require.Empty(t, c.procs["m1"].sidecar.ended)
	c.advance(5 * core.Second)
	require.Contains(t, c.procs["m1"].sidecar.ended, core.ProgramID("p"))
}

// BenchmarkTurn measures one turn of a program through three entries, a replica
// and a fake sidecar: all reducer steps and the test's message delivery.
func BenchmarkTurn(b *testing.B) {
	c := newCluster(&testing.T{}, 3)
	c.check.Panic = false
	c.set.Programs[0] = config.ProgramKind{Name: "kind"}
	c.waitForOwners()
	call := turn("p", 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		call.Program = core.ProgramID(strconv.Itoa(i))
		c.call(c.procs["e0"], call)
	}
}

// TestRefusalAfterLostAttemptIsUnknownOutcome loses the first attempt of an
// idempotent call and refuses all later ones. The call may have been executed,
// so it must not be reported as not run.
func TestRefusalAfterLostAttemptIsUnknownOutcome(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	c.procs["m1"].sidecar.loseNext = 1
	c.procs["m1"].sidecar.refuseNext = 1000
	f := c.reply(c.call(c.procs["e0"], turn("p", 1)))
	require.Equal(t, core.OutcomeUnknown, f.Outcome, "%s", f.Reason)
	p := c.ownerOf("p").entry.slotOf("p").snapshot.programs["p"]
	require.EqualValues(t, 20, p.Spent, "the reservation of the lost attempt counts as spent")
	require.Zero(t, p.Reserved)
}

// TestCallTimesOutBeforeDispatchIsReplicated lets a call time out while a paused
// replica keeps its dispatch record from being acknowledged. The call must not
// be executed later.
func TestCallTimesOutBeforeDispatchIsReplicated(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	owner := c.ownerOf("p")
	c.replicaOf("p").paused = true
	c.kvDown = true
	call := nonIdempotent("p", 1, "k")
	call.Timeout = 200 * core.Millisecond
	req := c.call(owner, call)
	c.advance(300 * core.Millisecond)
	require.Len(t, c.replies[req], 1)
	require.Equal(t, core.OutcomeNotRun, c.replies[req][0].Outcome)
	require.Equal(t, core.ReasonTimeout, c.replies[req][0].Reason)
	c.kvDown = false
	c.advance(5 * core.Second)
	require.Zero(t, c.procs["t1"].sidecar.executed["k"])
	require.Equal(t, core.OutcomeRan, c.reply(c.call(owner, nonIdempotent("p", 1, "k"))).Outcome)
}

// TestTargetLeavingBeforeDispatchGetsNoCall marks a target as leaving after a
// call was placed on it and before the dispatch record is acknowledged. The call
// must go to another target.
func TestTargetLeavingBeforeDispatchGetsNoCall(t *testing.T) {
	c := newCluster(t, 3)
	c.waitForOwners()
	c.drop = func(_, _ core.VM, m core.Message) bool {
		_, ack := m.(core.ReplicaAck)
		return ack
	}
	req := c.call(c.procs["e0"], turn("p", 1))
	c.startSidecar("m2", "model", 1)
	c.procs["m1"].sidecar.leaving = true
	c.publishVMList()
	c.drop = nil
	require.Equal(t, core.OutcomeRan, c.reply(req).Outcome)
	require.Empty(t, c.procs["m1"].sidecar.started)
	require.Len(t, c.procs["m2"].sidecar.started, 1)
}
