package fleet

import "time"

const (
	// ejectMin and ejectMax bound the time for which a target is left out after a
	// failure; it doubles with each failure of a probe. A target that fails at once
	// looks idle and would draw all calls, so one failure is enough; the first time
	// is short, since it may have been a lost answer.
	ejectMin = 300 * time.Millisecond
	ejectMax = 4 * time.Second
	// ejectShare is the share of a service's targets that may be left out. If more
	// fail, the cause lies elsewhere.
	ejectShare = 0.5
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
		h.until = now.Add(ejection(h.failures))
	}
}

func ejection(failures int) time.Duration {
	d := ejectMin
	for i := 1; i < failures && d < ejectMax; i++ {
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
