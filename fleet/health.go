package fleet

import "time"

const (
	// minEjection and maxEjection bound how long a target is ejected after a failure.
	// The time doubles with each failed probe. A target that fails immediately looks
	// idle and would attract all calls, so a single failure ejects it. The first
	// ejection is short, since the failure may only have been a lost answer.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxEjectedShare is the greatest share of a service's targets that may be
	// ejected. If more of them fail, the cause is probably elsewhere.
	maxEjectedShare = 0.5
	// failurePenaltyMS is the cost added for each recent failure, in milliseconds. It
	// is about the time that a call loses if it has to be sent again.
	failurePenaltyMS = 60.0
	// failurePenaltyTime is how long failurePenaltyMS is added after a failure.
	failurePenaltyTime = 2 * time.Second
	// atMostOncePenaltyMS is the cost added for at-most-once calls if the target failed
	// within atMostOncePenaltyTime, in milliseconds. It is about the duration of a
	// turn, since a turn is lost if its target fails.
	atMostOncePenaltyMS = 400.0
	// atMostOncePenaltyTime is longer than three heartbeats, after which a target that
	// has ended is removed from the store. Until then calls may still be sent to it
	// and fail.
	atMostOncePenaltyTime = 4 * time.Second
	// endedTime is how long a target whose process has ended gets no calls. A process that
	// starts again registers as another target, but a refused connection may have another
	// cause.
	endedTime = time.Second
)

const (
	// minFailingReports is how many other processes must report a target as failing before it
	// counts, so that one process with a fault of its own makes no target unpopular.
	minFailingReports = 2
	// othersFailingTTL is how long such reports count without new ones.
	othersFailingTTL = time.Second
)

// health tracks the failures of calls to a target. It is a circuit breaker: a failure
// opens it, which ejects the target for a limited time; after that it is half-open and
// lets one call probe the target.
type health struct {
	consecutiveFailures int
	lastFailure         time.Time
	// ejectedUntil is when the target may be probed.
	ejectedUntil time.Time
	// endedUntil is when a call may try again whether the process has ended.
	endedUntil time.Time
	// isProbing is set while a call probes the target.
	isProbing bool
	// othersFailing is the number of other processes at which the target failed recently, as
	// of othersFailingAt.
	othersFailing   int
	othersFailingAt time.Time
}

// recordStart records a call to the target, which is a probe if the target has failed.
func (h *health) recordStart() { h.isProbing = h.consecutiveFailures > 0 }

func (h *health) recordEnd(outcome Outcome, now time.Time) {
	h.isProbing = false
	switch outcome {
	case Answered:
		h.consecutiveFailures = 0
		h.ejectedUntil, h.endedUntil = time.Time{}, time.Time{}
	case Unreachable, ConnectionLost, TimedOut, ServerError, Ended:
		h.recordFailure(now)
	}
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	h.lastFailure = now
	h.ejectedUntil = now.Add(ejectionTime(h.consecutiveFailures))
}

func (h *health) recordEnded(now time.Time) {
	h.endedUntil = now.Add(endedTime)
}

// hasEnded reports whether the target's process is known to have ended. Unlike a target that
// fails, such a target gets no calls even if there is no other.
func (h *health) hasEnded(now time.Time) bool { return now.Before(h.endedUntil) }

// ejectionTime returns how long a target is ejected after that many failures in a row.
func ejectionTime(failures int) time.Duration {
	d := minEjection
	for i := 1; i < failures && d < maxEjection; i++ {
		d *= 2
	}
	return min(d, maxEjection)
}

// usable reports whether the target may get a call. An at-most-once call does not probe
// a target until maxEjection has passed since its last failure; by then, other calls
// should have probed it.
func (h *health) usable(atMostOnce bool, now time.Time) bool {
	if atMostOnce && h.consecutiveFailures > 0 && now.Sub(h.lastFailure) < maxEjection {
		return false
	}
	return !now.Before(h.ejectedUntil) && !h.isProbing
}

// failsAt reports whether the last call failed, and recently enough that at-most-once calls
// avoid the target.
func (h *health) failsAt(now time.Time) bool {
	return h.consecutiveFailures > 0 && now.Sub(h.lastFailure) <= atMostOncePenaltyTime
}

// failsAtOthers reports whether several other processes have found the target to fail. It
// is not ejected for that, since only calls of this process can show that it has recovered.
func (h *health) failsAtOthers(now time.Time) bool {
	return h.othersFailing >= minFailingReports && now.Sub(h.othersFailingAt) <= othersFailingTTL
}

// penaltyMS returns the cost added for recent failures, in milliseconds.
func (h *health) penaltyMS(atMostOnce bool, now time.Time) float64 {
	ms := 0.0
	if h.consecutiveFailures > 0 && now.Sub(h.lastFailure) <= failurePenaltyTime {
		ms = failurePenaltyMS * float64(h.consecutiveFailures)
	}
	failsAtOthers := h.failsAtOthers(now)
	if failsAtOthers {
		ms = max(ms, failurePenaltyMS*float64(h.othersFailing))
	}
	if atMostOnce && failsAtOthers {
		return ms + atMostOncePenaltyMS
	}
	if atMostOnce && !h.lastFailure.IsZero() && now.Sub(h.lastFailure) <= atMostOncePenaltyTime {
		ms += atMostOncePenaltyMS
	}
	return ms
}
