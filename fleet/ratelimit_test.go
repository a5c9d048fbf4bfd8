package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

var fivePerSecond = fleet.Limit{PerSecond: 5, IsLimited: true}

// The head of a stream may be older than the answer that named the limit.
func TestOnlyAnswersToLaterRequestsLiftLimit(t *testing.T) {
	f := newFleet(1)
	assert.True(t, f.RecordLimit(key(0), fivePerSecond, start, start.Add(time.Second)))
	assert.False(t, f.RecordLimit(key(0), fleet.Limit{}, start.Add(900*time.Millisecond), start.Add(2*time.Second)))
	choice, ok := f.Pick(query(), start)
	require.True(t, ok)
	assert.Equal(t, fivePerSecond, choice.Limit)
	assert.True(t, f.RecordLimit(key(0), fleet.Limit{}, start.Add(1100*time.Millisecond), start.Add(2*time.Second)))
	choice, ok = f.Pick(query(), start)
	require.True(t, ok)
	assert.False(t, choice.Limit.IsLimited)
}

// Calls avoid a target without permits, and wait for one only if that is sooner than a
// target elsewhere, and within the time that they have.
func TestCallsAvoidTargetsWithoutPermits(t *testing.T) {
	f := newFleet(2)
	f.RecordLimit(key(0), fivePerSecond, start, start)
	f.RecordPermitWait(key(0), 200*time.Millisecond, start)
	q := query()
	q.MaxWait = time.Second
	for range 3 {
		assert.Equal(t, key(1), send(t, f, q, start))
	}
	q.Exclude = append(q.Exclude, key(1))
	choice, ok := f.Pick(q, start)
	require.True(t, ok)
	assert.Equal(t, 200*time.Millisecond, choice.PermitWait)
	q.MaxWait = 100 * time.Millisecond
	_, ok = f.Pick(q, start)
	assert.False(t, ok)
}

// An entry that calls a target rarely has not seen its limit itself.
func TestLimitsAreExchanged(t *testing.T) {
	one, two := newFleet(1), newFleet(1)
	one.RecordLimit(key(0), fivePerSecond, start, start)
	report := one.LoadReport(start.Add(time.Second))
	assert.Equal(t, []loadboard.Limit{{Target: key(0).Hash(), PerSecond: 5, IsLimited: true, Age: time.Second}}, report.Limits)
	report.Limits[0].Wait = 100 * time.Millisecond
	two.RecordOthers(loadboard.Summary{Limits: report.Limits}, start.Add(time.Second))
	q := query()
	q.MaxWait = time.Second
	choice, ok := two.Pick(q, start.Add(time.Second))
	require.True(t, ok)
	assert.Equal(t, fivePerSecond, choice.Limit)
	assert.Equal(t, 100*time.Millisecond, choice.PermitWait)
	assert.Empty(t, one.LoadReport(start.Add(time.Minute)).Limits, "old observations are not reported")
}
