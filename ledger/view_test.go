package ledger_test

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
)

func viewOf(n int) ledger.View {
	v := ledger.View{}
	for i := range n {
		v = v.With(ledger.Seat{Name: fmt.Sprintf("m%d", i), Ready: true})
	}
	return v
}

// quorums returns every subset of q out of n members, as bit sets.
func quorums(n, q int) []uint {
	var sets []uint
	for s := uint(0); s < 1<<n; s++ {
		if bits.OnesCount(s) == q {
			sets = append(sets, s)
		}
	}
	return sets
}

// Two concurrent reservations must reach a common member, even if they act on
// consecutive views.
func TestQuorumsOfConsecutiveViewsIntersect(t *testing.T) {
	for disksLost := range 3 {
		for n := max(1, 2*disksLost); n <= 9; n++ {
			now, next := viewOf(n), viewOf(n+1)
			for _, a := range quorums(n, min(n, now.Quorum(disksLost))) {
				for _, b := range quorums(n, min(n, now.Quorum(disksLost))) {
					require.NotZero(t, a&b, "%d members", n)
				}
				for _, b := range quorums(n+1, min(n+1, next.Quorum(disksLost))) {
					require.NotZero(t, a&b, "%d and %d members", n, n+1)
				}
			}
		}
	}
}

// A member with an empty disk must copy from enough other members: every quorum that
// it was part of must include at least one of these sources, even if other members
// lost their disks as well.
func TestCopySourcesIntersectEveryQuorum(t *testing.T) {
	for disksLost := 1; disksLost <= 2; disksLost++ {
		for n := 2*disksLost + 1; n <= 9; n++ {
			v := viewOf(n)
			for lost := 1; lost <= disksLost; lost++ {
				// The members with the highest indexes are the lost ones.
				others := n - lost
				for _, q := range quorums(n, v.Quorum(disksLost)) {
					for _, sources := range quorums(others, min(others, v.CopySources(disksLost))) {
						require.NotZero(t, q&sources, "%d members, %d lost", n, lost)
					}
				}
			}
		}
	}
}

func TestQuorumIsReachableAfterToleratedDiskLosses(t *testing.T) {
	for disksLost := range 3 {
		for n := 2*disksLost + 1; n <= 9; n++ {
			q := viewOf(n).Quorum(disksLost)
			assert.Greater(t, q, disksLost)
			assert.LessOrEqual(t, q, n-disksLost, "a quorum of %d members must be reachable with %d disks lost", n, disksLost)
		}
	}
}

func TestViewChangesAffectOneSeat(t *testing.T) {
	v := viewOf(3)
	assert.EqualValues(t, 3, v.Version)
	assert.True(t, v.AllReadyExcept(""))
	assert.True(t, v.CanRemoveSeat(0))
	assert.False(t, v.CanRemoveSeat(1))

	replaced := v.Replacing("m1", ledger.Seat{Name: "m9"})
	assert.EqualValues(t, 4, replaced.Version)
	assert.Len(t, replaced.Seats, 3)
	assert.False(t, replaced.AllReadyExcept(""))
	assert.True(t, replaced.AllReadyExcept("m9"))
	_, found := replaced.Seat("m1")
	assert.False(t, found)

	assert.Len(t, v.Without("m0").Seats, 2)
	assert.Len(t, v.Seats, 3, "the old view is not modified")

	decoded, err := ledger.DecodeView(replaced.Encode())
	require.NoError(t, err)
	assert.Equal(t, replaced, decoded)
	_, err = ledger.DecodeView([]byte("{"))
	assert.Error(t, err)
}
