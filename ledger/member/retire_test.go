package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
)

func TestRetiredMemberHandsOver(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.start("m4", false)
	c.awaitSeats("m1", "m2", "m3", "m4")
	c.write(1, 3)
	c.store.Put(platform.RetireKey("m2"), []byte(`{"duration_s":10}`))
	key, completed := platform.RetireStatus("m2", true)
	require.Eventually(t, func() bool { return string(c.store.Value(key)) == string(completed) }, waitTimeout, 20*time.Millisecond)
	c.awaitSeats("m1", "m3", "m4")
	c.stop("m2", "m1")
	c.checkChain(3)
}

// Operators retired two of three VMs, one after the other. One seat was left, whose quorum of two
// could not be reached, and turns were refused for good (review/1: RECOVER, LOST).
func TestSecondRetirementWaitsForAnotherMember(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 2)
	retire := func(name string) func() bool {
		c.store.Put(platform.RetireKey(name), []byte(`{"duration_s":10}`))
		key, completed := platform.RetireStatus(name, true)
		return func() bool { return string(c.store.Value(key)) == string(completed) }
	}
	require.Eventually(t, retire("m1"), waitTimeout, 20*time.Millisecond)
	c.stop("m1")
	isEmptied := retire("m2")
	key, running := platform.RetireStatus("m2", false)
	require.Eventually(t, func() bool { return string(c.store.Value(key)) == string(running) }, waitTimeout, 20*time.Millisecond)
	time.Sleep(time.Second)
	assert.False(t, isEmptied())
	c.write(3, 4)
	c.stop("m2", "m3")
	c.start("m2", false)
	c.start("m3", false)
	c.checkChain(4)
	c.start("m4", false)
	require.Eventually(t, isEmptied, waitTimeout, 20*time.Millisecond)
	c.stop("m2")
	c.checkChain(4)
}

// Both members that were left after a retirement were retired as well, before they had exchanged
// their records, and neither let a new member take a seat.
func TestRetirementOfAllMembersWaitsForOthers(t *testing.T) {
	c := newCluster(t)
	c.startThree()
	c.write(1, 3)
	isEmptied := func(name string) bool {
		key, completed := platform.RetireStatus(name, true)
		return string(c.store.Value(key)) == string(completed)
	}
	for _, name := range []string{"m1", "m2", "m3"} {
		c.store.Put(platform.RetireKey(name), []byte(`{"duration_s":10}`))
	}
	c.start("m4", false)
	c.start("m5", false)
	require.Eventually(t, func() bool { return isEmptied("m1") && isEmptied("m2") && isEmptied("m3") }, waitTimeout, 20*time.Millisecond)
	c.stop("m1", "m2", "m3")
	c.checkChain(3)
}
