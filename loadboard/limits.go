package loadboard

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/tokenbucket"
)

const (
	// permitBurst is how far ahead of a target's limit permits may be granted. It is short,
	// since another board that takes over knows nothing of what this one granted.
	permitBurst = 250 * time.Millisecond
	// MaxPermitWait is how far in the future the use of a permit may be. Like permitBurst, it
	// bounds what two boards in succession grant for the same time.
	MaxPermitWait = 400 * time.Millisecond
	// limitTTL is how long an observed limit is remembered without a new observation.
	limitTTL = time.Minute
	// minPermitRate is the rate of permits for targets with a lower limit, in permits per
	// second. Only an answer can tell that a limit has changed.
	minPermitRate = 0.5
)

// Limit is what an answer of a target has said about its rate limit.
type Limit struct {
	// Target is the hash of the target's catalog.TargetKey.
	Target uint64
	// PerSecond is the number of requests per second that the target accepts from all
	// processes together. It is valid if IsLimited; otherwise the limit has been lifted.
	PerSecond float64
	IsLimited bool
	// Age is the time since the answer arrived.
	Age time.Duration
	// Wait is the time until the next permit; only in summaries.
	Wait time.Duration
}

// limit is the state of one target's rate limit: the latest observation of any process, and
// the permits that have been granted.
type limit struct {
	perSecond  float64
	isLimited  bool
	observedAt time.Time
	permits    tokenbucket.Bucket
}

// recordLimits adopts those observations of a process that are the latest.
func (b *Board) recordLimits(observed []Limit, now time.Time) {
	for _, o := range observed {
		at := now.Add(-o.Age)
		if l := b.limits[o.Target]; l == nil || at.After(l.observedAt) {
			l = b.limitOf(o.Target)
			l.perSecond, l.isLimited, l.observedAt = o.PerSecond, o.IsLimited, at
		}
	}
}

// limitOf returns the state of a target's limit, which it creates if necessary.
func (b *Board) limitOf(target uint64) *limit {
	l := b.limits[target]
	if l == nil {
		l = &limit{}
		b.limits[target] = l
	}
	return l
}

// knownLimits returns the latest observation for each target.
func (b *Board) knownLimits(now time.Time) []Limit {
	var known []Limit
	for target, l := range b.limits {
		if l.observedAt.IsZero() || len(known) >= MaxTargets {
			continue
		}
		known = append(known, Limit{Target: target, PerSecond: l.perSecond, IsLimited: l.isLimited, Age: max(0, now.Sub(l.observedAt)), Wait: l.wait(now)})
	}
	return known
}

// Permit is the response to a request for a permit.
type Permit struct {
	Granted bool
	// Wait is the time after which the permit may be used or, if it was not granted, after
	// which one would be.
	Wait time.Duration
	// Next is the same for the permit after this one.
	Next time.Duration
}

// Acquire grants one process the permit for one request to a target with a rate limit, if it
// may be used within maxWait and MaxPermitWait. All permits of a target are granted by one
// board, so what one process does not use is there for the others.
//
// Invariant: for any span of time, a board grants at most as many permits for use in it as the
// target's limit and permitBurst allow.
func (b *Board) Acquire(target uint64, perSecond float64, maxWait time.Duration, now time.Time) Permit {
	l := b.limitOf(target)
	if l.observedAt.IsZero() {
		l.perSecond, l.isLimited, l.observedAt = perSecond, true, now
	}
	wait := l.wait(now)
	if wait > min(maxWait, MaxPermitWait) {
		return Permit{Wait: wait, Next: wait}
	}
	// The caller's limit may be older or newer than the board's; the lower one is safe.
	if l.isLimited {
		perSecond = min(perSecond, l.perSecond)
	}
	l.permits.Take(tokenbucket.Period(1, max(perSecond, minPermitRate)), now)
	return Permit{Granted: true, Wait: wait, Next: l.wait(now)}
}

// wait returns the time until the next permit.
func (l *limit) wait(now time.Time) time.Duration {
	return l.permits.Wait(permitBurst, now)
}

// expireLimits removes the limits that no process has observed for long.
func (b *Board) expireLimits(now time.Time) {
	for target, l := range b.limits {
		if now.Sub(l.observedAt) > limitTTL {
			delete(b.limits, target)
		}
	}
}
