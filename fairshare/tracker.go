package fairshare

import (
	"math"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

const (
	// averagingTime is the time constant of the average of an account's calls in flight. It
	// is about as long as a program, whose pauses must not count as an account without work.
	averagingTime = 3 * time.Second
	// usualTime is the time constant of an account's usual number of calls in flight.
	usualTime = time.Minute
	// maxUsualFactor bounds the calls that count in the usual number once an account has been
	// seen for minSeen, as a multiple of it, so that a burst does not become usual. It still
	// becomes ten times as much in ten minutes.
	maxUsualFactor = 1.25
	minSeen        = 5 * time.Second
	// refusedTime is the time constant with which refused programs are forgotten.
	refusedTime = time.Second
	// blameTime is the time constant with which accounts are no longer to blame for the load
	// that they have caused. Objectives are still missed after their calls have ended.
	blameTime = 2 * time.Second
	// pressureTime is how long after the last decision under pressure the calls in flight are
	// not taken for usual.
	pressureTime = 2 * time.Second
	// othersTTL is how long the calls of other processes count without a new exchange. After
	// that, a process decides by its own calls.
	othersTTL = time.Second
	// minWeightShare is the smallest weight of an account, as a share of the mean. No account
	// is served less than a quarter as often as all.
	minWeightShare = 0.25
	// burstDeviations is how far above its share an account may be for a moment, in standard
	// deviations of calls that arrive at random.
	burstDeviations = 4.0
	// levelTTL is how long a level is used.
	levelTTL = 20 * time.Millisecond
	// accountTTL is how long an account without calls is remembered, and maxAccounts bounds
	// those remembered. Beyond it, accounts count as new.
	accountTTL  = 10 * time.Minute
	maxAccounts = 4096
)

// account is the state of one account.
type account struct {
	// calls are those of this process in flight, othersCalls those of other processes.
	calls       int
	othersCalls uint32
	// refused is the decayed number of programs refused by this process, othersRefused that
	// of other processes.
	refused       float64
	othersRefused uint32
	// average and usual are moving averages of all calls in flight.
	average, usual float64
	// seen is the time over which usual was averaged.
	seen time.Duration
	// updatedAt is when the averages were last updated.
	updatedAt time.Time
	usedAt    time.Time
	// nextReturn is when the next caller that is refused should return.
	nextReturn time.Time
}

// Tracker keeps the calls in flight of the accounts of one service. Accounts are known by
// hashes.
type Tracker struct {
	accounts map[uint64]*account
	othersAt time.Time
	// pressedAt is when a program last asked for room while there was none.
	pressedAt time.Time
	// level, meanUsual, growth, blame, beyond and total are those of levelAt. Beyond are the
	// calls that count for blame, total the calls in flight of all accounts.
	level, meanUsual, growth, blame, beyond, total float64
	levelAt                                        time.Time
	claims                                         []Claim
}

// NewTracker returns a tracker without accounts.
func NewTracker() *Tracker { return &Tracker{accounts: make(map[uint64]*account)} }

// Begin records that a call of an account is in flight.
func (t *Tracker) Begin(id uint64, now time.Time) {
	if a := t.get(id, now); a != nil {
		a.calls++
	}
}

// End records that a call of an account is no longer in flight.
func (t *Tracker) End(id uint64, now time.Time) {
	if a := t.accounts[id]; a != nil {
		t.update(a, now)
		a.calls = max(0, a.calls-1)
	}
}

// Refuse records that a program of an account was refused.
func (t *Tracker) Refuse(id uint64, now time.Time) {
	if a := t.get(id, now); a != nil {
		a.refused++
	}
}

// Report returns the accounts that other processes should know, those with most work first.
func (t *Tracker) Report(now time.Time) []loadboard.AccountLoad {
	var list []loadboard.AccountLoad
	for id, a := range t.accounts {
		t.update(a, now)
		if refused := math.Round(a.refused); a.calls > 0 || refused > 0 {
			list = append(list, loadboard.AccountLoad{AccountKey: loadboard.AccountKey{Account: id}, Calls: uint32(a.calls), Refused: uint32(refused)})
		}
	}
	return loadboard.BusiestAccounts(list)
}

// RecordOthers replaces what is known of other processes. Accounts that are not listed have
// no calls there.
func (t *Tracker) RecordOthers(others []loadboard.AccountLoad, now time.Time) {
	for id, a := range t.accounts {
		t.update(a, now)
		a.othersCalls, a.othersRefused = 0, 0
		if a.calls == 0 && now.Sub(a.usedAt) > accountTTL {
			delete(t.accounts, id)
		}
	}
	t.othersAt = now
	for _, o := range others {
		if a := t.get(o.Account, now); a != nil {
			a.othersCalls, a.othersRefused = o.Calls, o.Refused
		}
	}
}

// Usage is an account's use of the room, in calls.
type Usage struct {
	// InUse are the account's calls in flight, or their recent average if that is greater.
	InUse float64
	// Share is what the account may use while all the room is wanted. It is infinite if the
	// room is enough for all.
	Share float64
	// Total are the calls in flight of all accounts.
	Total float64
	// Normal is what the account would use if its demand had grown as that of most accounts.
	Normal float64
	// Blame is the part, in [0, 1], of the calls beyond the room that accounts have in flight
	// whose demand has grown far more than that of most. At 1, refusing their programs is
	// enough.
	Blame float64
}

// IsUnusual reports whether the account uses far more than normal for it.
func (u Usage) IsUnusual() bool { return u.InUse > u.Normal+1+burst(u.Normal) }

// IsWithin reports whether one more call would leave the account within its share. What it may
// use shrinks with left, the part in [0, 1] that is left of the room for accounts within their
// shares. While others are to blame for the load, the account may instead use what is normal
// for it, and exceed that for a moment, as random arrivals do.
func (u Usage) IsWithin(left float64) bool {
	if math.IsInf(u.Share, 1) {
		return true
	}
	if u.IsUnusual() {
		return u.InUse+1 <= u.Share*left
	}
	share := max(u.Share, u.Blame*u.Normal)
	allowed := share + 1 + u.Blame*burst(share)
	return u.InUse+1 <= allowed*(1-(1-u.Blame)*(1-left))
}

// burst returns how far above its share an account may be by chance.
func burst(share float64) float64 { return burstDeviations * math.Sqrt(share) }

// Observe updates the shares under pressure. Scale is the room there is, as a multiple of that
// in use.
func (t *Tracker) Observe(scale float64, now time.Time) {
	if scale <= 1 {
		if now.Sub(t.pressedAt) >= pressureTime {
			t.updateAll(now)
		}
		t.pressedAt = now
	}
	t.updateLevel(scale, now)
}

func (t *Tracker) updateAll(now time.Time) {
	for _, a := range t.accounts {
		t.update(a, now)
	}
}

// HasAccounts reports whether any account has had calls.
func (t *Tracker) HasAccounts() bool { return len(t.accounts) > 0 }

// IsPressed reports whether there is, or was shortly before, no room.
func (t *Tracker) IsPressed(now time.Time) bool { return now.Sub(t.pressedAt) < pressureTime }

// Usage returns an account's use of the room after Observe.
func (t *Tracker) Usage(id uint64, now time.Time) Usage {
	a := t.get(id, now)
	if a == nil {
		return Usage{Share: math.Inf(1), Total: t.total}
	}
	return Usage{
		InUse: max(a.average, t.inFlight(a, now)), Share: t.weight(a) * t.level,
		Total: t.total, Normal: t.growth * t.weight(a), Blame: t.blame,
	}
}

// updateLevel computes the level for a room, unless that was done less than levelTTL ago.
func (t *Tracker) updateLevel(scale float64, now time.Time) {
	if now.Sub(t.levelAt) < levelTTL {
		return
	}
	before := t.beyond * decay(now.Sub(t.levelAt), blameTime)
	t.levelAt, t.total = now, 0
	active, usual := 0, 0.0
	for _, a := range t.accounts {
		t.update(a, now)
		calls := t.inFlight(a, now)
		t.total += calls
		if calls+t.refused(a, now)+a.average > minActive {
			active++
			usual += a.usual
		}
	}
	t.meanUsual = usual / float64(max(1, active))
	t.claims = t.claims[:0]
	for _, a := range t.accounts {
		if wanted := t.inFlight(a, now) + t.refused(a, now); wanted > 0 {
			t.claims = append(t.claims, Claim{Weight: t.weight(a), Wanted: wanted})
		}
	}
	room := t.total * scale
	t.level = Level(t.claims, room)
	t.growth = t.medianGrowth()
	t.beyond = max(before, t.callsBeyondNormal(now))
	t.blame = 0
	if excess := t.total - room; excess > 0 {
		t.blame = min(1, t.beyond/excess)
	}
}

// medianGrowth returns the median, weighted by usual calls, of the calls in flight of the
// accounts as a multiple of what is usual for them.
func (t *Tracker) medianGrowth() float64 {
	t.claims = t.claims[:0]
	usual := 0.0
	for _, a := range t.accounts {
		if a.usual > minActive {
			t.claims = append(t.claims, Claim{Weight: a.usual, Wanted: a.average})
			usual += a.usual
		}
	}
	return weightedMedian(t.claims, usual)
}

// callsBeyondNormal returns the calls in flight beyond what is normal, of accounts whose demand
// has grown far more than that of most.
func (t *Tracker) callsBeyondNormal(now time.Time) float64 {
	beyond := 0.0
	for _, a := range t.accounts {
		normal, calls := t.growth*t.weight(a), t.inFlight(a, now)
		if calls > normal+1+burst(normal) {
			beyond += calls - normal
		}
	}
	return beyond
}

// minActive is the number of calls above which an account counts as active.
const minActive = 0.01

// weight returns the account's usual number of calls, or minWeightShare of the mean if that is
// more. An account that wants more than usual competes with its usual weight, and those that
// all want more by the same factor are served alike.
func (t *Tracker) weight(a *account) float64 {
	if t.meanUsual <= 0 {
		return 1
	}
	return max(a.usual, minWeightShare*t.meanUsual)
}

// inFlight returns the calls of an account at all processes.
func (t *Tracker) inFlight(a *account, now time.Time) float64 {
	if now.Sub(t.othersAt) > othersTTL {
		return float64(a.calls)
	}
	return float64(a.calls) + float64(a.othersCalls)
}

func (t *Tracker) refused(a *account, now time.Time) float64 {
	if now.Sub(t.othersAt) > othersTTL {
		return a.refused
	}
	return a.refused + float64(a.othersRefused)
}

// get returns the account after its averages have been updated, or nil if there are too many.
func (t *Tracker) get(id uint64, now time.Time) *account {
	a := t.accounts[id]
	if a == nil {
		if len(t.accounts) >= maxAccounts {
			return nil
		}
		a = &account{updatedAt: now}
		t.accounts[id] = a
	}
	t.update(a, now)
	a.usedAt = now
	return a
}

// update brings the averages of an account up to date. Its calls in flight have not changed
// since the last update, except that those of other processes may have become too old; they
// no longer count in the short average then.
func (t *Tracker) update(a *account, now time.Time) {
	if expiry := t.othersAt.Add(othersTTL); a.updatedAt.Before(expiry) && expiry.Before(now) {
		t.average(a, expiry)
		a.average = min(a.average, float64(a.calls))
	}
	t.average(a, now)
}

// average adds the calls in flight until now to the averages.
func (t *Tracker) average(a *account, now time.Time) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	calls := t.inFlight(a, now)
	a.average += (1 - decay(elapsed, averagingTime)) * (calls - a.average)
	a.refused *= decay(elapsed, refusedTime)
	a.updatedAt = now
	if now.Sub(t.pressedAt) < pressureTime {
		return
	}
	a.seen = min(a.seen+elapsed, usualTime)
	if a.seen > minSeen {
		calls = min(calls, maxUsualFactor*a.usual+1)
	}
	a.usual += min(1, float64(elapsed)/float64(a.seen)) * (calls - a.usual)
}

// decay returns the part that remains after a time.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(constant))
}
