package relay

import (
	"context"
	"time"
)

const (
	// stopDurationFactor is how many times the mean duration of a service's calls must be left of a
	// shutdown for a request that could last beyond it and can be repeated.
	stopDurationFactor = 3
	// minStopRetryAfter is the least Retry-After of requests that arrive too late.
	minStopRetryAfter = 50 * time.Millisecond
)

// Shutdown describes how the process shuts down.
type Shutdown struct {
	// CallersLeave is when callers that connect anew are no longer sent here.
	CallersLeave time.Time
	// End is when requests that have no answer yet are ended.
	End time.Time
}

// BeginShutdown makes the relay close callers' connections after the next answer, and refuse
// requests that may not end in time.
func (r *Relay) BeginShutdown(s Shutdown) { r.shutdown.Store(&s) }

// EndRequests ends the requests in flight: those that no target runs are refused, others are
// answered that the time is over. Streams that have begun are cut.
func (r *Relay) EndRequests() { r.end() }

// setConnectionHeader makes the caller close its connection after the answer if it should connect
// to another entry. It must be called before the head of the answer is sent.
func (e *exchange) setConnectionHeader() {
	if e.relay.shutdown.Load() != nil || e.relay.shedding.Load() {
		e.w.Header().Set("Connection", "close")
	}
}

// fitsShutdown reports whether the request may be sent to a target before the process ends: if its
// deadline has passed by then, or if it can be repeated and such requests take much less time than
// is left. Others are refused at once, since they have not run. The deadline is no later than the
// end, so that the caller gets an answer in any case.
func (e *exchange) fitsShutdown() bool {
	s := e.relay.shutdown.Load()
	if s == nil || e.deadline.Before(s.End) {
		return true
	}
	expected := e.relay.expectedDuration(e.service)
	if !e.route.Retryable() || expected <= 0 || stopDurationFactor*expected > time.Until(s.End) {
		e.respondUnavailable(reasonStopping, max(minStopRetryAfter, time.Until(s.CallersLeave)))
		return false
	}
	e.deadline = s.End
	return true
}

// withDeadline returns a context that ends with the request, at its deadline, or when requests are
// ended.
func (e *exchange) withDeadline() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(e.req.Context(), e.deadline)
	detach := context.AfterFunc(e.relay.ending, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}
