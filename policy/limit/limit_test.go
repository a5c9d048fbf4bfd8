package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

var engine = config.Engine{MaxBatch: 16, StepTime: config.Duration(4 * time.Millisecond)}

func TestFixedLimitIgnoresLoad(t *testing.T) {
	p, err := New(Fixed, engine)
	require.NoError(t, err)
	p.Observe(Observation{Running: 16, StepTime: core.Second})
	require.EqualValues(t, 16, p.Limit())
}

func TestAdaptiveLimitFollowsLoad(t *testing.T) {
	slow := Observation{Running: 16, Waiting: 4, StepTime: 40 * core.Millisecond}
	fullCache := Observation{Running: 16, Waiting: 4, StepTime: 4 * core.Millisecond, CacheTokens: 100, RunningTokens: 95}
	light := Observation{Running: 4, Waiting: 4, StepTime: 4 * core.Millisecond, CacheTokens: 100, RunningTokens: 10}
	for name, overload := range map[string]Observation{"slow steps": slow, "full cache": fullCache} {
		t.Run(name, func(t *testing.T) {
			p, err := New(Adaptive, engine)
			require.NoError(t, err)
			for range 50 {
				p.Observe(overload)
			}
			require.EqualValues(t, 4, p.Limit(), "the limit stays at the floor")
			for range 50 {
				p.Observe(light)
			}
			require.EqualValues(t, 16, p.Limit(), "the limit grows back to the ceiling and stays there")
		})
	}
	_, err := New("none", engine)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
}
