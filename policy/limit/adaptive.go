package limit

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// slowStep is the multiple of the settings' step time above which a batch
	// counts as too large.
	slowStep = 3
	// fullShare is the share of the target's memory that the running attempts
	// may need; above it the target would preempt or evict to go on.
	fullShare = 0.9
	// decrease is the factor of a reduction.
	decrease = 0.9
	// floorShare is the share of the batch size below which the limit never goes.
	floorShare = 0.25
	// smoothing is the weight of the newest step time.
	smoothing = 0.3
)

// adaptive grows the limit by one while calls wait and the steps stay short,
// and reduces it by a factor when they become long or memory runs short. It
// never exceeds the settings' batch size.
type adaptive struct {
	limit, floor, ceiling float64
	baseline              core.Duration
	step                  float64
}

func newAdaptive(engine config.Engine) *adaptive {
	ceiling := float64(batch(engine))
	floor := max(1, ceiling*floorShare)
	return &adaptive{limit: ceiling, floor: floor, ceiling: ceiling, baseline: engine.StepTime.Nanos()}
}

// Limit returns the present bound.
func (a *adaptive) Limit() uint32 { return uint32(a.limit) }

// Observe adjusts the bound.
func (a *adaptive) Observe(o Observation) {
	if o.StepTime > 0 {
		a.smooth(o.StepTime)
	}
	if a.pressed(o) {
		a.limit = max(a.floor, min(a.limit, float64(o.Running))*decrease)
		return
	}
	if o.Waiting > 0 {
		a.limit = min(a.ceiling, a.limit+1)
	}
}

func (a *adaptive) smooth(step core.Duration) {
	if a.step == 0 {
		a.step = float64(step)
		return
	}
	a.step += smoothing * (float64(step) - a.step)
}

// pressed reports that the running batch is too large for the target.
func (a *adaptive) pressed(o Observation) bool {
	if o.Running == 0 {
		return false
	}
	if o.CacheTokens > 0 && float64(o.RunningTokens) > fullShare*float64(o.CacheTokens) {
		return true
	}
	return a.baseline > 0 && a.step > slowStep*float64(a.baseline)
}
