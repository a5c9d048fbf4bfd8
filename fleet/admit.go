package fleet

import (
	"math"
	"time"
)

const (
	// pressureMemory is the time over which the load that targets tell is averaged.
	// A turn takes about half a second.
	pressureMemory = 400 * time.Millisecond
	// pressureWeight is the weight of one target's word against what is known.
	pressureWeight = 0.15
	// admitUrgent and admitOthers are the calls per slot up to which programs of
	// priority 0 and of other priorities begin. With more, engines queue, and the
	// programs under way miss their objectives together with the new ones.
	admitUrgent = 1.15
	admitOthers = 0.95
)

// told takes the calls per slot of one target.
func (s *service) told(ratio float64, now time.Time) {
	known := s.pressureNow(now)
	s.pressure = known + pressureWeight*(ratio-known)
	s.pressureAt = now
}

// pressureNow returns the calls per slot. What was told long ago fades, so that a
// service that is left alone for its load is tried again.
func (s *service) pressureNow(now time.Time) float64 {
	age := now.Sub(s.pressureAt)
	if age <= 0 {
		return s.pressure
	}
	return s.pressure * math.Exp(-float64(age)/float64(4*pressureMemory))
}

// Admits says whether a program of a priority may begin at a service now. Programs
// under way go on: giving one up would waste what it has cost.
func (f *Fleet) Admits(name string, priority int, now time.Time) bool {
	s := f.services[name]
	if s == nil || !s.engine {
		return true
	}
	if priority == 0 {
		return s.pressureNow(now) < admitUrgent
	}
	return s.pressureNow(now) < admitOthers
}
