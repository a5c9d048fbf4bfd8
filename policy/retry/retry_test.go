package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestBudgetLimitsRetriesToShareOfCalls(t *testing.T) {
	tests := []struct {
		name  string
		cfg   config.Retry
		calls int
		want  int
	}{
		{"burst alone", config.Retry{Ratio: 0.1, Burst: 3}, 0, 3},
		{"ratio of calls", config.Retry{Ratio: 0.2, Burst: 5}, 1000, 204},
		{"defaults", config.Retry{}, 100, 19},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := New(tt.cfg)
			got := 0
			for range tt.calls {
				b.Deposit()
				if b.Withdraw() {
					got++
				}
			}
			for b.Withdraw() {
				got++
			}
			require.InDelta(t, tt.want, got, 1)
		})
	}
}

func TestWaitIsJitteredWithinBounds(t *testing.T) {
	b := New(config.Retry{Backoff: config.Duration(10 * core.Millisecond)})
	rng := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		retries   int
		remaining core.Duration
		bound     core.Duration
	}{
		{0, core.Second, 10 * core.Millisecond},
		{3, core.Second, 80 * core.Millisecond},
		{100, core.Minute, 2560 * core.Millisecond},
		{3, 5 * core.Millisecond, 5 * core.Millisecond},
		{0, 0, 1},
	}
	for _, tt := range tests {
		high := core.Duration(0)
		for range 200 {
			w := b.Wait(tt.retries, tt.remaining, rng)
			require.GreaterOrEqual(t, w, core.Duration(0))
			require.Less(t, w, tt.bound)
			high = max(high, w)
		}
		require.GreaterOrEqual(t, high, tt.bound*8/10-1, "waits cover the entire range up to the bound")
	}
}
