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
	// fragileMS is the cost added for a failure within fragileMemory to calls that
	// must not run twice, in milliseconds. It is about what a turn takes, which is
	// lost with its target.
	fragileMS = 400.0
	// fragileMemory is longer than three heartbeats, after which a target that has
	// gone is out of the store. Until then it may come and go.
	fragileMemory = 4 * time.Second
)

// health judges a target by what calls to it show. After a failure it is a circuit
// breaker: open for a time, then half open for one call.
type health struct {
	failures int
	last     time.Time
	// until is when the target is tried again.
	until time.Time
	// probing is set while one call tries the target.
	probing bool
}

// begin takes note of a call that is sent.
func (h *health) begin() { h.probing = h.failures > 0 }

func (h *health) record(outcome Outcome, now time.Time) {
	h.probing = false
	switch outcome {
	case Answered:
		h.failures = 0
		h.until = time.Time{}
	case Unreachable, ConnectionLost, TimedOut, ServerError:
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

// usable says whether the target may get a call. Calls that must not run twice do
// not try a target that has failed, unless nothing else does.
func (h *health) usable(fragile bool, now time.Time) bool {
	if fragile && h.failures > 0 && now.Sub(h.last) < ejectMax {
		return false
	}
	return !now.Before(h.until) && !h.probing
}

// penaltyMS makes targets that failed of late a second choice.
func (h *health) penaltyMS(fragile bool, now time.Time) float64 {
	ms := 0.0
	if h.failures > 0 && now.Sub(h.last) <= failureMemory {
		ms = failureMS * float64(h.failures)
	}
	if fragile && !h.last.IsZero() && now.Sub(h.last) <= fragileMemory {
		ms += fragileMS
	}
	return ms
}
