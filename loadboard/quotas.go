package loadboard

import (
	"math"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/tokenbucket"
)

const (
	// quotaWindow is the time for which what an account was granted counts. The limit is that of
	// the requests in each window: the rate times quotaWindow and the burst.
	quotaWindow = 5 * time.Second
	// quotaAllowance is the time in whose requests of a window may come at once besides the burst,
	// since they do not arrive evenly. The others come evenly: a board that takes over does not
	// know what another one has granted at once.
	quotaAllowance = time.Second
	// quotaMargin is a number of requests in a window beyond the limit, at most those of a window
	// at the rate: what is granted is not used at that moment, and may not be used at all. What is
	// in hand grows with the rate, so the margin is less by the requests of quotaMarginTime.
	quotaMargin     = 12
	quotaMarginTime = 200 * time.Millisecond
	// quotaStart and quotaStartRequests are how much a board grants of a quota at first if it
	// can't know what another board has granted before: a time at the account's rate, and a
	// number of requests.
	quotaStart         = 200 * time.Millisecond
	quotaStartRequests = 6
	// scarceShare is the part of what is left of a quota that one process may get for requests
	// that have not arrived yet.
	scarceShare = 0.25
	// quotaTTL is how long an account without asks is remembered; longer than quotaWindow.
	quotaTTL = time.Minute
	// maxReturnWait bounds the time after which refused requests are told to return.
	maxReturnWait = 5 * time.Second
	// coverageTTL is how long a process counts as one that uses this board, and
	// coverageSilence how long it may be silent. Idle processes report once a second.
	coverageTTL     = time.Minute
	coverageSilence = 1500 * time.Millisecond
	// coverageDelay is the time in which a board that takes over has asks of processes that
	// have not reported yet. What it grants in it is bounded by what it begins with.
	coverageDelay = 200 * time.Millisecond
)

// QuotaAsk asks for requests out of an account's quota.
type QuotaAsk struct {
	// Process is the name of the asking process.
	Process string
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
	bucket           tokenbucket.Window
	// returns are the refused requests that have been told when to return.
	returns  tokenbucket.Bucket
	programs startedPrograms
	askedAt  time.Time
	// coveredSince is since when the board had the majority when the account last began anew;
	// once a window at most.
	coveredSince time.Time
}

// coverage is which processes use a board. Until the majority of those known have reported,
// other boards may have granted the same quotas.
type coverage struct {
	reportedAt map[string]time.Time
	// active is the number of processes that have reported within coverageSilence.
	active int
	// known is the greatest number of processes that an ask has named, until knownUntil.
	known      int
	knownUntil time.Time
	// isMajority is set while the board has the majority of the processes, since a time.
	isMajority bool
	since      time.Time
	// usedSince is the time of the first ask, or of the first report after a time without any.
	usedSince time.Time
}

// report counts a process as one that uses the board. Without a name it only updates the state.
func (c *coverage) report(process string, now time.Time) {
	if c.usedSince.IsZero() || process != "" && len(c.reportedAt) == 0 {
		c.isMajority, c.usedSince = false, now
	}
	if process != "" {
		if now.Sub(c.reportedAt[process]) > coverageSilence {
			c.active++
		}
		c.reportedAt[process] = now
	}
	c.checkMajority(now)
}

// recordKnown records the number of processes that an asking one knows, or 0.
func (c *coverage) recordKnown(processes int, now time.Time) {
	if processes >= c.known || !now.Before(c.knownUntil) {
		c.known, c.knownUntil = processes, now.Add(coverageTTL)
	}
}

func (c *coverage) update(now time.Time) {
	c.active = 0
	for process, at := range c.reportedAt {
		switch silence := now.Sub(at); {
		case silence > coverageTTL:
			delete(c.reportedAt, process)
		case silence <= coverageSilence:
			c.active++
		}
	}
	c.checkMajority(now)
}

func (c *coverage) checkMajority(now time.Time) {
	isOnly := len(c.reportedAt) == 0 && c.known <= 1
	isMajority := isOnly || 2*c.active > c.processes() || now.Sub(c.usedSince) < coverageDelay
	if isMajority && !c.isMajority {
		c.since = now
	}
	c.isMajority = isMajority
}

// processes returns the number of known processes.
func (c *coverage) processes() int { return max(1, c.known, len(c.reportedAt)) }

// share returns the share of the quotas that the board may grant. Processes that are silent may
// have ended, decide alone or use another board. The board with the majority leaves them half of
// their part, which is what another board grants them.
func (c *coverage) share(now time.Time) float64 {
	present := float64(max(1, c.active)) / float64(c.processes())
	switch {
	case now.Sub(c.usedSince) < coverageDelay:
		return 1
	case c.isMajority:
		return (1 + min(1, present)) / 2
	default:
		return present / 2
	}
}

