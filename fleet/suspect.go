package fleet

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

const (
	// suspectRisk is the assumed probability that a target crashes while it executes a suspect,
	// a call that may crash it.
	suspectRisk = 0.5
	// lostCallFactor is the cost of a call that is lost in a crash, as a multiple of the average
	// duration of a call. Its caller waits for all of it again, after an error.
	lostCallFactor = 2.0
	// othersSuspectsTTL is how long the suspects of other processes count without a new report.
	othersSuspectsTTL = time.Second
)

// suspects are the calls in flight at a target that may crash it.
type suspects struct {
	// own are those of this process, others the processes that reported any at othersAt.
	own, others int
	othersAt    time.Time
}

func (s *suspects) any(now time.Time) bool {
	return s.own > 0 || s.others > 0 && now.Sub(s.othersAt) <= othersSuspectsTTL
}

// RecordSuspectStart records that a call that may crash its target is sent to it.
func (f *Fleet) RecordSuspectStart(key catalog.TargetKey) {
	if t := f.targets[key]; t != nil {
		t.suspects.own++
	}
}

// RecordSuspectEnd records that such a call has ended or is no longer suspected.
func (f *Fleet) RecordSuspectEnd(key catalog.TargetKey) {
	if t := f.targets[key]; t != nil {
		t.suspects.own = max(0, t.suspects.own-1)
	}
}

// ServiceOf returns the service of a target given by the hash of its key.
func (f *Fleet) ServiceOf(hash uint64) (name string, ok bool) {
	t := f.byHash[hash]
	if t == nil {
		return "", false
	}
	return t.Service, true
}

// RecordOthersCrash records that another process has found a target's process to have ended.
func (f *Fleet) RecordOthersCrash(hash uint64, now time.Time) {
	if t := f.byHash[hash]; t != nil {
		t.health.recordEnded(now)
	}
}

// withCrashRisk returns the expected cost of a call that costs ms if nothing crashes: what a
// crash by this call would cost the calls at the target, and what a crash by one of those would
// cost this call.
func (p *placement) withCrashRisk(t *target, load, ms float64) float64 {
	lossMS := lostCallFactor * p.service.durationMS
	risk := p.query.CrashRisk
	ms = (1-risk)*ms + risk*load*lossMS
	if t.suspects.any(p.now) {
		ms += suspectRisk * lossMS
	}
	return ms
}
