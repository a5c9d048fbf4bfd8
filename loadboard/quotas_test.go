package loadboard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// boardInUse returns a board that has been used for a minute.
func boardInUse() (*loadboard.Board, time.Time) {
	b := loadboard.New()
	b.Exchange("a", loadboard.Report{}, start)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		b.Exchange("a", loadboard.Report{}, now)
	}
	return b, now
}

// ask asks for requests of a quota of which 40 may come at once, and 8 a second after them.
func ask(want, need int) loadboard.QuotaAsk {
	return loadboard.QuotaAsk{Account: 1, PerSecond: 10, Burst: 20, Version: 1, Want: want, Need: need}
}

// A grant that lay unused at one entry while another had to refuse cost accounts below their
// limit requests.
func TestScarceQuotaIsNotGrantedInAdvance(t *testing.T) {
	b, now := boardInUse()
	assert.Equal(t, 10, b.AcquireQuota(ask(100, 1), now).Granted, "a quarter of what is left")
	assert.Equal(t, 20, b.AcquireQuota(ask(100, 20), now).Granted, "requests that have arrived")
	got := b.AcquireQuota(ask(100, 20), now)
	assert.Equal(t, 10, got.Granted, "no more than there are")
	got = b.AcquireQuota(ask(1, 1), now)
	assert.Zero(t, got.Granted)
	assert.Equal(t, 125*time.Millisecond, got.Wait)
	assert.False(t, got.IsPartial)
	returned := ask(1, 1)
	returned.Unused = 5
	assert.Equal(t, 1, b.AcquireQuota(returned, now).Granted, "what is returned is there for others")
	assert.Equal(t, 4, b.AcquireQuota(ask(9, 9), now).Granted)
}

func TestRefusedRequestsReturnOneAfterTheOther(t *testing.T) {
	b, now := boardInUse()
	b.AcquireQuota(ask(100, 100), now)
	refused := ask(1, 1)
	refused.Refused = 20
	assert.Equal(t, 2*time.Second, b.AcquireQuota(refused, now).Wait)
	assert.Equal(t, 4*time.Second, b.AcquireQuota(refused, now).Wait)
	assert.Equal(t, 5*time.Second, b.AcquireQuota(refused, now).Wait)
}

// An entry with an older configuration must not raise a quota again that was lowered.
func TestNewestQuotaCounts(t *testing.T) {
	b, now := boardInUse()
	lowered := ask(100, 100)
	lowered.PerSecond, lowered.Burst, lowered.Version = 1, 2, 2
	assert.Equal(t, 7, b.AcquireQuota(lowered, now).Granted)
	assert.Zero(t, b.AcquireQuota(ask(100, 100), now).Granted)
	assert.Equal(t, 1, b.AcquireQuota(ask(100, 100), now.Add(time.Second)).Granted)
}

func TestFurtherExecutionsAreCharged(t *testing.T) {
	b, now := boardInUse()
	spent := ask(0, 0)
	spent.Spent = 50
	b.AcquireQuota(spent, now)
	assert.Zero(t, b.AcquireQuota(ask(1, 1), now.Add(1370*time.Millisecond)).Granted)
	assert.Equal(t, 1, b.AcquireQuota(ask(1, 1), now.Add(1380*time.Millisecond)).Granted)
}

// Another board may have granted the whole quota a moment ago.
func TestBoardThatTakesOverBeginsWithLittle(t *testing.T) {
	b := loadboard.New()
	b.Exchange("a", loadboard.Report{}, start)
	assert.InDelta(t, 8, b.AcquireQuota(ask(100, 100), start).Granted, 1)

	used, now := boardInUse()
	now = now.Add(10 * time.Second)
	used.Exchange("a", loadboard.Report{}, now)
	assert.InDelta(t, 8, used.AcquireQuota(ask(100, 100), now).Granted, 1, "after a time at another board")

	partial, now := boardInUse()
	few := ask(100, 100)
	few.Processes = 2
	got := partial.AcquireQuota(few, now)
	assert.Equal(t, 2, got.Granted, "half of its share of the processes, of what it begins with")
	assert.True(t, got.IsPartial)
}

// Half of the entries had another board for three seconds, and both boards granted more than
// the rest of the quota.
func TestBoardLeavesSilentProcessesAPart(t *testing.T) {
	b, now := boardInUse()
	b.Exchange("b", loadboard.Report{}, now)
	b.Exchange("c", loadboard.Report{}, now)
	b.Exchange("d", loadboard.Report{}, now)
	for range 3 {
		now = now.Add(time.Second)
		for _, process := range []string{"a", "b", "c"} {
			b.Exchange(process, loadboard.Report{}, now)
		}
	}
	got := b.AcquireQuota(ask(100, 100), now)
	assert.Equal(t, 35, got.Granted, "seven eighths of 40")
	assert.False(t, got.IsPartial)
}

// An account that is forgotten too early gets its burst twice in a window. The limit is that of
// each window: the burst is there again after it (an account that went on at 1.2 times its rate
// was refused a sixth of what it is due, quiet-1 of catalogo-vivo-grown).
func TestBurstCountsForAWindow(t *testing.T) {
	b, now := boardInUse()
	slow := ask(200, 200)
	slow.PerSecond, slow.Burst = 0.5, 100
	grantAfter := func(seconds int) int {
		for range seconds {
			now = now.Add(time.Second)
			b.Exchange("a", loadboard.Report{}, now)
		}
		return b.AcquireQuota(slow, now).Granted
	}
	assert.Equal(t, 102, grantAfter(200))
	assert.Equal(t, 2, grantAfter(4))
	assert.Equal(t, 101, grantAfter(2))
	assert.Equal(t, 3, grantAfter(4))
	assert.Equal(t, 102, grantAfter(70))
}

// After a member with the board had been replaced, asks reached the next one a second before
// reports did. One process had reported there, so all others were refused (trouble-3 of
// catalogo-vivo-grown).
func TestAskCountsAsReport(t *testing.T) {
	b, now := boardInUse()
	var got loadboard.QuotaGrant
	for _, process := range []string{"a", "b", "c", "d", "e", "f"} {
		few := ask(1, 1)
		few.Process, few.Processes = process, 10
		got = b.AcquireQuota(few, now)
	}
	assert.False(t, got.IsPartial)
	assert.Equal(t, 1, got.Granted)
}
