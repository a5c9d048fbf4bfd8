package resident

import "time"

const (
	// lagPeriod is the time between two measurements of how late timers fire.
	lagPeriod = 40 * time.Millisecond
	// lagWeight is the weight of a new measurement in the average, which then
	// covers about half a second.
	lagWeight = 0.08
	// lagHigh is the average at which an entry is short of processor time: every
	// step of a turn waits that long, and a turn has some ten steps in an objective
	// of some hundred milliseconds. lagLow is where it is no longer; the gap keeps
	// it from changing with each measurement.
	lagHigh = 8 * time.Millisecond
	lagLow  = 2 * time.Millisecond
	// awayShare is the share of its time that an entry may be out of the balancer
	// for want of processor time. The platform expects entries to be ready for
	// seven eighths of the time.
	awayShare = 0.08
	// awayMax bounds what it saves up.
	awayMax = 3 * time.Second
	// awayMin is the shortest time out of the balancer, which notices after two
	// checks, a second each.
	awayMin = 1500 * time.Millisecond
)

// pressure decides when an entry that is short of processor time leaves the
// balancer, so that new connections go to entries on larger VMs. It is not safe
// for concurrent use.
type pressure struct {
	lag  time.Duration
	away bool
	// since is when away changed last; saved is the time that the entry may be
	// away, as of the last measurement.
	since, last time.Time
	saved       time.Duration
}

// newPressure returns the state of an entry that starts.
func newPressure(now time.Time) *pressure {
	return &pressure{since: now, last: now, saved: awayMax}
}

// observe takes how late a timer fired and returns whether the entry is to be out
// of the balancer.
func (p *pressure) observe(late time.Duration, now time.Time) bool {
	p.lag += time.Duration(lagWeight * float64(late-p.lag))
	passed := now.Sub(p.last)
	p.last = now
	if p.away {
		p.saved -= passed
	} else {
		p.saved = min(awayMax, p.saved+time.Duration(awayShare*float64(passed)))
	}
	switch {
	case p.away && (p.saved <= 0 || p.lag < lagLow && now.Sub(p.since) >= awayMin):
		p.away, p.since = false, now
	case !p.away && p.lag > lagHigh && p.saved >= awayMin:
		p.away, p.since = true, now
	}
	return p.away
}
