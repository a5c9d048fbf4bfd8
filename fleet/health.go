package fleet

import "time"

const (
	// ejectAfter is the number of failures in a row after which a target is left
	// out. One failure may be a lost connection.
	ejectAfter = 2
	// ejectMin and ejectMax bound the time for which it is left out; it doubles
	// with each failure of a probe.
	ejectMin = 500 * time.Millisecond
	ejectMax = 4 * time.Second
	// failureMS is the cost added for a recent failure, in milliseconds. It is
	// about what a call that has to be sent again loses.
	failureMS = 60.0
	// failureMemory is how long a failure counts.
	failureMemory = 2 * time.Second
)

// health judges a target by what calls to it show.
type health struct {
	failures int
	last     time.Time
	// until is when the target is tried again.
	until time.Time
}

func (h *health) record(outcome Outcome, now time.Time) {
	switch outcome {
	case Answered:
		h.failures = 0
		h.until = time.Time{}
	case Unreachable, Broken, Silent, Failed:
		h.failures++
		h.last = now
		if h.failures >= ejectAfter || outcome == Unreachable {
			h.until = now.Add(ejection(h.failures))
		}
	}
}

func ejection(failures int) time.Duration {
	d := ejectMin
	for i := ejectAfter; i < failures && d < ejectMax; i++ {
		d *= 2
	}
	return min(d, ejectMax)
}

func (h *health) usable(now time.Time) bool { return !now.Before(h.until) }

// penaltyMS makes targets that failed of late a second choice.
func (h *health) penaltyMS(now time.Time) float64 {
	if h.failures == 0 || now.Sub(h.last) > failureMemory {
		return 0
	}
	return failureMS * float64(h.failures)
}
