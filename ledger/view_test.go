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
					for _, sources := range quorums(others, min(others, v.CopySources("m0", disksLost))) {
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
	assert.True(t, v.CanRemoveSeat("m0", 0))
	assert.True(t, v.CanRemoveSeat("m0", 1))
	assert.False(t, v.CanRemoveSeat("m0", 2))
	two := v.Without("m0")
	assert.False(t, two.CanRemoveSeat("m1", 1), "each record has to be on two disks")

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

// An added seat raised the quorum before its member had copied. If a disk was lost in that time,
// no quorum came together any more (membership-under-wipes on slibplan-be: RECOVER, LOST).
func TestJoiningSeatRaisesNoQuorum(t *testing.T) {
	v := viewOf(3)
	joining := v.With(ledger.Seat{Name: "m9"})
	assert.False(t, joining.Counts("m9"))
	assert.Len(t, joining.Seats, 4, "the member gets what is written")
	assert.Len(t, joining.Counting(), 3)
	assert.Equal(t, v.Quorum(1), joining.Quorum(1))
	assert.Equal(t, v.CopySources("m0", 1), joining.CopySources("m0", 1))
	assert.False(t, joining.AllReadyExcept(""), "one seat is added at a time")
	assert.True(t, joining.CanRemoveSeat("m9", 1))
	assert.False(t, joining.Without("m0").CanRemoveSeat("m1", 1), "a joining seat does not count")
	assert.True(t, viewOf(4).With(ledger.Seat{Name: "m9"}).IsFull(1), "a joining seat takes one of the seats")
	decoded, err := ledger.DecodeView(joining.Encode())
	require.NoError(t, err)
	assert.Equal(t, joining, decoded)
	assert.NotContains(t, string(v.Encode()), "joining", "views without joining seats are as older processes write them")

	assert.False(t, joining.With(ledger.Seat{Name: "m9", Incarnation: 2}).Counts("m9"), "its member has lost its disk")
	counting := joining.With(ledger.Seat{Name: "m9", Ready: true})
	assert.True(t, counting.Counts("m9"))
	assert.Equal(t, 3, counting.Quorum(1))
	assert.True(t, counting.With(ledger.Seat{Name: "m9"}).Counts("m9"), "quorums may have included the disk that was lost")
}

// The size of a quorum must not change when a seat passes to another member.
func TestReplacementCountsAsTheReplacedSeatDid(t *testing.T) {
	joining := viewOf(3).With(ledger.Seat{Name: "m9"})
	for replaced, wantCounts := range map[string]bool{"m9": false, "m1": true} {
		next := joining.Replacing(replaced, ledger.Seat{Name: "m8"})
		assert.Equal(t, wantCounts, next.Counts("m8"), replaced)
		assert.Len(t, next.Counting(), 3, replaced)
		assert.Equal(t, joining.Version+1, next.Version)
	}
}

// Older processes add seats without the flag, and have them in the size of a quorum.
func TestSeatAddedByOlderProcessCounts(t *testing.T) {
	v, err := ledger.DecodeView([]byte(`{"version":4,"seats":[{"name":"m1","ready":true},{"name":"m2","ready":true},{"name":"m3","ready":true},{"name":"m4","ready":false}]}`))
	require.NoError(t, err)
	assert.True(t, v.Counts("m4"))
	assert.Equal(t, 3, v.Quorum(1))
}

func TestSeatCountsAtOnceWhileTooFewDo(t *testing.T) {
	for n, wantCounts := range []bool{true, true, true, false, false} {
		assert.Equal(t, wantCounts, viewOf(n).Adding(ledger.Seat{Name: "m9"}, 1).Counts("m9"), "%d members", n)
	}
	assert.True(t, viewOf(3).Adding(ledger.Seat{Name: "m9", Ready: true}, 1).Counts("m9"), "a member of the first start has nothing to copy")
}

// A member with an empty disk may recover under a view in which a seat is joining, although the
// seat counts in the quorums of a newer one. One of its sources must be in each such quorum.
func TestCopySourcesIntersectQuorumsInWhichJoiningSeatCounts(t *testing.T) {
	for disksLost := 1; disksLost <= 2; disksLost++ {
		for n := 2*disksLost + 1; n <= 8; n++ {
			joining := viewOf(n).Adding(ledger.Seat{Name: "m9"}, disksLost)
			next := joining.With(ledger.Seat{Name: "m9", Ready: true})
			needed := joining.CopySources("m0", disksLost)
			for lost := 1; lost <= disksLost; lost++ {
				// The members with the highest indexes are the lost ones; the joining member is
				// no source.
				for _, q := range quorums(n+1, next.Quorum(disksLost)) {
					for _, sources := range quorums(n-lost, min(n-lost, needed)) {
						require.NotZero(t, q&sources, "%d members, %d lost", n, lost)
					}
				}
			}
		}
	}
}

// The seats that count are too few for another change until each of their members has what the
// one that was removed acknowledged.
func TestFewSeatsChangeOnlyOnceSettled(t *testing.T) {
	three := viewOf(3)
	assert.True(t, three.MayChange(1))
	two := three.Without("m2")
	assert.False(t, two.MayChange(1))
	assert.True(t, two.NeedsSettling(1))
	settled := two.AsSettled()
	assert.True(t, settled.MayChange(1))
	assert.False(t, settled.NeedsSettling(1))
	assert.Equal(t, two.Version+1, settled.Version)

	assert.True(t, settled.With(ledger.Seat{Name: "m1", Incarnation: 2, Ready: true}).Settled, "the same seats count")
	assert.False(t, settled.Adding(ledger.Seat{Name: "m9"}, 1).Settled)
	replaced := settled.Replacing("m1", ledger.Seat{Name: "m9"})
	assert.True(t, replaced.Settled, "the other member still has all records of earlier quorums")
	assert.False(t, replaced.AllReadyExcept(""), "no seat is added before the new member has copied")
	assert.False(t, two.Replacing("m1", ledger.Seat{Name: "m9"}).Settled)
	joining := viewOf(3).AsSettled().With(ledger.Seat{Name: "m9"})
	assert.False(t, joining.With(ledger.Seat{Name: "m9", Ready: true}).Settled, "a seat begins to count")
}

// Four seats needed three sources, of which one had ended for good.
func TestSettledViewNeedsFewerSources(t *testing.T) {
	four := viewOf(4)
	assert.Equal(t, 3, four.CopySources("m0", 1))
	assert.Equal(t, 2, four.AsSettled().CopySources("m0", 1))
	two := map[string]ledger.Copy{"m1": {Ready: true}, "m2": {Ready: true}}
	assert.True(t, four.AsSettled().IsComplete("m0", 1, two))
	assert.False(t, four.IsComplete("m0", 1, two))
	joining := four.With(ledger.Seat{Name: "m9"})
	joining.Settled = true
	assert.Equal(t, 3, joining.CopySources("m0", 1), "the seat that joins may count in a later view")
}

func TestLeavingKeepsSeatUnlessTooFewCount(t *testing.T) {
	four := viewOf(4)
	left := four.Leaving("m1", 1)
	seat, seated := left.Seat("m1")
	assert.True(t, seated && seat.Joining && !seat.Ready)
	assert.Len(t, left.Counting(), 3)
	assert.Equal(t, four.Version+1, left.Version)
	three := viewOf(3).Leaving("m1", 1)
	assert.Len(t, three.Seats, 2)
	assert.EqualValues(t, 4, three.Version)
}
