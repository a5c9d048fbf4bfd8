package fleet

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
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

// meanWorkMS is the expected work that is left of a call of which nothing is known.
func (s *service) meanWorkMS() float64 {
	if !s.isEngine {
		return s.work.plain.Mean()
	}
	// Calls are seen halfway on average.
	return s.work.output.Mean() * s.work.eventMS.At(0) / 2
}

// recordGap learns the pace of an engine from the time between two events. A stream at a slow
// engine tells it long before it ends, also if it is cut.
func (m *workModel) recordGap(c *Call, gap time.Duration, now time.Time) {
	c.target.pace.recordCall(milliseconds(gap)/max(m.eventMS.At(c.running), minEventMS), gap, eventPaceWeight, now)
}

// learnStream learns from a complete stream.
func (s *service) learnStream(c *Call) {
	if c.events == 0 {
		return
	}
	s.work.output.Record(c.class, float64(c.events))
	if c.events > 1 {
		s.work.eventMS.Record(c.running, milliseconds(c.lastEventAt.Sub(c.firstEventAt))/float64(c.events-1))
	}
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
