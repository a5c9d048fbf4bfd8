package fleet

import (
	"math"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
)

// Call is an attempt in flight at a target, with the work that was predicted for it.
type Call struct {
	target    *target
	class     forecast.Class
	startedAt time.Time
	// load is the number of other calls at the target at the start.
	load float64
	// waitMS is the expected wait for a slot.
	waitMS float64
	// uncached is the number of prompt tokens that were expected not to be cached, and
	// promptMS the time to process them.
	uncached int
	promptMS float64
	// output is the expected number of events or, for a plain call, its work in milliseconds.
	// Each takes eventMS.
	output  forecast.Estimate
	eventMS float64
	// pace is the expected pace of the target.
	pace   float64
	events int
	// running is the number of other calls in the engine's batch at the first event, when its
	// answer has just reported them.
	running                   float64
	firstEventAt, lastEventAt time.Time
}

// predictedMS returns the time that the call was expected to take.
func (c *Call) predictedMS() float64 {
	return (c.waitMS + c.promptMS + c.output.Mean*c.eventMS) * c.pace
}

// remainingMS returns the expected work that is left of the call, in milliseconds at its
// target's pace.
func (c *Call) remainingMS(now time.Time) float64 {
	if c.events > 0 {
		return c.output.Remaining(float64(c.events)) * c.eventMS
	}
	elapsed := milliseconds(now.Sub(c.startedAt))/c.pace - c.waitMS
	if c.target.cache == nil {
		return c.output.Remaining(max(0, elapsed))
	}
	return min(c.promptMS, max(0, c.promptMS-elapsed)) + c.output.Mean*c.eventMS
}

// StartCall records the predicted work of an attempt that is sent to the chosen target. Calls
// of RecordStart and RecordEnd go with it.
func (f *Fleet) StartCall(choice Choice, q Query, now time.Time) *Call {
	t := f.targets[choice.Target.TargetKey]
	if t == nil {
		return nil
	}
	c := &Call{
		target: t, class: q.Class, startedAt: now, load: choice.Load, pace: choice.work.pace, waitMS: choice.work.waitMS,
		uncached: choice.work.uncached, promptMS: choice.work.promptMS, output: choice.work.output, eventMS: choice.work.eventMS,
	}
	t.calls = append(t.calls, c)
	if s := f.services[t.Service]; s != nil {
		s.work.recordClass(q.Class)
		if !s.isEngine {
			s.long.record(c.output.Mean, s.meanWorkMS())
		}
	}
	return c
}

// RecordEvent records that an event of a stream has arrived.
func (f *Fleet) RecordEvent(c *Call, now time.Time) {
	if c == nil {
		return
	}
	s := f.services[c.target.Service]
	if c.events == 0 {
		c.firstEventAt, c.running = now, min(c.target.load(now)-1, float64(c.target.Slots))
		if s != nil {
			s.work.recordFirstEvent(c, now.Sub(c.startedAt), c.pace)
		}
	} else if s != nil {
		s.work.recordGap(c, now.Sub(c.lastEventAt), now)
	}
	c.events++
	c.lastEventAt = now
}

// EndCall records the end of an attempt and learns from it. For a complete answer it returns
// the error of the predicted time relative to that time.
func (f *Fleet) EndCall(c *Call, outcome Outcome, now time.Time) (relativeError float64, ok bool) {
	if c == nil {
		return 0, false
	}
	t := c.target
	for i, other := range t.calls {
		if other == c {
			last := len(t.calls) - 1
			t.calls[i], t.calls[last] = t.calls[last], nil
			t.calls = t.calls[:last]
			break
		}
	}
	s := f.services[t.Service]
	if s == nil || outcome != Answered {
		return 0, false
	}
	took := now.Sub(c.startedAt)
	if s.isEngine {
		s.learnStream(c)
	} else {
		s.learnPlain(c, took, now)
	}
	predicted := c.predictedMS()
	return math.Abs(milliseconds(took)-predicted) / max(predicted, 1), true
}
