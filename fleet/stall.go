package fleet

import (
	"math"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

const (
	// delayWeight is the weight of a new delay in the averages.
	delayWeight = 0.05
	// stallDeviations is how many average deviations above the average a delay must be to
	// count as a stall.
	stallDeviations = 8
	// minStallFactor is the shortest delay that counts as a stall, as a multiple of the
	// route's latency objective. A first event that is later misses the objective anyway.
	minStallFactor = 1.5
	// maxStallLimit bounds the delay above which a target counts as stalled.
	maxStallLimit = 1500 * time.Millisecond
)

// delayEstimate holds the moving average of a delay and of its absolute deviation.
type delayEstimate struct {
	meanMS, deviationMS float64
	known               bool
}

func (d *delayEstimate) record(ms float64) {
	if !d.known {
		d.meanMS, d.deviationMS, d.known = ms, ms/2, true
		return
	}
	d.deviationMS += delayWeight * (math.Abs(ms-d.meanMS) - d.deviationMS)
	d.meanMS += delayWeight * (ms - d.meanMS)
}

// RecordFirstEvent records the time from the start of an attempt to the first event.
func (f *Fleet) RecordFirstEvent(name string, delay time.Duration) {
	if s := f.services[name]; s != nil {
		s.firstEvent.record(float64(delay) / float64(time.Millisecond))
	}
}

// StallLimit returns the time without a first event after which a target counts as stalled.
// It follows the delays that were observed, so that targets that are slow because of their
// load do not count.
func (f *Fleet) StallLimit(name string, objective time.Duration) time.Duration {
	s := f.services[name]
	if s == nil || !s.firstEvent.known || objective <= 0 {
		return maxStallLimit
	}
	usual := time.Duration((s.firstEvent.meanMS + stallDeviations*s.firstEvent.deviationMS) * float64(time.Millisecond))
	return min(max(usual, time.Duration(minStallFactor*float64(objective))), maxStallLimit)
}

// RecordStall records that a target has sent nothing for the stall limit, while the attempt
// goes on. Other calls avoid the target until it answers one.
func (f *Fleet) RecordStall(key catalog.TargetKey, now time.Time) {
	if t := f.targets[key]; t != nil {
		t.health.recordFailure(now)
	}
}
