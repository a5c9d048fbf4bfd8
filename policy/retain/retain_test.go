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
		p, err := New(tt.name, longest)
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
	_, err := New("some", longest)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
}
