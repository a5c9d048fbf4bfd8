package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestTargetFailureIsLostOnlyIfSent(t *testing.T) {
	tests := []struct {
		name string
		sent bool
		want core.AttemptState
	}{
		{"not sent, so not executed", false, core.AttemptRefused},
		{"sent, so may have executed", true, core.AttemptLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 1)
			d := dispatch(1, "a", 10)
			d.Call.NonIdempotent = true
			h.receive(owner1, d)
			h.step(core.TargetFailed{Attempt: d.Attempt, Sent: tt.sent, Reason: core.ReasonTargetFailed})
			require.Equal(t, tt.want, h.lastResult().State)
			require.Equal(t, core.ReasonTargetFailed, h.lastResult().Reason)
			h.receive(owner1, d)
			require.Equal(t, 1, h.starts[d.Attempt])
		})
	}
}

func TestResultInlinesShortAnswerOfNonIdempotentCall(t *testing.T) {
	for _, nonIdempotent := range []bool{true, false} {
		h := newHarness(t, 1)
		d := dispatch(1, "a", 10)
		d.Call.NonIdempotent = nonIdempotent
		h.receive(owner1, d)
		require.Equal(t, nonIdempotent, h.finishAttempt(d.Attempt).Answer != nil)
	}
}

func TestFullQueueRefusesNewProgramsFirst(t *testing.T) {
	h := newHarness(t, 1)
	for n := range uint64(1 + newProgramQueueFactor) {
		h.receive(owner1, dispatch(n, core.ProgramID(rune('a'+n)), 10))
	}
	h.receive(owner1, dispatch(20, "new", 10))
	require.Equal(t, core.ReasonOverload, h.lastResult().Reason)
	require.Positive(t, h.lastResult().RetryAfter)
	turn := dispatch(21, "old", 10)
	turn.Turns, turn.Call.Seq = 3, 4
	h.receive(owner1, turn)
	require.Equal(t, core.AttemptWaiting, h.lastResult().State)
	require.Zero(t, h.starts[attemptID(20)])
}

func TestCacheAdmitsProgramsInProgressFirst(t *testing.T) {
	h := newHarness(t, 2)
	h.receive(owner1, dispatch(1, "a", 8_000))
	h.finishAttempt(attemptID(1))
	h.receive(owner1, dispatch(2, "b", 5_000))
	require.Equal(t, core.AttemptWaiting, h.lastResult().State, "b does not fit in the cache together with a")
	turn := dispatch(3, "a", 8_500)
	turn.Call.Seq = 2
	h.receive(owner1, turn)
	require.Equal(t, core.AttemptRunning, h.lastResult().State)
	h.finishAttempt(attemptID(3))
	h.receive(owner1, core.EndProgram{Slot: 3, Epoch: epoch1, Program: "a"})
	require.Equal(t, 1, h.starts[attemptID(2)], "ending program a frees the memory that b needs")
}

func TestEndProgramReleasesCacheOfItsTree(t *testing.T) {
	h := newHarness(t, 4)
	h.receive(owner1, dispatch(1, "a", 100))
	h.receive(owner1, dispatch(2, "a/sub", 100))
	h.receive(owner1, dispatch(3, "ab", 100))
	h.finishAttempt(attemptID(1))
	h.finishAttempt(attemptID(3))
	end := core.EndProgram{Slot: 3, Epoch: epoch1, Program: "a"}
	released := effectsOf[core.ReleaseCache](h.receive(owner1, end))
	require.Equal(t, []core.ReleaseCache{{Program: "a", Digests: []uint64{1, 1001}}}, released)
	require.Len(t, effectsOf[core.AbortTarget](h.out), 1, "the running attempt of the sub-agent is aborted with its root")
	h.step(core.TargetFailed{Attempt: attemptID(2), Sent: true})
	require.Len(t, effectsOf[core.ReleaseCache](h.out), 1)
	require.Equal(t, 1, h.s.Status().Programs)
	require.EqualValues(t, 110, h.s.Status().Load.CachePinned)
	h.receive(owner1, dispatch(4, "a/late", 100))
	require.Equal(t, core.ReasonProgramEnded, h.lastResult().Reason)
}