// AcquireQuota grants one process requests out of an account's quota. All grants of an account
// are made by one board, so that what one process does not use is there for the others.
//
// Invariant: for any span of time up to quotaWindow, a board grants at most as many requests,
// without those returned, as the highest version of the quota and the capacity of its bucket allow.
func (b *Board) AcquireQuota(ask QuotaAsk, now time.Time) QuotaGrant {
	b.expire(now)
	if !(ask.PerSecond > 0) {
		return QuotaGrant{Wait: maxReturnWait}
	}
	b.coverage.recordKnown(ask.Processes, now)
	// An ask goes on to the next member sooner than a report.
	b.coverage.report(ask.Process, now)
	q, share := b.quotaOf(ask, now), b.coverage.share(now)
	q.bucket.Return(float64(ask.Unused))
	q.bucket.Take(float64(ask.Spent), q.refill(), now)
	q.recordRefused(ask.Refused, now)
	grant := QuotaGrant{Granted: q.available(ask, share, now), IsPartial: !b.coverage.isMajority}
	b.recordPrograms(q, grant.Granted+ask.Spent-ask.Unused, ask.Started, now)
	if grant.Granted > 0 {
		q.bucket.Take(float64(grant.Granted)/share, q.refill(), now)
	} else if ask.Want > 0 {
		grant.Wait = min(maxReturnWait, max(q.waitForOne(now), q.returns.Used(now)))
	}
	// A board that has just taken over knows neither the level nor the programs under way.
	if now.Sub(b.coverage.since) >= startsUnknown {
		grant.StartWait = b.startWait(q, now)
	}
	return grant
}

// quotaOf returns the state of the account's quota, which it creates or brings up to date.
func (b *Board) quotaOf(ask QuotaAsk, now time.Time) *quotaState {
	q := b.quotas[ask.Account]
	if q == nil {
		q = &quotaState{perSecond: ask.PerSecond, burst: ask.Burst, version: ask.Version, bucket: tokenbucket.NewWindow(quotaWindow, now)}
		b.quotas[ask.Account] = q
	}
	q.askedAt = now
	if ask.Version > q.version {
		q.change(ask, now)
	}
	start := quotaStartRequests + q.perSecond*quotaStart.Seconds()
	switch c := &b.coverage; {
	case !c.isMajority:
		q.bucket.RaiseUsed(q.capacity()-start, q.refill(), now)
	case c.since.Sub(q.coveredSince) >= quotaWindow:
		q.coveredSince = c.since
		q.bucket.SetUsed(q.capacity()-start, c.since)
	}
	return q
}

// QuotaCapacity returns how many requests of an account may come at once.
func QuotaCapacity(perSecond, burst float64) float64 {
	margin := min(quotaMargin, perSecond*quotaWindow.Seconds()) - perSecond*quotaMarginTime.Seconds()
	return max(1, burst+max(0, margin)+perSecond*quotaAllowance.Seconds())
}

func (q *quotaState) capacity() float64 { return QuotaCapacity(q.perSecond, q.burst) }

// refill is the rate in requests per second of those that may not come at once.
func (q *quotaState) refill() float64 {
	return q.perSecond * (1 - quotaAllowance.Seconds()/quotaWindow.Seconds())
}

// level returns the number of requests in the bucket; negative after executions that needed
// no grant.
func (q *quotaState) level(now time.Time) float64 {
	return q.capacity() - q.bucket.Used(q.refill(), now)
}

func (q *quotaState) setLevel(level float64, now time.Time) {
	q.bucket.SetUsed(q.capacity()-level, now)
}

// room returns the number of requests that may be granted until a time from now.
func (q *quotaState) room(d time.Duration, now time.Time) float64 {
	return q.capacity() + q.refill()*d.Seconds() - q.bucket.UsedAfter(d, q.refill(), now)
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
	return q.bucket.Wait(1, q.capacity(), q.refill(), now)
}

// recordRefused counts refused requests, which return one after the other.
func (q *quotaState) recordRefused(n int, now time.Time) {
	q.returns.Take(tokenbucket.Period(float64(n), q.perSecond), now)
	if q.returns.Used(now) > maxReturnWait {
		q.returns.SetUsed(maxReturnWait, now)
	}
}

// expireQuotas removes the accounts without recent asks.
func (b *Board) expireQuotas(now time.Time) {
	for account, q := range b.quotas {
		if now.Sub(q.askedAt) > quotaTTL {
			delete(b.quotas, account)
		}
	}
}
