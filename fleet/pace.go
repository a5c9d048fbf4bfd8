package fleet

import (
	"math"
	"time"
)

const (
	// minPace and maxPace bound how much a target's pace may differ from that of its peers.
	minPace, maxPace = 0.25, 4.0
	// paceTolerance is the deviation from the pace of the peers that counts as chance.
	paceTolerance = 0.1
	// eventPaceWeight and plainPaceWeight are the weights of one event of a stream and of one
	// plain call in a target's usual pace. A stream has about ten events.
	eventPaceWeight = 0.05
	plainPaceWeight = 0.05
	// paceMemory is the time constant with which a target without calls is assumed to become
	// like its peers again, so that it gets the calls that show whether it has.
	paceMemory = 10 * time.Second
	// neighborMemory is the time constant with which the slowdown that a target reports fades.
	// It changes many times a second.
	neighborMemory = 100 * time.Millisecond
)

// pace tracks how long work takes at a target, as a multiple of the time at its peers, with two
// time constants: for the target itself, and for what shares its machine.
type pace struct {
	// usual was last updated at usualAt; it is not known if that is zero.
	usual   float64
	usualAt time.Time
	// slowdown is that of the machine as reported at slowdownAt; 0 if it is not known.
	slowdown   float64
	slowdownAt time.Time
}

// recordSlowdown records the slowdown that the target reports.
func (p *pace) recordSlowdown(slowdown float64, now time.Time) {
	if slowdown > 0 {
		p.slowdown, p.slowdownAt = min(max(slowdown, minPace), maxPace), now
	}
}

// recordCall records that a call which has just ended took ratio times as long as its peers
// take, of which the reported slowdown explains a part.
func (p *pace) recordCall(ratio float64, took time.Duration, weight float64, now time.Time) {
	ratio = min(max(ratio/p.neighbors(took, now.Add(-took)), minPace), maxPace)
	usual := p.usualAtTime(now)
	p.usual, p.usualAt = usual+weight*(ratio-usual), now
}

// over returns the expected pace over the time that a call takes from now.
func (p *pace) over(took time.Duration, now time.Time) float64 {
	deviation := p.usualAtTime(now) - 1
	return (1 + deviation - min(max(deviation, -paceTolerance), paceTolerance)) * p.neighbors(took, now)
}

func (p *pace) usualAtTime(now time.Time) float64 {
	if p.usualAt.IsZero() {
		return 1
	}
	return 1 + (p.usual-1)*math.Exp(-float64(now.Sub(p.usualAt))/float64(paceMemory))
}

// neighbors returns the average slowdown of the machine over a time that begins at from. It
// fades from the report on and is taken as it was before.
func (p *pace) neighbors(took time.Duration, from time.Time) float64 {
	age := max(0, from.Sub(p.slowdownAt))
	if p.slowdown == 0 || p.slowdown == 1 || took <= 0 || age > 8*neighborMemory {
		return 1
	}
	length := float64(took) / float64(neighborMemory)
	share := math.Exp(-float64(age)/float64(neighborMemory)) * (1 - math.Exp(-length)) / length
	return 1 + (p.slowdown-1)*share
}
