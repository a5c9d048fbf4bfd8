package member_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/member"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
)

// terminate stops a member as SIGTERM does: it may give up its seat first.
func (c *cluster) terminate(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c.members[name].Leave(ctx)
	c.stop(name)
}

// loseDisk kills a member, which starts again with an empty disk.
func (c *cluster) loseDisk(name string) {
	c.stop(name)
	c.wipe(name)
	c.start(name, false)
}

// A member was replaced as planned, and another one lost its disk a few seconds later: the seat
// of the replaced one kept that one from recovering, which kept the seat from being removed, and
// nothing was served any more.
func TestDiskLossAfterPlannedReplacement(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 3)
	c.start("m4", false)
	c.awaitSeats("m1", "m2", "m3", "m4")
	c.terminate("m3")
	c.loseDisk("m1")
	c.checkChain(3)
	c.write(4, 5)
	c.checkChain(5)
}

// With one machine less, the successor of a member made three seats out of two. The seat of the
// member that it replaced was never removed, and a lost disk ended the service.
func TestDiskLossAfterReplacementAmongTwo(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.terminate("m2")
	c.awaitSeats("m1", "m3")
	c.write(1, 3)
	c.start("m4", false)
	c.awaitSeats("m1", "m3", "m4")
	c.terminate("m3")
	c.loseDisk("m1")
	c.checkChain(3)
	c.write(4, 5)
	c.checkChain(5)
}

// As TestDiskLossAfterPlannedReplacement, but the replaced member is killed and gives up nothing.
// The three others have what it acknowledged once the view is settled.
func TestDiskLossAfterReplacedMemberIsKilled(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 3)
	c.start("m4", false)
	c.awaitSeats("m1", "m2", "m3", "m4")
	require.Eventually(t, func() bool { return c.views.Snapshot().View.Settled }, waitTimeout, 20*time.Millisecond)
	c.stop("m3")
	c.loseDisk("m1")
	c.checkChain(3)
	c.write(4, 5)
	c.checkChain(5)
}

// The seat of a member that had ended for good was kept as one of three, so a disk that was lost
// much later ended the service.
func TestDiskLossAfterSilentMemberIsGivenUp(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 3)
	c.stop("m2")
	c.awaitSeats("m1", "m3")
	c.loseDisk("m1")
	c.checkChain(3)
	c.write(4, 5)
	c.checkChain(5)
}

// A member that gave up its seat has it back after a restart, with what was written meanwhile.
func TestMemberReturnsToSeatThatItLeft(t *testing.T) {
	for _, others := range [][]string{{"m1", "m2"}, {"m1", "m2", "m4"}} {
		c := newCluster(t)
		c.startThree()
		if len(others) == 3 {
			c.start("m4", false)
			c.awaitSeats("m1", "m2", "m3", "m4")
		}
		c.write(1, 2)
		c.terminate("m3")
		c.awaitSeats(others...)
		assert.False(t, c.views.Snapshot().View.Counts("m3"))
		c.write(3, 4)
		c.start("m3", false)
		all := append([]string{"m1", "m2", "m3"}, others[2:]...)
		c.awaitSeats(all...)
		require.Eventually(t, func() bool { return isReadyWith(c.addrs["m3"], c.views.Snapshot().View.Version, 12) }, waitTimeout, 20*time.Millisecond)
		c.stop("m1")
		c.checkChain(4)
	}
}

// A roll of stops must not leave quorums without members: the one whose return the others wait
// for keeps its seat.
func TestOneOfTwoSeatsIsNotLeft(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 2)
	c.terminate("m1")
	c.awaitSeats("m2", "m3")
	c.terminate("m2")
	assert.True(t, c.views.Snapshot().View.Counts("m2"))
	c.start("m2", false)
	c.checkChain(2)
}

// A member that is back after a planned stop had a seat, but had not copied yet, when another one
// lost its disk. The two waited for each other for good (review/6: LOST, RECOVER).
func TestDiskLossWhileMemberRejoins(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 2)
	c.terminate("m3")
	c.awaitSeats("m1", "m2")
	require.Eventually(t, func() bool { return c.views.Snapshot().View.Settled }, waitTimeout, 20*time.Millisecond)
	c.write(3, 4)
	id, err := member.ReadIncarnation(c.dirs["m3"])
	require.NoError(t, err)
	seat := ledger.Seat{Name: "m3", Addr: c.addrs["m3"], Domain: "m3", Incarnation: id}
	c.store.Put(discovery.ViewKey, c.views.Snapshot().View.Adding(seat, 1).Encode())
	c.loseDisk("m1")
	c.start("m3", false)
	c.awaitSeats("m1", "m2", "m3")
	c.checkChain(4)
}

// A stop that failed since the store was down left a member whose disk was marked as incomplete.
// When another one lost its disk, the two waited for each other for good (review/7: LOST, RECOVER).
func TestDiskLossAfterStopDuringStoreOutage(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 3)
	c.store.SetDown(true)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c.members["m3"].Leave(ctx)
	c.stop("m3")
	c.store.SetDown(false)
	c.loseDisk("m1")
	c.start("m3", false)
	c.awaitSeats("m1", "m2", "m3")
	c.checkChain(3)
}

// As before, but the members ended between the mark and the change of the view, and no disk was
// lost at all.
func TestMembersMarkedAsIncompleteRecoverFromEachOther(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 3)
	all := []string{"m1", "m2", "m3"}
	c.stop(all...)
	for _, name := range all {
		require.NoError(t, member.MarkIncomplete(c.dirs[name]))
		c.start(name, false)
	}
	c.checkChain(3)
}

// One of two members was to retire and lost its disk. It never recovered, so no other one could
// take a seat, for which its retirement waited.
func TestDiskLossOfRetiringMember(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.terminate("m3")
	c.awaitSeats("m1", "m2")
	c.write(1, 3)
	c.store.Put(platform.RetireKey("m2"), []byte(`{"duration_s":10}`))
	c.loseDisk("m2")
	c.start("m4", false)
	c.awaitSeats("m1", "m4")
	c.checkChain(3)
}
