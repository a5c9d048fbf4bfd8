package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestFailures(t *testing.T) {
	tests := []struct {
		name string
		sent bool
		want core.AttemptState
	}{
		{"never sent did not run", false, core.AttemptRefused},
		{"sent may have run", true, core.AttemptLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1)
			d := dispatch(1, "a", 10)
			d.Call.NonIdempotent = true
			b.recv(home1, d)
			b.step(core.TargetFailed{Attempt: d.Attempt, Sent: tt.sent, Reason: core.ReasonTargetFailed})
			require.Equal(t, tt.want, b.result().State)
			require.Equal(t, core.ReasonTargetFailed, b.result().Reason)
			b.recv(home1, d)
			require.Equal(t, 1, b.ran[d.Attempt])
		})
	}
}

func TestShortAnswerOfNonIdempotentCallTravels(t *testing.T) {
	for _, nonIdempotent := range []bool{true, false} {
		b := newBench(t, 1)
		d := dispatch(1, "a", 10)
		d.Call.NonIdempotent = nonIdempotent
		b.recv(home1, d)
		require.Equal(t, nonIdempotent, b.finish(d.Attempt).Answer != nil)
	}
}

func TestQueueBoundShedsNewProgramsFirst(t *testing.T) {
	b := newBench(t, 1)
	for n := range uint64(1 + newPerPlace) {
		b.recv(home1, dispatch(n, core.ProgramID(rune('a'+n)), 10))
	}
	b.recv(home1, dispatch(20, "new", 10))
	require.Equal(t, core.ReasonOverload, b.result().Reason)
	require.Positive(t, b.result().RetryAfter)
	turn := dispatch(21, "old", 10)
	turn.Turns, turn.Call.Seq = 3, 4
	b.recv(home1, turn)
	require.Equal(t, core.AttemptWaiting, b.result().State)
	require.Zero(t, b.ran[attemptID(20)])
}

func TestCacheAdmitsProgramsInProgressFirst(t *testing.T) {
	b := newBench(t, 2)
	b.recv(home1, dispatch(1, "a", 8_000))
	b.finish(attemptID(1))
	b.recv(home1, dispatch(2, "b", 5_000))
	require.Equal(t, core.AttemptWaiting, b.result().State, "b does not fit beside a")
	turn := dispatch(3, "a", 8_500)
	turn.Call.Seq = 2
	b.recv(home1, turn)
	require.Equal(t, core.AttemptRunning, b.result().State)
	b.finish(attemptID(3))
	b.recv(home1, core.EndProgram{Slot: 3, Epoch: one, Program: "a"})
	require.Equal(t, 1, b.ran[attemptID(2)], "the end of a makes room")
}

func TestEndReleasesTheTree(t *testing.T) {
	b := newBench(t, 4)
	b.recv(home1, dispatch(1, "a", 100))
	b.recv(home1, dispatch(2, "a/sub", 100))
	b.recv(home1, dispatch(3, "ab", 100))
	b.finish(attemptID(1))
	b.finish(attemptID(3))
	end := core.EndProgram{Slot: 3, Epoch: one, Program: "a"}
	released := effects[core.ReleaseCache](b.recv(home1, end))
	require.Equal(t, []core.ReleaseCache{{Program: "a", Digests: []uint64{1, 1001}}}, released)
	require.Len(t, effects[core.AbortTarget](b.out), 1, "the sub-agent ends with its root")
	b.step(core.TargetFailed{Attempt: attemptID(2), Sent: true})
	require.Len(t, effects[core.ReleaseCache](b.out), 1)
	require.Equal(t, 1, b.s.Status().Programs)
	require.EqualValues(t, 110, b.s.Status().Load.CachePinned)
	b.recv(home1, dispatch(4, "a/late", 100))
	require.Equal(t, core.ReasonProgramEnded, b.result().Reason)
}

