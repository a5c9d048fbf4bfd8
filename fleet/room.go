package fleet

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

// room is what the targets of a service can execute at once, and what they have to.
type room struct {
	calls, slots float64
	// excess is the number of calls that wait at targets.
	excess float64
	// isLimited is set if a target has a rate limit.
	isLimited bool
}

// room returns the calls and slots of the targets that this process knows of. A target with a
// rate limit has as many slots as its permits keep in use, and the permits that are granted
// already count as calls.
func (s *service) room(now time.Time, countPermits bool) room {
	var r room
	for _, t := range s.targets {
		if t.Draining || t.health.hasEnded(now) {
			continue
		}
		calls, slots := t.load(now), float64(t.Slots)
		if t.limit.IsLimited && countPermits {
			r.isLimited = true
			if allowed := t.limit.PerSecond * s.durationMS / 1000; allowed < slots {
				// Calls beyond the permits were sent before the limit was known.
				slots = allowed
				calls += t.limit.PerSecond * t.limit.wait(now).Seconds()
			}
		}
		r.calls += calls
		r.slots += slots
		r.excess += max(0, calls-slots)
	}
	return r
}

// perSlot returns the calls per slot. If limits leave no slots, any call is too many.
func (r room) perSlot() float64 {
	if r.slots > 0 {
		return r.calls / r.slots
	}
	if r.isLimited {
		return maxAdmitLimit
	}
	return 0
}

// admissionLoad returns the load that admission compares with its limit: the average that the
// targets reported or, while targets have rate limits, what is known of all, since a target
// with a limit reports few calls however many wait for it.
func (f *Fleet) admissionLoad(s *service, now time.Time) float64 {
	load := s.currentLoadPerSlot(now)
	if r := s.room(now, !f.disabled.Disables(mechanism.PermitRoom)); r.isLimited {
		return max(load, r.perSlot())
	}
	return load
}
