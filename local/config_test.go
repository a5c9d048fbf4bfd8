package local

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config/publish"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
)

// configTimeout is the time in which a generation must be in force everywhere.
const configTimeout = 7 * time.Second

func TestAppliedGenerationReachesAllDaemonsAndStays(t *testing.T) {
	d := start(t, smallOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	next := smallConfig(t)
	next.Pools[0].CallTimeout++
	result, err := publish.Apply(ctx, node.PublishStore(d.store), next, "test")
	require.NoError(t, err)
	require.EqualValues(t, 2, result.Head.Generation)
	all := slices.Concat(d.Entries(), d.Sidecars())
	inForce := func() bool {
		return !slices.ContainsFunc(all, func(vm *VM) bool { return vm.Node().Generation() != 2 })
	}
	require.Eventually(t, inForce, configTimeout, 10*time.Millisecond)

	// A daemon that restarts while the key-value service is unavailable receives
	// the configuration from a peer and must not fall back to an older generation.
	d.KVServer().SetOutage(true)
	for _, vm := range all[len(all)-2:] {
		vm.Kill()
		require.NoError(t, vm.Start())
	}
	require.Eventually(t, inForce, eventuallyTimeout, 10*time.Millisecond)
}
