package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestFirstTokenIsDecidedOnce(t *testing.T) {
	b := newBench(t, 1)
	d := dispatch(1, "a", 10)
	b.recv(home1, d)
	b.now = b.now.Add(30 * core.Millisecond)
	require.Empty(t, effects[core.Decision](b.step(core.TargetProgress{Attempt: d.Attempt})))
	first := effects[core.Decision](b.step(core.TargetProgress{Attempt: d.Attempt, Tokens: 1}))
	require.Len(t, first, 1)
	require.Equal(t, "first_token", first[0].Step)
	require.Equal(t, 30*core.Millisecond, first[0].Wait)
	require.Empty(t, effects[core.Decision](b.step(core.TargetProgress{Attempt: d.Attempt, Tokens: 1})))
}
