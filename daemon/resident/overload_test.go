package resident

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulateDelay reports a constant timer delay for a span of simulated time. It
// returns how long the entry was out of the balancer and how often that changed.
func simulateDelay(p *pressure, now *time.Time, late, span time.Duration) (away time.Duration, changes int) {
	before := p.away
	for end := now.Add(span); now.Before(end); {
		*now = now.Add(lagPeriod)
		if p.observe(late, *now) {
			away += lagPeriod
		}
		if p.away != before {
			before = p.away
			changes++
		}
	}
	return away, changes
}

// Guards against overload of entries on small VMs: the balancer gives entries equal
// shares of the connections although their VMs differ much in size
// (bancarella-prod-grown).
func TestOverloadedEntryLeavesBalancerAndReturns(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPressure(now)
	away, _ := simulateDelay(p, &now, 0, 10*time.Second)
	assert.Zero(t, away)
	away, changes := simulateDelay(p, &now, 30*time.Millisecond, 4*time.Second)
	assert.GreaterOrEqual(t, away, awayMin)
	assert.LessOrEqual(t, changes, 2)
	away, _ = simulateDelay(p, &now, 0, 10*time.Second)
	assert.Less(t, away, awayMin, "the entry returns to the balancer once timers fire on time")
}

func TestEntryStaysReadyMostOfTheTimeUnderLastingLoad(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPressure(now)
	away, _ := simulateDelay(p, &now, 100*time.Millisecond, 100*time.Second)
	assert.LessOrEqual(t, away, 100*time.Second/8)
}

func TestIsolatedTimerDelaysAreIgnored(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPressure(now)
	for range 20 {
		now = now.Add(lagPeriod)
		assert.False(t, p.observe(60*time.Millisecond, now))
		away, _ := simulateDelay(p, &now, 0, time.Second)
		assert.Zero(t, away)
	}
}
