package fleet

import (
	"math"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

const (
	// initialEvents is the expected number of events of a stream before any has ended.
	initialEvents = 10
	// initialEventMS is the expected time of an event on an idle engine before any has been
	// seen, in milliseconds.
	initialEventMS = 25.0
	// initialPlainMS is the expected work of a plain call before any has ended.
	initialPlainMS = 30.0
	// minLearnedTokens is the least number of uncached prompt tokens whose processing time
	// stands out from the rest of the time to the first event.
	minLearnedTokens = 1000
	// prefillWeight is the weight of one call in the average processing time of a token, and
	// maxPrefillFactor bounds by how much that differs from the initial one.
	prefillWeight    = 0.05
	maxPrefillFactor = 4.0
	// crossingMSPerKB is the cost of a kilobyte sent to another failure domain, in milliseconds:
	// its time on a link of 32 Mbit/s.
	crossingMSPerKB = 0.25
	// laterWeight is the weight of one call in the share of calls that continue a conversation,
	// and maxTurns bounds the expected turns of a conversation.
	laterWeight = 0.02
	maxTurns    = 8.0
	// maxPlainFactor bounds the time of a plain call that counts as work, as a multiple of the
	// median of its class.
	maxPlainFactor = 4.0
	// minEventMS and minPlainMS are the shortest times that say something about a target's
	// pace, in milliseconds.
	minEventMS, minPlainMS = 0.1, 1.0
	// tieMS is the difference below which two costs count as equal, in milliseconds, so that
	// estimates that differ by chance keep no target from getting calls.
	tieMS = 0.5
)

// workModel predicts the work of a service's calls from those that have ended.
type workModel struct {
	// output predicts the events of a stream, plain the milliseconds of another call.
	output, plain *forecast.Forecaster
	// eventMS is the time of an event by the number of other calls at the engine.
	eventMS *forecast.Curve
	// tokenMS is the processing time of an uncached prompt token.
	tokenMS float64
	// laterShare is the share of calls that continue a conversation.
	laterShare float64
}

func newWorkModel() *workModel {
	return &workModel{
		output: forecast.New(initialEvents), plain: forecast.New(initialPlainMS),
		eventMS: forecast.NewCurve(initialEventMS), tokenMS: 1 / prefillTokensPerMS,
	}
}

// outputOf returns the expected events of a stream.
func (m *workModel) outputOf(q *Query) forecast.Estimate {
	e := m.output.Predict(q.Class)
	if q.MaxEvents > 0 {
		e.Mean, e.Upper = min(e.Mean, float64(q.MaxEvents)), min(e.Upper, float64(q.MaxEvents))
	}
	return e
}

// crossingMS returns the cost of sending the body of a call to another failure domain. The turns
// that follow the first one of a conversation go to the same target.
func (m *workModel) crossingMS(q *Query) float64 {
	ms := crossingMSPerKB * float64(q.BodyBytes) / 1000
	if q.Class.IsLater {
		return ms
	}
	return ms / max(1-m.laterShare, 1/maxTurns)
}

// recordClass counts a call in the share of those that continue a conversation.
func (m *workModel) recordClass(c forecast.Class) {
	share := 0.0
	if c.IsLater {
		share = 1
	}
	m.laterShare += laterWeight * (share - m.laterShare)
}

// expectedOutput returns the expected events of a stream, or the work of a plain call.
func (s *service) expectedOutput(q *Query) forecast.Estimate {
	if s.isEngine {
		return s.work.outputOf(q)
	}
	return s.work.plain.Predict(q.Class)
}

// recordFirstEvent learns the processing time of a token from a call that did not wait.
func (m *workModel) recordFirstEvent(c *Call, took time.Duration, pace float64) {
	if c.uncached < minLearnedTokens || c.waitMS > 0 {
		return
	}
	sample := (milliseconds(took)/pace - c.eventMS) / float64(c.uncached)
	const initial = 1 / prefillTokensPerMS
	sample = min(max(sample, initial/maxPrefillFactor), initial*maxPrefillFactor)
	m.tokenMS += prefillWeight * (sample - m.tokenMS)
}

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
	}
	return c
}

// RecordEvent records that an event of a stream has arrived.
func (f *Fleet) RecordEvent(c *Call, now time.Time) {
	if c == nil {
		return
	}
	if c.events == 0 {
		c.firstEventAt, c.running = now, min(c.target.load(now)-1, float64(c.target.Slots))
		if s := f.services[c.target.Service]; s != nil {
			s.work.recordFirstEvent(c, now.Sub(c.startedAt), c.pace)
		}
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
		s.learnStream(c, now)
	} else {
		s.learnPlain(c, took, now)
	}
	predicted := c.predictedMS()
	return math.Abs(milliseconds(took)-predicted) / max(predicted, 1), true
}

// learnStream learns from a complete stream.
func (s *service) learnStream(c *Call, now time.Time) {
	if c.events < 2 {
		return
	}
	t := c.target
	s.work.output.Record(c.class, float64(c.events))
	took := c.lastEventAt.Sub(c.firstEventAt)
	eventMS := milliseconds(took) / float64(c.events-1)
	s.work.eventMS.Record(c.running, eventMS)
	t.pace.recordCall(eventMS/max(s.work.eventMS.At(c.running), minEventMS), took, enginePaceWeight, now)
}

// learnPlain learns from the answer to a plain call. A call that may have waited at its target
// does not show how much work it was.
func (s *service) learnPlain(c *Call, took time.Duration, now time.Time) {
	if c.load+1 > float64(c.target.Slots) {
		return
	}
	ms := milliseconds(took)
	if e, ok := s.work.plain.Observed(c.class); ok {
		// It may also have waited behind calls that this process did not know of.
		ms = min(ms, maxPlainFactor*max(e.Median, minPlainMS))
	}
	s.work.plain.Record(c.class, ms)
	c.target.pace.recordCall(ms/max(s.work.plain.Predict(c.class).Mean, minPlainMS), took, plainPaceWeight, now)
}

// predictedWork is what the cost of a call at a target is computed from.
type predictedWork struct {
	pace, waitMS, promptMS, eventMS float64
	uncached                        int
	output                          forecast.Estimate
}

// workLeftMS estimates the work that is left of the calls at the target if there are load of
// them. Calls of which nothing is known have meanMS left.
func (t *target) workLeftMS(load, meanMS float64, now time.Time) float64 {
	ms := 0.0
	for _, c := range t.calls {
		ms += c.remainingMS(now)
	}
	unknown := load - float64(len(t.calls))
	if t.othersWorkMS > 0 {
		reported := min(max(0, unknown), t.load(now)-float64(t.inFlight))
		ms += reported * t.othersWorkMS
		unknown -= reported
	}
	return ms + max(0, unknown)*meanMS
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

// meanWorkMS is the expected work that is left of a call of which nothing is known.
func (s *service) meanWorkMS() float64 {
	if !s.isEngine {
		return s.work.plain.Mean()
	}
	// Calls are seen halfway on average.
	return s.work.output.Mean() * s.work.eventMS.At(0) / 2
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
// calls that run at the target.
func (w *predictedWork) costMS(s *service, running float64) float64 {
	ms := (w.waitMS + w.promptMS + w.output.Mean*w.eventMS) * w.pace
	if !s.isEngine {
		return ms + running*plainContentionMS
	}
	return ms + running*(w.promptMS+w.output.Mean*s.work.eventMS.Slope())*w.pace
}

// usesWork reports whether choices follow the predicted work.
func (f *Fleet) usesWork() bool { return !f.disabled.Disables(mechanism.WorkPrediction) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
