package fleet

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// limitReportTime is how long an observed limit is reported to other processes.
const limitReportTime = 30 * time.Second

// Limit is a target's limit of requests per second from all processes together. It is valid
// if IsLimited is set.
type Limit struct {
	PerSecond float64
	IsLimited bool
}

// rateLimit is what is known of a target's limit.
type rateLimit struct {
	Limit
	// observedAt is when the answer arrived, here or at another process, that named the limit
	// or lifted it.
	observedAt time.Time
	// permitAt is the time before which no permit is to be had.
	permitAt time.Time
}

// RecordLimit records what an answer says of the target's limit. An answer without a limit
// lifts it only if its request was sent after the limit was named, since answers may arrive
// in another order than the target sent them. It reports whether a limit is new or lifted.
func (f *Fleet) RecordLimit(key catalog.TargetKey, limit Limit, sentAt, now time.Time) (changed bool) {
	t := f.targets[key]
	if t == nil || !limit.IsLimited && (!t.limit.IsLimited || !sentAt.After(t.limit.observedAt)) {
		return false
	}
	changed = limit.IsLimited != t.limit.IsLimited
	t.limit.Limit, t.limit.observedAt = limit, now
	return changed
}

// RecordPermitWait records the time after which the next permit for a target may be used.
func (f *Fleet) RecordPermitWait(key catalog.TargetKey, wait time.Duration, now time.Time) {
	if t := f.targets[key]; t != nil {
		t.limit.permitAt = now.Add(wait)
	}
}

// wait estimates how long a call would have to wait for a permit.
func (l *rateLimit) wait(now time.Time) time.Duration {
	if !l.IsLimited {
		return 0
	}
	return max(0, l.permitAt.Sub(now))
}

// limitReport returns the limits that other processes should know.
func (f *Fleet) limitReport(now time.Time) []loadboard.Limit {
	var limits []loadboard.Limit
	for hash, t := range f.byHash {
		if age := now.Sub(t.limit.observedAt); !t.limit.observedAt.IsZero() && age <= limitReportTime {
			limits = append(limits, loadboard.Limit{Target: hash, PerSecond: t.limit.PerSecond, IsLimited: t.limit.IsLimited, Age: age})
		}
	}
	return limits
}

// recordOthersLimits adopts later observations of other processes, and the time until the
// next permit of each target.
func (f *Fleet) recordOthersLimits(limits []loadboard.Limit, now time.Time) {
	for _, l := range limits {
		t := f.byHash[l.Target]
		if t == nil {
			continue
		}
		if at := now.Add(-l.Age); at.After(t.limit.observedAt) {
			t.limit.Limit, t.limit.observedAt = Limit{PerSecond: l.PerSecond, IsLimited: l.IsLimited}, at
		}
		t.limit.permitAt = now.Add(l.Wait)
	}
}
