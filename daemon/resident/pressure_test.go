package resident

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// play observes the same lag for a time and returns how long the entry was away.
func play(p *pressure, now *time.Time, late, span time.Duration) (away time.Duration, changes int) {
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

// Pattern: entries on VMs of very different sizes get equal shares of the
// connections (bancarella-prod-grown).
func TestOverloadedEntryLeavesTheBalancerForAWhile(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPressure(now)
	away, _ := play(p, &now, 0, 10*time.Second)
	assert.Zero(t, away)
	away, changes := play(p, &now, 30*time.Millisecond, 4*time.Second)
	assert.GreaterOrEqual(t, away, awayMin)
	assert.LessOrEqual(t, changes, 2)
	away, _ = play(p, &now, 0, 10*time.Second)
	assert.Less(t, away, awayMin, "it is back once timers fire in time")
}

func TestEntryIsReadyMostOfTheTimeUnderLastingLoad(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPressure(now)
	away, _ := play(p, &now, 100*time.Millisecond, 100*time.Second)
	assert.LessOrEqual(t, away, 100*time.Second/8)
}

func TestSingleDelaysAreIgnored(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPressure(now)
	for range 20 {
		now = now.Add(lagPeriod)
		assert.False(t, p.observe(60*time.Millisecond, now))
		away, _ := play(p, &now, 0, time.Second)
		assert.Zero(t, away)
	}
}
