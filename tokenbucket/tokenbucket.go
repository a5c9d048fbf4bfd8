// Package tokenbucket is the form that all limits of a rate have in common.
package tokenbucket

import "time"

// maxPeriod bounds the time that tokens take at a rate close to zero.
const maxPeriod = 24 * time.Hour

// Bucket is a token bucket as virtual scheduling (GCRA): it holds the time at which all taken
// tokens are used up if they are used one after the other at the bucket's rate. The rate and
// the capacity are the caller's. The zero value is a full bucket.
type Bucket struct {
	usedUntil time.Time
}

// Period returns the time that n tokens take at a rate in tokens per second.
func Period(n, perSecond float64) time.Duration {
	if n <= 0 {
		return 0
	}
	seconds := n / perSecond
	if !(seconds < maxPeriod.Seconds()) {
		return maxPeriod
	}
	return time.Duration(seconds * float64(time.Second))
}

// Used returns the time until the bucket is full.
func (b *Bucket) Used(now time.Time) time.Duration { return max(0, b.usedUntil.Sub(now)) }

// Wait returns the time until the next token may be taken if tokens may be taken this long
// before their time.
func (b *Bucket) Wait(ahead time.Duration, now time.Time) time.Duration {
	return max(0, b.usedUntil.Sub(now.Add(ahead)))
}

// Take takes tokens with the given period, also if the bucket has too few.
func (b *Bucket) Take(period time.Duration, now time.Time) {
	if b.usedUntil.Before(now) {
		b.usedUntil = now
	}
	b.usedUntil = b.usedUntil.Add(period)
}

// Return puts tokens with the given period back. A full bucket stays full.
func (b *Bucket) Return(period time.Duration) { b.usedUntil = b.usedUntil.Add(-period) }

// SetUsed sets the time until the bucket is full.
func (b *Bucket) SetUsed(used time.Duration, now time.Time) { b.usedUntil = now.Add(max(0, used)) }