func TestExpiryAndReconciliation(t *testing.T) {
	b := newBench(t, 4)
	b.recv(home1, dispatch(1, "a", 100))
	b.finish(attemptID(1))
	require.Empty(t, effects[core.ReleaseCache](b.after(4*core.Minute)))
	require.Len(t, effects[core.ReleaseCache](b.after(2*core.Minute)), 1)
	require.Zero(t, b.s.Status().Load.CachePinned)

	b.step(core.CacheEvent{Sequence: 1, Stored: []uint64{5}})
	require.Empty(t, effects[core.ListCache](b.out))
	b.step(core.CacheEvent{Sequence: 3})
	require.Len(t, effects[core.ListCache](b.out), 1, "a gap asks for a listing")
	b.step(core.CacheListing{Digests: []uint64{1, 77}})
	again := effects[core.ReleaseCache](b.out)
	require.Equal(t, []core.ReleaseCache{{Program: "a", Digests: []uint64{1}}}, again, "a lost release is repeated")
	require.Empty(t, effects[core.ListCache](b.after(pendingPeriod-core.Second)))
	require.Len(t, effects[core.ListCache](b.after(core.Second)), 1, "what is pending is looked at sooner")
	b.now = b.now.Add(orphanAfter)
	b.step(core.CacheListing{Digests: []uint64{77}})
	require.Equal(t, []core.ReleaseCache{{Digests: []uint64{77}}}, effects[core.ReleaseCache](b.out))
}

func TestDrain(t *testing.T) {
	b := newBench(t, 1)
	b.recv(home1, dispatch(1, "a", 10))
	b.recv(home1, dispatch(2, "b", 10))
	b.step(core.DrainRequested{})
	require.Equal(t, core.ReasonDraining, b.result().Reason)
	require.Empty(t, effects[core.Stopped](b.out))
	b.recv(home1, dispatch(3, "c", 10))
	require.Equal(t, core.ReasonDraining, b.result().Reason)
	require.Equal(t, core.AttemptDone, b.finish(attemptID(1)).State)
	for n := range uint64(3) {
		b.recv(home1, core.AckResult{Attempt: attemptID(n + 1)})
	}
	require.Empty(t, effects[core.Stopped](b.out), "the edge may not have read the answer")
	require.Empty(t, effects[core.Stopped](b.after(drainGrace-1)))
	require.Len(t, effects[core.Stopped](b.after(1)), 1)
	require.Equal(t, 1, len(b.ran))
}

func TestDrainKeepsAnswersUntilTheHomeHasThem(t *testing.T) {
	b := newBench(t, 1)
	d := dispatch(1, "a", 10)
	d.Call.Timeout = 30 * core.Second
	b.recv(home1, d)
	b.step(core.DrainRequested{})
	b.finish(attemptID(1))
	require.Empty(t, effects[core.Stopped](b.after(2*core.Minute)))
	b.recv(home1, core.AckResult{Attempt: attemptID(1)})
	require.Empty(t, effects[core.Stopped](b.after(drainGrace-1)))
	require.Len(t, effects[core.Stopped](b.after(1)), 1)
}

func TestLeavingVMRefusesNewWork(t *testing.T) {
	b := newBench(t, 1)
	b.recv(home1, core.Hello{})
	b.step(core.VMList{VMs: []core.VMInfo{{VM: self.VM, Leaving: true}}})
	report := effects[core.Send](b.out)[0].Msg.(core.LoadReport)
	require.True(t, report.Load.Draining)
	b.recv(home1, dispatch(1, "a", 10))
	require.Equal(t, core.ReasonDraining, b.result().Reason)
}

func TestTimeoutOfWaitingAndRunning(t *testing.T) {
	b := newBench(t, 1)
	for n := range uint64(2) {
		d := dispatch(n+1, core.ProgramID(rune('a'+n)), 10)
		d.Call.Timeout = core.Second
		b.recv(home1, d)
	}
	b.after(2 * core.Second)
	require.Equal(t, core.ReasonTimeout, b.result().Reason)
	require.Len(t, effects[core.AbortTarget](b.out), 1)
	b.step(core.TargetFailed{Attempt: attemptID(1), Sent: true})
	require.Equal(t, core.AttemptLost, b.result().State)
	require.Zero(t, b.ran[attemptID(2)])
}

func TestListenersGetReportsUntilTheyFallSilent(t *testing.T) {
	b := newBench(t, 1)
	b.recv(home1, core.Hello{})
	b.after(core.Second)
	require.Len(t, effects[core.Send](b.out), 1)
	b.after(20 * core.Second)
	require.Empty(t, effects[core.Send](b.out))
	require.Zero(t, b.s.Status().Listeners)
}
