package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/quota"
)

var (
	start   = time.Unix(1000, 0)
	limited = catalog.Quota{PerSecond: 100, Burst: 100}
)

// granted returns a holder with grants in hand.
func granted(t *testing.T, n int) *quota.Holder {
	h := quota.New(1)
	d := h.Arrive("a", limited, 1, start)
	require.NotNil(t, d.Ask)
	h.RecordGrant(d.Ask, loadboard.QuotaGrant{Granted: n}, start)
	return h
}

// A burst of one account asked the board once for each request.
func TestConcurrentRequestsShareAnAsk(t *testing.T) {
	h := quota.New(1)
	first := h.Arrive("a", limited, 1, start)
	require.NotNil(t, first.Ask)
	assert.Equal(t, 1, first.Ask.Need)
	for range 9 {
		d := h.Arrive("a", limited, 1, start)
		assert.Equal(t, quota.Pending, d.Outcome)
		assert.Nil(t, d.Ask)
		assert.Equal(t, first.Answered, d.Answered)
	}
	h.RecordGrant(first.Ask, loadboard.QuotaGrant{Granted: 1}, start)
	<-first.Answered
	assert.Equal(t, quota.Asked, h.Resume("a", limited, 1, start).Outcome)
	second := h.Resume("a", limited, 1, start)
	require.NotNil(t, second.Ask)
	assert.Equal(t, 9, second.Ask.Need, "those that the first ask left without a grant")
}

// Unused grants of an account whose load has moved away kept others from their quota.
func TestUnusedGrantsAreReturned(t *testing.T) {
	h := granted(t, 10)
	assert.Equal(t, quota.InHand, h.Arrive("a", limited, 1, start).Outcome)
	asks, _ := h.Sweep(start.Add(400 * time.Millisecond))
	assert.Empty(t, asks)
	asks, _ = h.Sweep(start.Add(600 * time.Millisecond))
	require.Len(t, asks, 1)
	assert.Equal(t, 9, asks[0].Unused)
	assert.Zero(t, asks[0].Want)
	h.RecordGrant(asks[0], loadboard.QuotaGrant{}, start.Add(600*time.Millisecond))
	asks, _ = h.Sweep(start.Add(time.Second))
	assert.Empty(t, asks)
}

// Turns beyond their program's budget are refused after they were charged; their charges lay at
// one entry while others refused the account (quiet-1 of catalogo-vivo-grown).
func TestRefundIsReturnedAtOnce(t *testing.T) {
	h := granted(t, 1)
	require.Equal(t, quota.Asked, h.Resume("a", limited, 1, start).Outcome)
	ask := h.Refund("a", start)
	require.NotNil(t, ask)
	assert.Equal(t, 1, ask.Unused)
	assert.Nil(t, h.Refund("a", start), "one ask in flight")
}

func TestSteadyDemandIsAskedForInAdvance(t *testing.T) {
	h, now := granted(t, 1), start
	asks := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		d := h.Arrive("a", limited, 1, now)
		if d.Ask != nil {
			asks++
			assert.LessOrEqual(t, d.Ask.Want, 25, "a quarter of a second of the demand")
			h.RecordGrant(d.Ask, loadboard.QuotaGrant{Granted: d.Ask.Want}, now)
		}
	}
	assert.Less(t, asks, 40)
}

// A grant of the higher quota would have been used after the quota fell.
func TestGrantsBeyondLoweredQuotaAreReturned(t *testing.T) {
	h := granted(t, 25)
	low := catalog.Quota{PerSecond: 4, Burst: 1}
	assert.Equal(t, quota.InHand, h.Arrive("a", low, 2, start).Outcome)
	d := h.Arrive("a", low, 2, start)
	require.NotNil(t, d.Ask)
	assert.Equal(t, 24, d.Ask.Unused)
	assert.Equal(t, low.PerSecond, d.Ask.PerSecond)
}

// Programs that the fleet had no room for counted as started, and new ones were held back.
func TestOnlyProgramsThatStartAreReported(t *testing.T) {
	h := granted(t, 1)
	require.True(t, h.Start("a", start).Outcome.IsAdmitted())
	require.True(t, h.Start("a", start).Outcome.IsAdmitted())
	h.RecordStart("a")
	require.Equal(t, quota.Asked, h.Resume("a", limited, 1, start).Outcome)
	ask := h.Refund("a", start)
	require.NotNil(t, ask)
	assert.Equal(t, 1, ask.Started)
}

func TestRefusalsAreToldApartAndReported(t *testing.T) {
	h := quota.New(1)
	refuse := func(partial bool, now time.Time) quota.Decision {
		d := h.Arrive("a", limited, 1, now)
		h.RecordGrant(d.Ask, loadboard.QuotaGrant{Wait: 50 * time.Millisecond, IsPartial: partial}, now)
		return h.Resume("a", limited, 1, now)
	}
	d := refuse(false, start)
	assert.Equal(t, quota.Decision{Outcome: quota.Refused, RetryAfter: 50 * time.Millisecond, Begins: true}, d)
	d = h.Arrive("a", limited, 1, start)
	assert.Equal(t, quota.Decision{Outcome: quota.Refused, RetryAfter: 60 * time.Millisecond}, d, "it returns after the one before")
	_, ended := h.Sweep(start.Add(4 * time.Second))
	assert.Empty(t, ended)
	_, ended = h.Sweep(start.Add(6 * time.Second))
	assert.Equal(t, []quota.Episode{{Name: "a", Refused: 2}}, ended)
	assert.Equal(t, quota.Unknown, refuse(true, start.Add(7*time.Second)).Outcome, "the board does not know all processes")
}
