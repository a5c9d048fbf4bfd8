package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestDuplicateDispatchStartsOnce(t *testing.T) {
	h := newHarness(t, 1)
	d := dispatch(1, "a", 10)
	h.receive(owner1, d)
	h.receive(owner1, d)
	require.Equal(t, core.AttemptRunning, h.lastResult().State)
	h.receive(owner1, dispatch(2, "b", 10))
	require.Equal(t, core.AttemptWaiting, h.lastResult().State)
	h.finishAttempt(d.Attempt)
	h.receive(owner2, d)
	require.Equal(t, core.AttemptDone, h.lastResult().State)
	h.receive(owner1, core.AckResult{Attempt: d.Attempt})
	dropped := effectsOf[core.DropAnswer](h.advance(2 * core.Minute))
	require.Equal(t, []core.DropAnswer{{Attempt: d.Attempt}}, dropped)
	h.receive(owner1, d)
	require.Equal(t, core.AttemptLost, h.lastResult().State, "an attempt that was evicted from the table may have executed")
	require.Equal(t, 1, h.starts[d.Attempt])
}

func TestQueryOfUnknownAttemptRefusesItPermanently(t *testing.T) {
	h := newHarness(t, 1)
	d := dispatch(1, "a", 10)
	h.receive(owner2, core.QueryAttempt{Slot: 3, Epoch: epoch2, Attempt: d.Attempt, Target: self})
	require.Equal(t, core.AttemptRefused, h.lastResult().State)
	d.Epoch = epoch2
	for range 3 {
		h.receive(owner1, d)
		require.Equal(t, core.AttemptRefused, h.lastResult().State)
		h.advance(core.Minute)
	}
	h.receive(owner1, d)
	require.NotEqual(t, core.AttemptRunning, h.lastResult().State)
	require.Zero(t, h.starts[d.Attempt])
}

func TestDispatchOfStaleEpochOrOtherIncarnationIsNotStarted(t *testing.T) {
	raiseFence := core.QueryAttempt{Slot: 3, Epoch: epoch2, Attempt: attemptID(99), Target: self}
	otherIncarnation := dispatch(1, "a", 10)
	otherIncarnation.Target.Inc--
	otherSlot := dispatch(1, "a", 10)
	otherSlot.Slot = 4
	tests := []struct {
		name   string
		d      core.Dispatch
		state  core.AttemptState
		reason core.Reason
	}{
		{"lower epoch", dispatch(1, "a", 10), core.AttemptRefused, core.ReasonStaleEpoch},
		{"another incarnation may have executed it", otherIncarnation, core.AttemptLost, core.ReasonTargetRestarted},
		{"another slot's fence", otherSlot, core.AttemptRunning, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.receive(owner2, raiseFence)
			h.receive(owner1, tt.d)
			require.Equal(t, tt.state, h.lastResult().State)
			require.Equal(t, tt.reason, h.lastResult().Reason)
			require.Equal(t, tt.state == core.AttemptRunning, h.starts[tt.d.Attempt] == 1)
		})
	}
}

func TestResultGoesToNewOwnerAfterQuery(t *testing.T) {
	h := newHarness(t, 1)
	h.receive(owner1, dispatch(1, "a", 10))
	h.receive(owner2, core.QueryAttempt{Slot: 3, Epoch: epoch2, Attempt: attemptID(1), Target: self})
	require.Equal(t, core.AttemptRunning, h.lastResult().State)
	h.receive(owner1, core.QueryAttempt{Slot: 3, Epoch: epoch1, Attempt: attemptID(1), Target: self})
	h.finishAttempt(attemptID(1))
	for _, send := range effectsOf[core.Send](h.out) {
		require.Equal(t, owner2, send.To, "a query with a stale epoch does not change the attempt's owner")
	}
	sends := effectsOf[core.Send](h.advance(3 * core.Second))
	require.Len(t, sends, 1, "the result is repeated until it is acknowledged")
	h.receive(owner2, core.AckResult{Attempt: attemptID(1)})
	require.Empty(t, effectsOf[core.Send](h.advance(10*core.Second)))
}

func TestCancelRefusesWaitingAndAbortsRunning(t *testing.T) {
	h := newHarness(t, 1)
	h.receive(owner1, dispatch(1, "a", 10))
	h.receive(owner1, dispatch(2, "b", 10))
	cancel := func(n uint64) core.Result {
		h.receive(owner1, core.CancelAttempt{Slot: 3, Epoch: epoch1, Attempt: attemptID(n)})
		if n == 1 {
			require.Len(t, effectsOf[core.AbortTarget](h.out), 1)
			h.step(core.TargetFailed{Attempt: attemptID(1), Sent: true})
		}
		return h.lastResult()
	}
	require.Equal(t, core.AttemptRefused, cancel(2).State)
	require.Equal(t, core.AttemptLost, cancel(1).State)
	require.Equal(t, core.AttemptRefused, cancel(3).State)
	h.receive(owner1, dispatch(3, "c", 10))
	require.Equal(t, core.ReasonCanceled, h.lastResult().Reason)
	require.Zero(t, h.starts[attemptID(2)]+h.starts[attemptID(3)])
}
