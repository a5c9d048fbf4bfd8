package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

const (
	// headTimeoutFactor is the time without a response after which a retryable
	// request is sent to another target, as a multiple of the route's latency
	// objective. With a lower multiple, every response that is only slightly late would
	// make targets execute the request twice.
	headTimeoutFactor = 2
	// failoversPerSecond and failoverBurst limit how many requests move to another
	// target because of a timeout. Without the limit, targets that are slow because
	// they are overloaded would get even more load. An entry forwards a few hundred
	// calls a second.
	failoversPerSecond = 10
	failoverBurst      = 20
)

// newFailoverLimiter limits the failovers of plain requests after a timeout.
func newFailoverLimiter(disabled mechanism.Set) *rate.Limiter {
	if disabled.Disables(mechanism.FailoverBudget) {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(failoversPerSecond, failoverBurst)
}

// stallTimer interrupts an attempt whose target sends nothing for too long, so that
// the request can fail over to another target.
type stallTimer struct {
	timer *time.Timer

	mu sync.Mutex
	// fired is set once the timer has interrupted the attempt. stopped is set
	// once the timer must not interrupt it any more, because the connection may
	// already serve another request.
	fired, stopped bool
}

// startStallTimer starts a timer that interrupts the read on c after limit if
// mayFailOver returns true. A limit of zero disables the timer.
func startStallTimer(c *conn, limit time.Duration, mayFailOver func() bool) *stallTimer {
	s := &stallTimer{}
	if limit <= 0 {
		return s
	}
	s.timer = time.AfterFunc(limit, func() {
		if mayFailOver() {
			s.interrupt(c)
		}
	})
	return s
}

// interrupt makes the pending read on the connection fail.
func (s *stallTimer) interrupt(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.fired = true
	// This only fails on a closed connection, where the read has failed already.
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
}

// reset restarts the timer after data has arrived, unless it is stopped or has
// expired.
func (s *stallTimer) reset(limit time.Duration) {
	if s.timer != nil && s.timer.Stop() {
		s.timer.Reset(limit)
	}
}

// stop disables the timer and reports whether it has interrupted the attempt.
func (s *stallTimer) stop() bool {
	if s.timer == nil {
		return false
	}
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	return s.fired
}

// headTimeout returns how long to wait for the head of the response before failing
// over to another target. It returns zero if the request must not be sent to
// another target, or if the time left would not suffice for one.
func (e *exchange) headTimeout() time.Duration {
	if !e.route.Retryable() || e.executions >= e.route.MaxTargets || e.relay.disabled.Disables(mechanism.Failover) {
		return 0
	}
	if e.route.Kind == catalog.Streaming {
		return firstEventTimeout
	}
	limit := headTimeoutFactor * e.route.LatencyTarget
	if time.Until(e.deadline) < limit+e.route.LatencyTarget {
		return 0
	}
	return limit
}

// mayFailOver returns a function that reports whether the request may move from an
// unresponsive target to another one: another target is available, and for plain
// requests the limit of failovers allows it. Streams aren't limited: there are few of
// them, and a caller can do nothing with a stream without events.
func (e *exchange) mayFailOver() func() bool {
	// The query is made here because the function runs on the timer's goroutine,
	// where the exchange's fields may change meanwhile.
	query, isStream := e.targetQuery(false), e.route.Kind == catalog.Streaming
	return func() bool { return e.relay.hasTarget(query) && (isStream || e.relay.failovers.Allow()) }
}
