package retain

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestRetain(t *testing.T) {
	const longest = 10 * core.Minute
	tests := []struct {
		name   string
		pauses int
		ended  int
		want   core.Duration
	}{
		{None, 100, 0, 0},
		{Always, 100, 0, longest},
		{Learned, 5, 0, longest},
		{Learned, 100, 0, 1024 * core.Millisecond},
		{Learned, 0, 100, longest},
	}
	for _, tt := range tests {
		p, err := New(tt.name, longest, 0)
		require.NoError(t, err)
		for range tt.pauses {
			p.Observe("chat", 700*core.Millisecond, true)
		}
		for range tt.ended {
			p.Observe("chat", core.Millisecond, false)
		}
		require.Equal(t, tt.want, p.Hold("chat"), "%+v", tt)
		if tt.name == Learned {
			require.Equal(t, longest, p.Hold("other"), "kinds are told apart")
		}
	}
	_, err := New("some", longest, 0)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
}

func TestWeightLengthensTheHold(t *testing.T) {
	hold := func(weight float64) core.Duration {
		p, err := New(Learned, core.Hour, weight)
		require.NoError(t, err)
		for i := range 300 {
			pause := 700 * core.Millisecond
			if i%50 == 0 {
				pause = 30 * core.Second
			}
			p.Observe("chat", pause, true)
		}
		return p.Hold("chat")
	}
	require.Equal(t, 1024*core.Millisecond, hold(16))
	require.Greater(t, hold(80), 30*core.Second)
}
