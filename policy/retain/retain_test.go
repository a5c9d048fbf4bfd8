package retain

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestPinTimeFollowsPolicy(t *testing.T) {
	const maxPinTime = 10 * core.Minute
	tests := []struct {
		name      string
		idleTimes int
		ended     int
		want      core.Duration
	}{
		{None, 100, 0, 0},
		{Always, 100, 0, maxPinTime},
		{Learned, 5, 0, maxPinTime},
		{Learned, 100, 0, 1024 * core.Millisecond},
		{Learned, 0, 100, maxPinTime},
	}
	for _, tt := range tests {
		p, err := New(tt.name, maxPinTime, 0)
		require.NoError(t, err)
		for range tt.idleTimes {
			p.Observe("chat", 700*core.Millisecond, true)
		}
		for range tt.ended {
			p.Observe("chat", core.Millisecond, false)
		}
		require.Equal(t, tt.want, p.PinTime("chat"), "%+v", tt)
		if tt.name == Learned {
			require.Equal(t, maxPinTime, p.PinTime("other"), "each kind has a histogram of its own")
		}
	}
	_, err := New("some", maxPinTime, 0)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
}

func TestHigherWeightPinsLonger(t *testing.T) {
	pinTime := func(weight float64) core.Duration {
		p, err := New(Learned, core.Hour, weight)
		require.NoError(t, err)
		for i := range 300 {
			idleTime := 700 * core.Millisecond
			if i%50 == 0 {
				idleTime = 30 * core.Second
			}
			p.Observe("chat", idleTime, true)
		}
		return p.PinTime("chat")
	}
	require.Equal(t, 1024*core.Millisecond, pinTime(16))
	require.Greater(t, pinTime(80), 30*core.Second)
}