func TestIdlePinsExpireAndLostReleasesAreRepeated(t *testing.T) {
	h := newHarness(t, 4)
	h.receive(owner1, dispatch(1, "a", 100))
	h.finishAttempt(attemptID(1))
	require.Empty(t, effectsOf[core.ReleaseCache](h.advance(4*core.Minute)))
	require.Len(t, effectsOf[core.ReleaseCache](h.advance(2*core.Minute)), 1)
	require.Zero(t, h.s.Status().Load.CachePinned)

	h.step(core.CacheEvent{Sequence: 1, Stored: []uint64{5}})
	require.Empty(t, effectsOf[core.ListCache](h.out))
	h.step(core.CacheEvent{Sequence: 3})
	require.Len(t, effectsOf[core.ListCache](h.out), 1, "a gap in the event sequence requests a listing")
	h.step(core.CacheListing{Digests: []uint64{1, 77}})
	again := effectsOf[core.ReleaseCache](h.out)
	require.Equal(t, []core.ReleaseCache{{Program: "a", Digests: []uint64{1}}}, again, "a release that the listing shows as lost is repeated")
	require.Empty(t, effectsOf[core.ListCache](h.advance(pendingAuditPeriod-core.Second)))
	require.Len(t, effectsOf[core.ListCache](h.advance(core.Second)), 1, "unconfirmed releases shorten the listing period")
	h.now = h.now.Add(orphanGracePeriod)
	h.step(core.CacheListing{Digests: []uint64{77}})
	require.Equal(t, []core.ReleaseCache{{Digests: []uint64{77}}}, effectsOf[core.ReleaseCache](h.out))
}

func TestDrainRefusesWaitingAndFinishesRunning(t *testing.T) {
	h := newHarness(t, 1)
	h.receive(owner1, dispatch(1, "a", 10))
	h.receive(owner1, dispatch(2, "b", 10))
	h.step(core.DrainRequested{})
	require.Equal(t, core.ReasonDraining, h.lastResult().Reason)
	require.Empty(t, effectsOf[core.Stopped](h.out))
	h.receive(owner1, dispatch(3, "c", 10))
	require.Equal(t, core.ReasonDraining, h.lastResult().Reason)
	require.Equal(t, core.AttemptDone, h.finishAttempt(attemptID(1)).State)
	for n := range uint64(3) {
		h.receive(owner1, core.AckResult{Attempt: attemptID(n + 1)})
	}
	require.Empty(t, effectsOf[core.Stopped](h.out), "the ingress entry may not have read the answer yet")
	require.Empty(t, effectsOf[core.Stopped](h.advance(drainGrace-1)))
	require.Len(t, effectsOf[core.Stopped](h.advance(1)), 1)
	require.Equal(t, 1, len(h.starts))
}

func TestDrainKeepsAnswersUntilOwnerAcknowledges(t *testing.T) {
	h := newHarness(t, 1)
	d := dispatch(1, "a", 10)
	d.Call.Timeout = 30 * core.Second
	h.receive(owner1, d)
	h.step(core.DrainRequested{})
	h.finishAttempt(attemptID(1))
	require.Empty(t, effectsOf[core.Stopped](h.advance(2*core.Minute)))
	h.receive(owner1, core.AckResult{Attempt: attemptID(1)})
	require.Empty(t, effectsOf[core.Stopped](h.advance(drainGrace-1)))
	require.Len(t, effectsOf[core.Stopped](h.advance(1)), 1)
}

func TestLeavingVMRefusesNewWork(t *testing.T) {
	h := newHarness(t, 1)
	h.receive(owner1, core.Hello{})
	h.step(core.VMList{VMs: []core.VMInfo{{VM: self.VM, Leaving: true}}})
	report := effectsOf[core.Send](h.out)[0].Msg.(core.LoadReport)
	require.True(t, report.Load.Draining)
	h.receive(owner1, dispatch(1, "a", 10))
	require.Equal(t, core.ReasonDraining, h.lastResult().Reason)
}

func TestTimeoutRefusesWaitingAndAbortsRunning(t *testing.T) {
	h := newHarness(t, 1)
	for n := range uint64(2) {
		d := dispatch(n+1, core.ProgramID(rune('a'+n)), 10)
		d.Call.Timeout = core.Second
		h.receive(owner1, d)
	}
	h.advance(2 * core.Second)
	require.Equal(t, core.ReasonTimeout, h.lastResult().Reason)
	require.Len(t, effectsOf[core.AbortTarget](h.out), 1)
	h.step(core.TargetFailed{Attempt: attemptID(1), Sent: true})
	require.Equal(t, core.AttemptLost, h.lastResult().State)
	require.Zero(t, h.starts[attemptID(2)])
}

func TestLoadReportsStopWithoutRepeatedHello(t *testing.T) {
	h := newHarness(t, 1)
	h.receive(owner1, core.Hello{})
	h.advance(core.Second)
	require.Len(t, effectsOf[core.Send](h.out), 1)
	h.advance(20 * core.Second)
	require.Empty(t, effectsOf[core.Send](h.out))
	require.Zero(t, h.s.Status().Listeners)
}
