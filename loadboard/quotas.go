package loadboard

import (
	"math"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/tokenbucket"
)

const (
	// quotaAllowance is the time in whose requests the capacity of an account's bucket exceeds
	// the burst, up to maxQuotaAllowance requests: requests that come at an even rate do not
	// arrive evenly.
	quotaAllowance    = 5 * time.Second
	maxQuotaAllowance = 12
	// quotaStart and quotaStartRequests are how much a board grants of a quota at first if it
	// can't know what another board has granted before: a time at the account's rate, and a
	// number of requests.
	quotaStart         = 250 * time.Millisecond
	quotaStartRequests = 4
	// scarceShare is the part of what is left of a quota that one process may get for requests
	// that have not arrived yet.
	scarceShare = 0.25
	// quotaTTL is how long an account without asks is remembered.
	quotaTTL = time.Minute
	// maxReturnWait bounds the time after which refused requests are told to return.
	maxReturnWait = 5 * time.Second
	// coverageTTL is how long a process counts as one that uses this board, and
	// coverageSilence how long it may be silent. Idle processes report once a second.
	coverageTTL     = time.Minute
	coverageSilence = 2 * time.Second
	// coverageDelay is the time in which a board that takes over has asks of processes that
	// have not reported yet. What it grants in it is bounded by what it begins with.
	coverageDelay = 200 * time.Millisecond
)

// QuotaAsk asks for requests out of an account's quota.
type QuotaAsk struct {
	// Account is the hash of the account's name.
	Account uint64
	// PerSecond and Burst are the quota, as of a version of the configuration.
	PerSecond, Burst float64
	Version          int64
	// Want is the number of requests asked for, of which Need have arrived already.
	Want, Need int
	// Unused is the number of requests that were granted earlier and are returned.
	Unused int
	// Spent is the number of requests that ran without a grant: further executions, and those
	// admitted while no board answered.
	Spent int
	// Refused is the number of requests that the process has refused since its last ask, and
	// Started that of the programs that it has started.
	Refused, Started int
	// Processes is the number of processes that the asking one knows, or 0.
	Processes int
}

// QuotaGrant is the response to a QuotaAsk.
type QuotaGrant struct {
	Granted int
	// Wait is the time until there is room for the next request, after those that were refused
	// before; only if nothing was granted.
	Wait time.Duration
	// IsPartial means that the board does not know most processes and grants only a share of the
	// quota. A refusal does not mean that the account is over its quota.
	IsPartial bool
	// StartWait is the time until there is room for a whole program; 0 if there is now.
	StartWait time.Duration
}

// quotaState is what a board has granted of one account's quota.
type quotaState struct {
	perSecond, burst float64
	version          int64
	bucket           tokenbucket.Bucket
	// returns are the refused requests that have been told when to return.
	returns   tokenbucket.Bucket
	committed committed
	askedAt   time.Time
	// coveredSince is that of the board when the level was last checked against it.
	coveredSince time.Time
}

// coverage is which processes use a board. Until half of those known have reported,
// other boards may have granted the same quotas.
type coverage struct {
	reportedAt map[string]time.Time
	// active is the number of processes that have reported within coverageSilence.
	active    int
	isCovered bool
	since     time.Time
	// usedSince is the time of the first ask, or of the first report after a time without any.
	usedSince time.Time
}

func (c *coverage) report(process string, now time.Time) {
	if len(c.reportedAt) == 0 {
		c.isCovered, c.since, c.usedSince = false, now, now
	}
	if now.Sub(c.reportedAt[process]) > coverageSilence {
		c.active++
	}
	c.reportedAt[process] = now
}

func (c *coverage) update(now time.Time) {
	if c.usedSince.IsZero() {
		c.usedSince = now
	}
	c.active = 0
	for process, at := range c.reportedAt {
		switch silence := now.Sub(at); {
		case silence > coverageTTL:
			delete(c.reportedAt, process)
		case silence <= coverageSilence:
			c.active++
		}
	}
	isCovered := 2*c.active >= len(c.reportedAt)
	if !isCovered || !c.isCovered {
		c.since = now
	}
	c.isCovered = isCovered
}

// share returns the share of the quotas that the board may grant, and whether it has the
// majority of the known processes. Those that are silent may have ended, decide alone or use
// another board. The board with the majority leaves them half of their part, which is what
// another board grants them.
func (c *coverage) share(known int, now time.Time) (share float64, isMajority bool) {
	if now.Sub(c.usedSince) < coverageDelay {
		return 1, true
	}
	present := float64(max(1, c.active)) / float64(max(1, known, len(c.reportedAt)))
	if present > 0.5 {
		return (1 + min(1, present)) / 2, true
	}
	return present / 2, false
}

