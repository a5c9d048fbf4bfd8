package path

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBenchSetIsValid(t *testing.T) {
	require.Empty(t, benchSet().Check())
}

func TestAllCallsSucceedDirectlyAndProxied(t *testing.T) {
	r, err := Run(context.Background(), Options{Rate: 50, Duration: time.Second, Seed: 1})
	require.NoError(t, err)
	for _, c := range []Comparison{r.Service, r.Model, r.FirstToken} {
		require.Positive(t, c.Direct.Calls)
		require.Equal(t, c.Direct.Calls, c.Proxied.Calls, "equal seeds give equal arrivals")
		require.Zero(t, c.Direct.Failed+c.Proxied.Failed)
		require.Positive(t, c.Proxied.P50)
	}
}
