package fleet

import (
	"math"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/fairshare"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

const (
	// loadAveragingTime determines how fast the average load per slot decays without
	// load reports: the time constant is four times as long. A turn takes about half
	// a second.
	loadAveragingTime = 400 * time.Millisecond
	// loadReportWeight is the weight of one target's load report in the average.
	loadReportWeight = 0.15
	// maxAdmitLimit and minAdmitLimit bound a service's admission limit, an average
	// number of calls per slot. A new program may start while the average is below the
	// limit. Above maxAdmitLimit, engines queue calls, and the running programs miss
	// their objectives as well as the new ones.
	maxAdmitLimit = 0.95
	minAdmitLimit = 0.45
	// urgentAdmitFactor is the limit of priority 0 as a multiple of the limit of all other
	// priorities.
	urgentAdmitFactor = 1.2
	// limitIncrease is the increase of the limit with each turn whose first event met the
	// objective of its route, limitDecrease the decrease with each one that missed it, so
	// that the limit is stable while one in five misses it. programDecrease is the decrease
	// with each program that missed its objective; a program has several turns.
	limitIncrease   = 0.005
	limitDecrease   = 0.02
	programDecrease = 0.04
	// minOtherShare is the share of the recently admitted programs below which those that
	// are not urgent get the limit of urgent ones. admissionWeight is the weight of one
	// admitted program in that share.
	minOtherShare   = 0.15
	admissionWeight = 0.05
)

// Objective is the outcome of a time objective of a turn or program.
type Objective uint8

// Outcomes of objectives.
const (
	// FirstEventMet and FirstEventMissed state whether the first event of a turn met the
	// objective of its route.
	FirstEventMet Objective = iota
	FirstEventMissed
	// ProgramMissed means that a program's objective passed, or its caller gave up, during
	// a turn.
	ProgramMissed
)

// RecordObjective records the outcome of an objective. The admission limit falls while
// objectives are missed, and rises again while they are met. At a load below minAdmitLimit
// the load cannot be the cause, and the limit only rises.
func (f *Fleet) RecordObjective(name string, outcome Objective, now time.Time) {
	s := f.services[name]
	if s == nil || f.disabled.Disables(mechanism.AdaptiveAdmission) {
		return
	}
	if outcome == FirstEventMet {
		s.admitLimit = min(maxAdmitLimit, s.admitLimit+limitIncrease)
		return
	}
	if f.admissionLoad(s, now) <= minAdmitLimit {
		return
	}
	decrease := limitDecrease
	if outcome == ProgramMissed {
		decrease = programDecrease
	}
	s.admitLimit = max(minAdmitLimit, s.admitLimit-decrease)
	s.updateSteadyLimit(now)
}

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

// Program describes a program that asks to start.
type Program struct {
	Service string
	// Account is the hash of the client account's name; 0 if there is none.
	Account uint64
	// Priority is 0 for the most urgent programs.
	Priority int
}

// Admission is whether a program may start.
type Admission uint8

// Admissions of programs.
const (
	Admitted Admission = iota
	// Overloaded means that there is no room.
	Overloaded
	// OverShare means that the room that is left is kept for accounts within their shares.
	OverShare
)

// String returns the name of the decision in logs and metrics.
func (a Admission) String() string {
	switch a {
	case Overloaded:
		return "overloaded"
	case OverShare:
		return "over_share"
	}
	return "admitted"
}

// Decision is the decision on a program.
type Decision struct {
	Admission
	// Usage is that of the program's account if the decision depends on it.
	Usage fairshare.Usage
}

// Admit decides whether a new program may start now, and counts it if so. Running programs are
// never refused, since that would waste the work done for them.
func (f *Fleet) Admit(p Program, now time.Time) Decision {
	s := f.services[p.Service]
	if s == nil || !s.isEngine || f.disabled.Disables(mechanism.Admission) {
		return Decision{}
	}
	decision := f.decide(s, p, now)
	if decision.Admission != Admitted {
		s.recordRefused(p.Account, now)
		return decision
	}
	s.starts.add(now)
	share := 0.0
	if p.Priority > 0 {
		share = 1
	}
	s.otherShare += admissionWeight * (share - s.otherShare)
	return decision
}

func (f *Fleet) decide(s *service, p Program, now time.Time) Decision {
	limit := f.admitLimit(s, p.Priority == 0)
	if p.Account != 0 && !f.disabled.Disables(mechanism.FairShare) {
		return f.decideByShare(s, p, limit, now)
	}
	if f.admissionLoad(s, now) >= limit {
		return Decision{Admission: Overloaded}
	}
	return Decision{}
}

// admitLimit returns the limit of urgent programs or of all others. Others get the
// limit of urgent ones while they have too small a share of the admitted programs, so that
// urgent programs alone do not keep them out.
func (f *Fleet) admitLimit(s *service, isUrgent bool) float64 {
	if isUrgent || s.otherShare < minOtherShare && !f.disabled.Disables(mechanism.MinimumShare) {
		return s.admitLimit * urgentAdmitFactor
	}
	return s.admitLimit
}
