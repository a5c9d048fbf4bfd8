package fairshare_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/fairshare"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

var start = time.Unix(1000, 0)

// Room that one account leaves goes to those that want more, by weight.
func TestLevelIsMaxMinFair(t *testing.T) {
	claims := func() []fairshare.Claim {
		return []fairshare.Claim{{Weight: 1, Wanted: 100}, {Weight: 1, Wanted: 2}, {Weight: 3, Wanted: 50}}
	}
	assert.InDelta(t, 10, fairshare.Level(claims(), 42), 1e-9, "2 for the second, the rest 1 to 3")
	assert.InDelta(t, 30, fairshare.Level(claims(), 82), 1e-9, "50 for the third, too")
	assert.True(t, math.IsInf(fairshare.Level(claims(), 152), 1))
	assert.Zero(t, fairshare.Level(claims(), -1))
	assert.True(t, math.IsInf(fairshare.Level(nil, 1), 1))
}

// A burst must not raise the share of its account by becoming usual within seconds.
func TestBurstDoesNotBecomeUsual(t *testing.T) {
	tracker := fairshare.NewTracker()
	begin := func(id uint64, n int, now time.Time) {
		for range n {
			tracker.Begin(id, now)
		}
	}
	for id := range uint64(4) {
		begin(1+id, 10, start)
	}
	burst := start.Add(20 * time.Second)
	begin(1, 70, burst)
	now := burst.Add(10 * time.Second)
	tracker.Observe(0.7, now)
	one, two := tracker.Usage(1, now), tracker.Usage(2, now)
	assert.True(t, one.IsUnusual())
	assert.False(t, one.IsWithin(1))
	assert.False(t, two.IsUnusual())
	assert.True(t, two.IsWithin(1))
	assert.InDelta(t, 1, two.Blame, 1e-9, "the burst explains the whole excess")
}

// An account that other entries have never seen gets a part of the room at once.
func TestNewAccountHasAShare(t *testing.T) {
	tracker := fairshare.NewTracker()
	for range 100 {
		tracker.Begin(1, start)
	}
	now := start.Add(20 * time.Second)
	tracker.Observe(0.9, now)
	assert.True(t, tracker.Usage(2, now).IsWithin(1))
}

// The report names the accounts with most work, however many there are.
func TestReportIsBounded(t *testing.T) {
	tracker := fairshare.NewTracker()
	for id := range uint64(2 * loadboard.MaxAccounts) {
		tracker.Begin(id+1, start)
	}
	tracker.Begin(7, start)
	tracker.Refuse(7, start)
	report := tracker.Report(start)
	assert.Len(t, report, loadboard.MaxAccounts)
	assert.Equal(t, loadboard.AccountLoad{AccountKey: loadboard.AccountKey{Account: 7}, Calls: 2, Refused: 1}, report[0])
	assert.Empty(t, fairshare.NewTracker().Report(start))
}

// An entry that knows of no calls of accounts, such as one that has just started beside loaded
// engines, refuses nobody.
func TestNothingKnownRefusesNobody(t *testing.T) {
	tracker := fairshare.NewTracker()
	tracker.Observe(0.9, start)
	assert.True(t, tracker.Usage(1, start).IsWithin(0.5))
}
