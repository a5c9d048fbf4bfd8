package resident

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulateDelay reports a constant timer delay for a span of simulated time. It
// returns how long the entry was unready and how often its readiness changed.
func simulateDelay(detector *overloadDetector, now *time.Time, delay, span time.Duration) (unready time.Duration, changes int) {
	return simulateDelays(detector, now, delay, 0, span)
}

// simulateDelays also reports a constant response time of the ledger.
func simulateDelays(detector *overloadDetector, now *time.Time, delay, ledgerDelay, span time.Duration) (unready time.Duration, changes int) {
	before := detector.isUnready
	for end := now.Add(span); now.Before(end); {
		*now = now.Add(delayPeriod)
		if detector.observe(delay, ledgerDelay, *now) {
			unready += delayPeriod
		}
		if detector.isUnready != before {
			before = detector.isUnready
			changes++
		}
	}
	return unready, changes
}

// Guards against overload of entries on small VMs: the balancer gives entries equal
// shares of the connections although their VMs differ much in size
// (bancarella-prod-grown).
func TestOverloadedEntryLeavesBalancerAndReturns(t *testing.T) {
	now := time.Unix(0, 0)
	detector := newOverloadDetector(now)
	unready, _ := simulateDelay(detector, &now, 0, 10*time.Second)
	assert.Zero(t, unready)
	unready, changes := simulateDelay(detector, &now, 30*time.Millisecond, 4*time.Second)
	assert.GreaterOrEqual(t, unready, minUnreadyTime)
	assert.LessOrEqual(t, changes, 2)
	unready, _ = simulateDelay(detector, &now, 0, 10*time.Second)
	assert.Less(t, unready, minUnreadyTime, "the entry must become ready again once timers fire on time")
}

// An entry on a VM with a slow link gets as many connections as its neighbors in a burst.
// Its timers fire on time, but prompts fill the link, and the ledger responds after a
// second (further-grown trouble-3).
func TestEntryWithSaturatedLinkLeavesBalancer(t *testing.T) {
	now := time.Unix(0, 0)
	detector := newOverloadDetector(now)
	unready, _ := simulateDelays(detector, &now, 0, 80*time.Millisecond, 10*time.Second)
	assert.Zero(t, unready, "a slow member is no reason to leave")
	unready, changes := simulateDelays(detector, &now, 0, time.Second, 2*time.Second)
	assert.GreaterOrEqual(t, unready, minUnreadyTime)
	assert.Equal(t, 1, changes)
	unready, _ = simulateDelays(detector, &now, 0, 20*time.Millisecond, 10*time.Second)
	assert.Less(t, unready, minUnreadyTime)
	unready, _ = simulateDelays(detector, &now, 0, time.Second, 100*time.Second)
	assert.LessOrEqual(t, unready, 100*time.Second/8)
}

func TestEntryStaysReadyMostOfTheTimeUnderLastingLoad(t *testing.T) {
	now := time.Unix(0, 0)
	detector := newOverloadDetector(now)
	unready, _ := simulateDelay(detector, &now, 100*time.Millisecond, 100*time.Second)
	assert.LessOrEqual(t, unready, 100*time.Second/8)
}

func TestSporadicTimerDelaysAreIgnored(t *testing.T) {
	now := time.Unix(0, 0)
	detector := newOverloadDetector(now)
	for range 20 {
		now = now.Add(delayPeriod)
		assert.False(t, detector.observe(60*time.Millisecond, 0, now))
		unready, _ := simulateDelay(detector, &now, 0, time.Second)
		assert.Zero(t, unready)
	}
}
