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

// inForceWithin is the time in which a generation has to be in force everywhere.
const inForceWithin = 7 * time.Second

func TestAppliedGenerationIsInForceEverywhereAndStays(t *testing.T) {
	d := start(t, smallOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	next := small(t)
	next.Pools[0].CallTimeout++
	result, err := publish.Apply(ctx, node.PublishStore(d.store), next, "test")
	require.NoError(t, err)
	require.EqualValues(t, 2, result.Head.Generation)
	all := slices.Concat(d.Entries(), d.Sidecars())
	inForce := func() bool {
		return !slices.ContainsFunc(all, func(vm *VM) bool { return vm.Node().Generation() != 2 })
	}
	require.Eventually(t, inForce, inForceWithin, 10*time.Millisecond)

	// A life that begins while the service is down, and learns from a peer, does
	// not go back.
	d.KVServer().SetOutage(true)
	for _, vm := range all[len(all)-2:] {
		vm.Kill()
		require.NoError(t, vm.Start())
	}
	require.Eventually(t, inForce, patience, 10*time.Millisecond)
}