// AcquireQuota grants one process requests out of an account's quota. All grants of an account
// are made by one board, so that what one process does not use is there for the others.
//
// Invariant: for any span of time, a board grants at most as many requests, without those
// returned, as the highest version of the quota and the capacity of its bucket allow.
func (b *Board) AcquireQuota(ask QuotaAsk, now time.Time) QuotaGrant {
	b.expire(now)
	if !(ask.PerSecond > 0) {
		return QuotaGrant{Wait: maxReturnWait}
	}
	q := b.quotaOf(ask, now)
	share, isMajority := b.coverage.share(ask.Processes, now)
	q.bucket.Return(tokenbucket.Period(float64(ask.Unused), q.perSecond))
	q.bucket.Take(tokenbucket.Period(float64(ask.Spent), q.perSecond), now)
	q.recordRefused(ask.Refused, now)
	grant := QuotaGrant{Granted: q.available(ask, share, now), IsPartial: !isMajority}
	b.recordPrograms(q, grant.Granted+ask.Spent-ask.Unused, ask.Started, now)
	if grant.Granted > 0 {
		q.bucket.Take(tokenbucket.Period(float64(grant.Granted), q.perSecond*share), now)
	} else if ask.Want > 0 {
		grant.Wait = min(maxReturnWait, max(q.waitForOne(now), q.returns.Used(now)))
	}
	// A board that has just taken over knows neither the level nor the programs under way.
	if now.Sub(b.coverage.since) >= programTime {
		grant.StartWait = b.startWait(q, now)
	}
	return grant
}

// quotaOf returns the state of the account's quota, which it creates or brings up to date.
func (b *Board) quotaOf(ask QuotaAsk, now time.Time) *quotaState {
	q := b.quotas[ask.Account]
	if q == nil {
		q = &quotaState{perSecond: ask.PerSecond, burst: ask.Burst, version: ask.Version}
		b.quotas[ask.Account] = q
	}
	q.askedAt = now
	if ask.Version > q.version {
		q.change(ask, now)
	}
	if b.coverage.since.After(q.coveredSince) || !b.coverage.isCovered {
		q.coveredSince = b.coverage.since
		start := quotaStartRequests + q.perSecond*(quotaStart+now.Sub(b.coverage.since)).Seconds()
		q.setLevel(min(q.level(now), start), now)
	}
	return q
}

// QuotaCapacity returns how many requests a full bucket of a quota holds.
func QuotaCapacity(perSecond, burst float64) float64 {
	return max(1, burst+min(maxQuotaAllowance, perSecond*quotaAllowance.Seconds()))
}

func (q *quotaState) capacity() float64 { return QuotaCapacity(q.perSecond, q.burst) }

// ahead is the time that a full bucket lasts.
func (q *quotaState) ahead() time.Duration { return tokenbucket.Period(q.capacity(), q.perSecond) }

// level returns the number of requests in the bucket; negative after executions that needed
// no grant.
func (q *quotaState) level(now time.Time) float64 {
	return q.capacity() - q.bucket.Used(now).Seconds()*q.perSecond
}

func (q *quotaState) setLevel(level float64, now time.Time) {
	q.bucket.SetUsed(tokenbucket.Period(q.capacity()-level, q.perSecond), now)
}

// change adopts a newer quota. The level stays, within the new capacity.
func (q *quotaState) change(ask QuotaAsk, now time.Time) {
	level := q.level(now)
	q.perSecond, q.burst, q.version = ask.PerSecond, ask.Burst, ask.Version
	q.setLevel(min(max(level, -q.capacity()), q.capacity()), now)
}

// available returns how many of the requests asked for are granted.
func (q *quotaState) available(ask QuotaAsk, share float64, now time.Time) int {
	if ask.Want <= 0 || q.waitForOne(now) > 0 {
		return 0
	}
	level := max(1, math.Floor(q.level(now)*share))
	advance := max(1, math.Floor(level*scarceShare))
	return min(ask.Want, int(min(level, max(advance, float64(ask.Need)))))
}

// waitForOne returns the time until the bucket has one request.
func (q *quotaState) waitForOne(now time.Time) time.Duration {
	return q.bucket.Wait(q.ahead()-tokenbucket.Period(1, q.perSecond), now)
}

// recordRefused counts refused requests, which return one after the other.
func (q *quotaState) recordRefused(n int, now time.Time) {
	q.returns.Take(tokenbucket.Period(float64(n), q.perSecond), now)
	if q.returns.Used(now) > maxReturnWait {
		q.returns.SetUsed(maxReturnWait, now)
	}
}

// expireQuotas removes the accounts without recent asks whose buckets are full.
func (b *Board) expireQuotas(now time.Time) {
	for account, q := range b.quotas {
		if now.Sub(q.askedAt) > quotaTTL && q.bucket.Used(now) == 0 {
			delete(b.quotas, account)
		}
	}
}
