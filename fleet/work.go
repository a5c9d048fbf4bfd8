package fleet

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

// tieMS is the difference below which two costs count as equal, in milliseconds, so that
// estimates that differ by chance keep no target from getting calls.
const tieMS = 0.5

// predictedWork is what the cost of a call at a target is computed from.
type predictedWork struct {
	pace, waitMS, promptMS, eventMS float64
	uncached                        int
	output                          forecast.Estimate
}

// ownWorkLeftMS returns the work that is left of this process's calls at the target.
func (t *target) ownWorkLeftMS(now time.Time) float64 {
	ms := 0.0
	for _, c := range t.calls {
		ms += c.remainingMS(now)
	}
	return ms
}

// workLeftMS estimates the work that is left of the calls at a target if there are load of
// them. Calls of which nothing is known have the mean work left.
func (p *placement) workLeftMS(t *target, load float64) float64 {
	others := load - float64(len(t.calls))
	if others <= 0 {
		return t.ownWorkLeftMS(p.now)
	}
	return t.ownWorkLeftMS(p.now) + others*p.othersWorkMS(t)
}

// othersWorkMS estimates the work that is left of a call of others at a target. What was
// reported of an engine is worth the less the more of it must be done by now. At plain targets
// the unseen calls are added to it as work.
func (p *placement) othersWorkMS(t *target) float64 {
	if t.othersWorkMS == 0 {
		return p.meanWorkMS
	}
	if !p.service.isEngine {
		return t.othersWorkMS
	}
	known := max(0, 1-p.stalenessMS/t.othersWorkMS)
	return p.meanWorkMS + known*(t.othersWorkMS-p.meanWorkMS)
}

// waitMS estimates the wait for a slot at a target with a load: calls end at a rate of load
// calls in the work of all of them over the slots.
func waitMS(load, slots, workMS float64) float64 {
	ahead := load - slots + 1
	if ahead <= 0 {
		return 0
	}
	return workMS / slots * ahead / load
}

// predictWork predicts the work of the call at a candidate.
func (p *placement) predictWork(c candidate, cachedTokens int) predictedWork {
	s, t, load := p.service, c.target, c.load
	slots := float64(max(1, t.Slots))
	w := predictedWork{output: p.output, eventMS: 1}
	if t.cache != nil {
		w.eventMS = s.work.eventMS.At(min(load, slots))
		w.uncached = max(0, p.promptSize-cachedTokens)
		w.promptMS = float64(w.uncached) * s.work.tokenMS
	}
	if load > slots-1 {
		w.waitMS = waitMS(load, slots, c.workMS)
	}
	own := w.waitMS + w.promptMS + w.output.Mean*w.eventMS
	w.pace = t.pace.over(time.Duration(own*float64(time.Millisecond)), p.now)
	return w
}

// costMS returns the time until the call would end, and the time by which it would delay the
// calls that run at the target. The pace counts by the share of free slots: where there are
// hardly any, a slot at a fast target is one that another call does not get.
func (w *predictedWork) costMS(s *service, running, freeShare float64) float64 {
	own := w.promptMS + w.output.Mean*w.eventMS
	ms := w.waitMS*w.pace + own*(1+(w.pace-1)*freeShare)
	if !s.isEngine {
		return ms + running*plainContentionMS
	}
	return ms + running*(w.promptMS+w.output.Mean*s.work.eventMS.Slope())*w.pace
}

// usesWork reports whether choices follow the predicted work.
func (f *Fleet) usesWork() bool { return !f.disabled.Disables(mechanism.WorkPrediction) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
