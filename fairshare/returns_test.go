package fairshare_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/fairshare"
)

// pressedTracker returns a tracker under pressure by account 1, with 40 calls, beside four
// accounts with 10 calls each.
func pressedTracker() *fairshare.Tracker {
	tracker := fairshare.NewTracker()
	for id := range uint64(5) {
		for range 10 {
			tracker.Begin(1+id, start)
		}
	}
	for range 30 {
		tracker.Begin(1, start.Add(20*time.Second))
	}
	tracker.Observe(0.7, start.Add(20*time.Second))
	return tracker
}

// Load: a wave of 100 programs that are refused within 100 ms. If all got the same Retry-After,
// they would return as a second wave; they return in their order, and at no higher rate than
// the account's programs may start.
func TestRefusedCallersReturnInOrderAndSpread(t *testing.T) {
	tracker := pressedTracker()
	var returns []time.Duration
	for i := range 100 {
		at := time.Duration(i) * time.Millisecond
		wait := tracker.ReturnAfter(1, 50, 20*time.Second, start.Add(20*time.Second+at))
		returns = append(returns, at+wait)
	}
	assert.True(t, slices.IsSorted(returns))
	for i := range returns[20:] {
		assert.Greater(t, returns[i+20]-returns[i], time.Second, "more than 20 of 50 programs a second would return")
	}
	assert.Greater(t, returns[0], time.Second, "the account's calls must end first")
	other := tracker.ReturnAfter(2, 50, 20*time.Second, start.Add(20*time.Second))
	assert.Less(t, other, returns[0], "other accounts do not wait for it")
}

// Callers cannot wait for longer than a part of the time they have left. They take no place
// among those that can.
func TestReturnIsWithinWhatCallersCanUse(t *testing.T) {
	tracker := pressedTracker()
	now := start.Add(20 * time.Second)
	for range 100 {
		assert.LessOrEqual(t, tracker.ReturnAfter(1, 50, 300*time.Millisecond, now), 300*time.Millisecond)
	}
	first := tracker.ReturnAfter(1, 50, 20*time.Second, now)
	assert.Equal(t, pressedTracker().ReturnAfter(1, 50, 20*time.Second, now), first)
	assert.Zero(t, tracker.ReturnAfter(1, 50, -time.Second, now))
}
