package membership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/spec/membership"
)

// Members that were stopped, or marked as incomplete by a stop that failed, and one that had lost
// its disk waited for each other for good (review/6, review/7: LOST).
func TestMembersNeverWaitForEachOther(t *testing.T) {
	const seeds, steps = 3000, 160
	for _, size := range []struct{ members, disksLost int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d members, %d disks lost", size.members, size.disksLost), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				require.NoError(t, membership.NewWorld(seed, size.members, size.disksLost).Play(steps), "seed %d", seed)
			}
		})
	}
}
