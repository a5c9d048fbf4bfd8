package loadboard_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

const (
	requestsPerProgram = 10
	// requestPeriod is the mean time between two requests of a program.
	requestPeriod = 300 * time.Millisecond
)

// playPrograms offers programs of ten requests in three seconds to a board for a minute, at a
// multiple of what the quota allows. It returns how many had all their requests admitted, and
// how many requests were admitted for programs that then had one refused.
func playPrograms(multiple float64, hasGate bool) (completed, wasted int) {
	const perSecond = 30.0
	b, now := boardInUse()
	started, startsAt := 0, now
	take := func(at time.Time) bool {
		q := loadboard.QuotaAsk{Account: 7, PerSecond: perSecond, Burst: perSecond, Version: 1, Want: 1, Need: 1, Started: started}
		grant := b.AcquireQuota(q, at)
		started, startsAt = 0, at.Add(grant.StartWait)
		return grant.Granted == 1
	}
	type program struct {
		next time.Time
		made int
	}
	random := rand.New(rand.NewPCG(1, 2))
	pause := func() time.Duration { return requestPeriod/2 + time.Duration(random.Int64N(int64(requestPeriod))) }
	var running []program
	offered := 0.0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		b.Exchange("a", loadboard.Report{}, now)
		offered += multiple * perSecond / requestsPerProgram / 100
		for ; offered >= 1; offered-- {
			if hasGate && now.Before(startsAt) {
				continue
			}
			if take(now) {
				started++
				running = append(running, program{next: now.Add(pause()), made: 1})
			}
		}
		left := running[:0]
		for _, p := range running {
			if now.Before(p.next) {
				left = append(left, p)
				continue
			}
			if !take(now) {
				wasted += p.made
				continue
			}
			p.made, p.next = p.made+1, now.Add(pause())
			if p.made == requestsPerProgram {
				completed++
				continue
			}
			left = append(left, p)
		}
		running = left
	}
	return completed, wasted
}

// An account at three times its quota had its requests refused at random, so that nearly all of
// its programs lost one of theirs: programs under way go before new ones.
func TestProgramsUnderWayGoBeforeNewOnes(t *testing.T) {
	const possible = 60 * 30 / requestsPerProgram
	completed, wasted := playPrograms(3, true)
	without, wastedWithout := playPrograms(3, false)
	t.Log("completed", completed, without, "wasted", wasted, wastedWithout)
	assert.GreaterOrEqual(t, completed, possible*9/10)
	assert.LessOrEqual(t, without, possible/2)
	assert.LessOrEqual(t, wasted, wastedWithout/10)
}

// Below its quota an account has room for each of its programs.
func TestProgramsBelowQuotaStartAtOnce(t *testing.T) {
	completed, wasted := playPrograms(0.8, true)
	without, _ := playPrograms(0.8, false)
	assert.Equal(t, without, completed)
	assert.Zero(t, wasted)
}

// A board that took over counted the requests of programs whose starts it did not know, took
// programs for five times as long as they are and refused those of accounts far below their
// quotas for ten seconds (trouble-3 of catalogo-vivo-grown, after all processes had been killed).
func TestSizeIsNotLearnedFromProgramsStartedBefore(t *testing.T) {
	b, now := loadboard.New(), start
	take := func(account uint64, perSecond float64, n, started int) loadboard.QuotaGrant {
		return b.AcquireQuota(loadboard.QuotaAsk{Account: account, PerSecond: perSecond, Burst: perSecond, Version: 1, Want: n, Need: n, Started: started}, now)
	}
	for i := range 80 {
		b.Exchange("a", loadboard.Report{}, now)
		// The board learns of starts for the last seven seconds.
		take(7, 1000, 10, min(1, i/10))
		now = now.Add(100 * time.Millisecond)
	}
	for range 2 {
		assert.Zero(t, take(8, 12, 1, 1).StartWait)
	}
}
