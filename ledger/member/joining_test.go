package member_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
)

// A member that is added stores what is written meanwhile, and its seat never counts before it
// has copied.
func TestAddedSeatJoinsBeforeItCounts(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 3)
	var mu sync.Mutex
	var seen []ledger.Seat
	c.follow(context.Background(), func(s discovery.Snapshot) {
		mu.Lock()
		defer mu.Unlock()
		if seat, seated := s.View.Seat("m4"); seated {
			seen = append(seen, seat)
		}
	})
	c.start("m4", false)
	c.awaitSeats("m1", "m2", "m3", "m4")
	require.Eventually(t, func() bool { return isReadyWith(c.addrs["m4"], c.views.Snapshot().View.Version, 9) }, waitTimeout, 20*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	require.NotEmpty(t, seen)
	for _, seat := range seen {
		assert.NotEqual(t, seat.Joining, seat.Ready, "%+v", seat)
	}
}

// A member that ends for good before its seat counts would otherwise keep all further members
// from being added, and the others from being removed.
func TestJoiningMemberThatEndsIsRemoved(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	added := c.addEnded("m4")
	c.write(1, 3)
	require.Eventually(t, func() bool { return len(c.views.Snapshot().View.Seats) == 3 }, waitTimeout, 20*time.Millisecond)
	assert.Equal(t, added.Version+1, c.views.Snapshot().View.Version)
	c.checkChain(3)
}

// The member that takes the seat has to copy before the seat counts, as its predecessor had to.
func TestStandbyTakesSeatOfJoiningMemberThatEnded(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 3)
	c.addEnded("m4")
	c.start("m5", false)
	c.awaitSeats("m1", "m2", "m3", "m5")
	c.stop("m1")
	c.checkChain(3)
}

// addEnded adds the joining seat of a member that has ended, and waits until the client has the
// view.
func (c *cluster) addEnded(name string) ledger.View {
	c.t.Helper()
	added := c.views.Snapshot().View.With(ledger.Seat{Name: name, Addr: freeAddress(c.t), Domain: name, Incarnation: 4})
	c.store.Put(discovery.ViewKey, added.Encode())
	require.Eventually(c.t, func() bool { return c.views.Snapshot().View.Version == added.Version }, waitTimeout, 20*time.Millisecond)
	return added
}
