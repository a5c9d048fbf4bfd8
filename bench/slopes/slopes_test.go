package slopes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestFitComputesLineAndGrowth(t *testing.T) {
	line := Slope{Sizes: []float64{1, 2, 4}, Values: []float64{13, 16, 22}}
	line.fit()
	require.InDelta(t, 3, line.PerUnit, 1e-9)
	require.InDelta(t, 10, line.Fixed, 1e-9)
	require.InDelta(t, 1, line.Growth, 1e-9)
	square := Slope{Sizes: []float64{1, 2, 4}, Values: []float64{1, 4, 16}}
	square.fit()
	require.InDelta(t, 2, square.Growth, 1e-9)
}

func TestMetersCountCallsOfBothRoles(t *testing.T) {
	c := newCluster(1, domains, domains)
	c.reset()
	require.Zero(t, c.runPrograms(20, 2, 2*core.Second))
	for role, m := range c.roles {
		require.NotZero(t, m.messages, role)
		require.Greater(t, m.bytes, m.messages, role)
		require.NotZero(t, m.reducerTime, role)
	}
}
