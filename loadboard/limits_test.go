package loadboard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// An engine that named a limit of five requests a second got up to seventy in four seconds,
// since no entry knew what the others sent (capped, bancarella-prod). Whatever is asked for,
// permits stay within the limit, also with many processes that each ask rarely.
func TestPermitsStayWithinLimitOfTarget(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond   float64
		askInterval time.Duration
		least, most int
	}{
		"many asks":           {5, time.Millisecond, 20, 22},
		"few asks":            {5, 500 * time.Millisecond, 8, 8},
		"asks after a pause":  {2.5, 300 * time.Millisecond, 10, 11},
		"limit of zero":       {0, time.Millisecond, 2, 3},
		"limit without bound": {1e300, time.Millisecond, 4000, 4000},
	} {
		t.Run(name, func(t *testing.T) {
			b, granted := loadboard.New(), 0
			for at := time.Duration(0); at < 4*time.Second; at += c.askInterval {
				if b.Acquire(1, c.perSecond, 0, start.Add(10*time.Second+at)).Granted {
					granted++
				}
			}
			assert.GreaterOrEqual(t, granted, c.least)
			assert.LessOrEqual(t, granted, c.most)
		})
	}
}

func TestPermitsAreGrantedForLater(t *testing.T) {
	b := loadboard.New()
	var last loadboard.Permit
	for range 20 {
		permit := b.Acquire(1, 5, time.Second, start)
		if !permit.Granted {
			break
		}
		assert.Equal(t, last.Next, permit.Wait)
		last = permit
	}
	assert.InDelta(t, loadboard.MaxPermitWait, last.Wait, float64(200*time.Millisecond), "as many as may be used soon")
	denied := b.Acquire(1, 5, time.Second, start)
	assert.Equal(t, loadboard.Permit{Wait: last.Next, Next: last.Next}, denied)
	assert.False(t, b.Acquire(1, 5, 0, start.Add(denied.Wait-time.Millisecond)).Granted)
	assert.True(t, b.Acquire(1, 5, 0, start.Add(denied.Wait)).Granted)
	assert.Zero(t, b.Acquire(2, 5, 0, start).Wait, "other targets have limits of their own")
}

// The latest observation counts, whichever process made it and in whatever order they report.
func TestLatestLimitIsExchanged(t *testing.T) {
	b := loadboard.New()
	report := func(process string, l loadboard.Limit, at time.Time) loadboard.Limit {
		l.Target = 1
		limits := b.Exchange(process, loadboard.Report{Limits: []loadboard.Limit{l}}, at).Limits
		assert.Len(t, limits, 1)
		return limits[0]
	}
	now := start.Add(time.Second)
	assert.True(t, report("a", loadboard.Limit{PerSecond: 5, IsLimited: true, Age: 100 * time.Millisecond}, now).IsLimited)
	assert.False(t, report("b", loadboard.Limit{Age: 50 * time.Millisecond}, now).IsLimited, "lifted since")
	assert.False(t, report("c", loadboard.Limit{PerSecond: 3, IsLimited: true, Age: 200 * time.Millisecond}, now).IsLimited, "an older observation")
	last := report("c", loadboard.Limit{PerSecond: 3, IsLimited: true}, now)
	assert.Equal(t, loadboard.Limit{Target: 1, PerSecond: 3, IsLimited: true}, last)
	assert.Empty(t, b.Exchange("a", loadboard.Report{}, now.Add(2*time.Minute)).Limits, "limits that nobody observes are forgotten")
}
