package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestDuplicateDispatchRunsOnce(t *testing.T) {
	b := newBench(t, 1)
	d := dispatch(1, "a", 10)
	b.recv(home1, d)
	b.recv(home1, d)
	require.Equal(t, core.AttemptRunning, b.result().State)
	b.recv(home1, dispatch(2, "b", 10))
	require.Equal(t, core.AttemptWaiting, b.result().State)
	b.finish(d.Attempt)
	b.recv(home2, d)
	require.Equal(t, core.AttemptDone, b.result().State)
	b.recv(home1, core.AckResult{Attempt: d.Attempt})
	dropped := effects[core.DropAnswer](b.after(2 * core.Minute))
	require.Equal(t, []core.DropAnswer{{Attempt: d.Attempt}}, dropped)
	b.recv(home1, d)
	require.Equal(t, core.AttemptLost, b.result().State, "a forgotten attempt may have run")
	require.Equal(t, 1, b.ran[d.Attempt])
}

func TestQueryOfUnknownAttemptRefusesItForEver(t *testing.T) {
	b := newBench(t, 1)
	d := dispatch(1, "a", 10)
	b.recv(home2, core.QueryAttempt{Slot: 3, Epoch: two, Attempt: d.Attempt, Target: self})
	require.Equal(t, core.AttemptRefused, b.result().State)
	d.Epoch = two
	for range 3 {
		b.recv(home1, d)
		require.Equal(t, core.AttemptRefused, b.result().State)
		b.after(core.Minute)
	}
	b.recv(home1, d)
	require.NotEqual(t, core.AttemptRunning, b.result().State)
	require.Zero(t, b.ran[d.Attempt])
}

func TestFences(t *testing.T) {
	raise := core.QueryAttempt{Slot: 3, Epoch: two, Attempt: attemptID(99), Target: self}
	other := dispatch(1, "a", 10)
	other.Target.Inc--
	elsewhere := dispatch(1, "a", 10)
	elsewhere.Slot = 4
	tests := []struct {
		name   string
		d      core.Dispatch
		state  core.AttemptState
		reason core.Reason
	}{
		{"lower epoch", dispatch(1, "a", 10), core.AttemptRefused, core.ReasonStaleEpoch},
		{"another life may have run it", other, core.AttemptLost, core.ReasonTargetRestarted},
		{"another slot's fence", elsewhere, core.AttemptRunning, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1)
			b.recv(home2, raise)
			b.recv(home1, tt.d)
			require.Equal(t, tt.state, b.result().State)
			require.Equal(t, tt.reason, b.result().Reason)
			require.Equal(t, tt.state == core.AttemptRunning, b.ran[tt.d.Attempt] == 1)
		})
	}
}

func TestNewHomeGetsTheResult(t *testing.T) {
	b := newBench(t, 1)
	b.recv(home1, dispatch(1, "a", 10))
	b.recv(home2, core.QueryAttempt{Slot: 3, Epoch: two, Attempt: attemptID(1), Target: self})
	require.Equal(t, core.AttemptRunning, b.result().State)
	b.recv(home1, core.QueryAttempt{Slot: 3, Epoch: one, Attempt: attemptID(1), Target: self})
	b.finish(attemptID(1))
	for _, send := range effects[core.Send](b.out) {
		require.Equal(t, home2, send.To, "a home with an old epoch does not become the home again")
	}
	sends := effects[core.Send](b.after(3 * core.Second))
	require.Len(t, sends, 1, "the result is repeated until it is acknowledged")
	b.recv(home2, core.AckResult{Attempt: attemptID(1)})
	require.Empty(t, effects[core.Send](b.after(10*core.Second)))
}

func TestCancel(t *testing.T) {
	b := newBench(t, 1)
	b.recv(home1, dispatch(1, "a", 10))
	b.recv(home1, dispatch(2, "b", 10))
	cancel := func(n uint64) core.Result {
		b.recv(home1, core.CancelAttempt{Slot: 3, Epoch: one, Attempt: attemptID(n)})
		if n == 1 {
			require.Len(t, effects[core.AbortTarget](b.out), 1)
			b.step(core.TargetFailed{Attempt: attemptID(1), Sent: true})
		}
		return b.result()
	}
	require.Equal(t, core.AttemptRefused, cancel(2).State)
	require.Equal(t, core.AttemptLost, cancel(1).State)
	require.Equal(t, core.AttemptRefused, cancel(3).State)
	b.recv(home1, dispatch(3, "c", 10))
	require.Equal(t, core.ReasonCanceled, b.result().Reason)
	require.Zero(t, b.ran[attemptID(2)]+b.ran[attemptID(3)])
}
