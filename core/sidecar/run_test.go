package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestFirstTokenDecisionIsRecordedOnce(t *testing.T) {
	h := newHarness(t, 1)
	d := dispatch(1, "a", 10)
	h.receive(owner1, d)
	h.now = h.now.Add(30 * core.Millisecond)
	require.Empty(t, effectsOf[core.Decision](h.step(core.TargetProgress{Attempt: d.Attempt})))
	first := effectsOf[core.Decision](h.step(core.TargetProgress{Attempt: d.Attempt, Tokens: 1}))
	require.Len(t, first, 1)
	require.Equal(t, "first_token", first[0].Step)
	require.Equal(t, 30*core.Millisecond, first[0].Wait)
	require.Empty(t, effectsOf[core.Decision](h.step(core.TargetProgress{Attempt: d.Attempt, Tokens: 1})))
}
