package limit

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// maxStepFactor is the multiple of the configured step time above which the
	// batch counts as too large.
	maxStepFactor = 3
	// maxCacheShare is the share of the target's cache that the running attempts may
	// need. Above it the target would have to preempt attempts or evict blocks.
	maxCacheShare = 0.9
	// decrease is the factor by which the limit is multiplied when it is
	// reduced.
	decrease = 0.9
	// minLimitShare is the lowest limit, as a share of the batch size.
	minLimitShare = 0.25
	// stepTimeWeight is the weight of a new step time in the moving average.
	stepTimeWeight = 0.3
)

// adaptive adjusts the limit by additive increase and multiplicative decrease: it adds
// one while calls wait and the target is not overloaded, and multiplies the limit by
// decrease when steps take too long or the cache is nearly full. The limit never
// exceeds the settings' batch size.
type adaptive struct {
	limit, floor, ceiling float64
	baseline              core.Duration
	averageStep           float64
}

func newAdaptive(engine config.Engine) *adaptive {
	ceiling := float64(maxBatch(engine))
	floor := max(1, ceiling*minLimitShare)
	return &adaptive{limit: ceiling, floor: floor, ceiling: ceiling, baseline: engine.StepTime.Nanos()}
}

// Limit returns the current limit.
func (a *adaptive) Limit() uint32 { return uint32(a.limit) }

// Observe adjusts the limit to a load report.
func (a *adaptive) Observe(o Observation) {
	if o.StepTime > 0 {
		a.updateAverageStep(o.StepTime)
	}
	if a.isOverloaded(o) {
		a.limit = max(a.floor, min(a.limit, float64(o.Running))*decrease)
		return
	}
	if o.Waiting > 0 {
		a.limit = min(a.ceiling, a.limit+1)
	}
}

func (a *adaptive) updateAverageStep(step core.Duration) {
	if a.averageStep == 0 {
		a.averageStep = float64(step)
		return
	}
	a.averageStep += stepTimeWeight * (float64(step) - a.averageStep)
}

// isOverloaded reports whether the running batch is too large for the target.
func (a *adaptive) isOverloaded(o Observation) bool {
	if o.Running == 0 {
		return false
	}
	if o.CacheTokens > 0 && float64(o.RunningTokens) > maxCacheShare*float64(o.CacheTokens) {
		return true
	}
	return a.baseline > 0 && a.averageStep > maxStepFactor*float64(a.baseline)
}
