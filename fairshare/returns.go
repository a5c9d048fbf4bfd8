package fairshare

import (
	"math"
	"time"
)

const (
	// minReturn is the shortest time after which a caller returns. Before that, no room can
	// have become free.
	minReturn = 50 * time.Millisecond
	// minReturnRate bounds the time between two returns, in returns per second.
	minReturnRate = 0.5
)

// ReturnAfter returns the time after which the next refused caller of an account should return:
// when the account's calls have fallen to its share, and after those callers that were refused
// before, at the rate at which the account's programs may start. Callers thus return in the
// order in which they came, and not all at once. PerSecond is the rate at which programs of all
// accounts start here, and usable the longest time that the caller can use.
func (t *Tracker) ReturnAfter(id uint64, perSecond float64, usable time.Duration, now time.Time) time.Duration {
	a := t.accounts[id]
	if a == nil {
		return min(minReturn, usable)
	}
	u := t.Usage(id, now)
	if free := now.Add(max(minReturn, u.untilShare())); a.nextReturn.Before(free) {
		a.nextReturn = free
	}
	wait := a.nextReturn.Sub(now)
	if wait > usable {
		// The caller returns too early in any case, and takes no place.
		return max(0, usable)
	}
	rate := max(minReturnRate, perSecond*u.part())
	a.nextReturn = a.nextReturn.Add(time.Duration(float64(time.Second) / rate))
	return wait
}

// untilShare estimates how long it takes until the account's calls have fallen to its share if
// none is added. Programs end after averagingTime on average.
func (u Usage) untilShare() time.Duration {
	if u.InUse <= u.Share || u.Share <= 0 {
		return 0
	}
	return time.Duration(math.Log(u.InUse/u.Share) * float64(averagingTime))
}

// part returns the part of all calls that is the account's share.
func (u Usage) part() float64 {
	if u.Total <= 0 {
		return 1
	}
	return min(1, u.Share/u.Total)
}
