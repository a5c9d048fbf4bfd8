package fleet

import (
	"math"
	"time"
)

const (
	// loadAveragingTime determines how fast the average load per slot decays without
	// load reports: the time constant is four times as long. A turn takes about half
	// a second.
	loadAveragingTime = 400 * time.Millisecond
	// loadReportWeight is the weight of one target's load report in the average.
	loadReportWeight = 0.15
	// urgentAdmitLimit and otherAdmitLimit are average numbers of calls per slot. A
	// new program may start while the average is below the limit of its priority:
	// urgentAdmitLimit for priority 0, otherAdmitLimit for all others. Above these
	// limits, engines queue calls, and the running programs miss their objectives as
	// well as the new ones.
	urgentAdmitLimit = 1.15
	otherAdmitLimit  = 0.95
)

// recordLoad adds the calls per slot that one target reported to the average.
func (s *service) recordLoad(ratio float64, now time.Time) {
	known := s.currentLoadPerSlot(now)
	s.loadPerSlot = known + loadReportWeight*(ratio-known)
	s.loadPerSlotAt = now
}

// currentLoadPerSlot returns the average calls per slot. It decays while no load is
// reported, so that a service that admits no programs because of its load admits
// programs again.
func (s *service) currentLoadPerSlot(now time.Time) float64 {
	age := now.Sub(s.loadPerSlotAt)
	if age <= 0 {
		return s.loadPerSlot
	}
	return s.loadPerSlot * math.Exp(-float64(age)/float64(4*loadAveragingTime))
}

// Admits reports whether a new program with a priority may start at a service now.
// Running programs are never refused, since that would waste the work done for them.
func (f *Fleet) Admits(name string, priority int, now time.Time) bool {
	s := f.services[name]
	if s == nil || !s.isEngine {
		return true
	}
	if priority == 0 {
		return s.currentLoadPerSlot(now) < urgentAdmitLimit
	}
	return s.currentLoadPerSlot(now) < otherAdmitLimit
}
