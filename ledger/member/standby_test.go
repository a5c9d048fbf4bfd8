package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
)

// startInDomains starts members m1 to mN in turn in the failure domains d0, d1, d2, d3.
func (c *cluster) startInDomains(n int) {
	for i := range n {
		name := fmt.Sprintf("m%d", i+1)
		c.domains[name] = fmt.Sprintf("d%d", i%4)
		c.start(name, true)
	}
}

// awaitFullView waits until all seats are taken by ready members, none of them excluded.
func (c *cluster) awaitFullView(excluded string) ledger.View {
	c.t.Helper()
	var view ledger.View
	require.EventuallyWithT(c.t, func(t *assert.CollectT) {
		view = c.views.Snapshot().View
		assert.Len(t, view.Seats, ledger.MaxSeats(1))
		assert.True(t, view.AllReadyExcept(""))
		_, seated := view.Seat(excluded)
		assert.False(t, seated)
	}, 2*waitTimeout, 20*time.Millisecond)
	return view
}

// With every VM in the view, each turn was written to all disks of the fleet (24 on large/,
// a quorum of 13). Only as many members get seats as the tolerated losses require; they are
// spread over the failure domains.
func TestSeatsAreBoundedAndSpreadOverFailureDomains(t *testing.T) {
	c := newCluster(t)
	c.startInDomains(8)
	view := c.awaitFullView("")
	for d := range 4 {
		assert.NotZero(t, view.SeatsIn(fmt.Sprintf("d%d", d)), "domain d%d", d)
	}
	c.write(1, 3)
	time.Sleep(time.Second)
	assert.Equal(t, view, c.views.Snapshot().View, "a full view does not change")
	c.checkChain(3)
}

// A standby takes the seat of a member that has ended for good, copies the records first,
// and then stands in for further losses.
func TestStandbyTakesSeatOfRemovedMember(t *testing.T) {
	c := newCluster(t)
	c.startInDomains(6)
	before := c.awaitFullView("")
	c.write(1, 3)
	lost := before.Seats[0].Name
	c.stop(lost)
	after := c.awaitFullView(lost)
	c.write(4, 5)
	for _, seat := range after.Seats[:2] {
		c.stop(seat.Name)
	}
	c.checkChain(5)
}

// After a restart of all VMs, standbys start before members whose seats they must not take.
func TestRestartedStandbyLeavesSeatsToTheirMembers(t *testing.T) {
	c := newCluster(t)
	c.startInDomains(7)
	view := c.awaitFullView("")
	c.write(1, 2)
	var standbys, seated []string
	for name := range c.stops {
		c.stop(name)
		if _, ok := view.Seat(name); ok {
			seated = append(seated, name)
		} else {
			standbys = append(standbys, name)
		}
	}
	for _, name := range standbys {
		c.start(name, false)
	}
	time.Sleep(2 * time.Second)
	for _, name := range seated {
		c.start(name, false)
	}
	c.checkChain(2)
	assert.Equal(t, view, c.views.Snapshot().View)
}
