package relay

import (
	"context"
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
	// next is the target reserved for the request once the timer has interrupted the
	// attempt. stopped is set once the timer must not interrupt it any more, because
	// the connection may already serve another request.
	next    *reservation
	stopped bool
}

// startStallTimer starts a timer that calls onStall after limit and, if that reserves a
// target, interrupts the read on c. A limit of zero disables the timer.
func startStallTimer(c *conn, limit time.Duration, onStall func() *reservation) *stallTimer {
	s := &stallTimer{}
	if limit <= 0 {
		return s
	}
	s.timer = time.AfterFunc(limit, func() {
		if next := onStall(); next != nil && !s.interrupt(c, next) {
			next.release()
		}
	})
	return s
}

// interrupt makes the pending read on the connection fail, unless the timer is stopped.
func (s *stallTimer) interrupt(c *conn, next *reservation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.next = next
	// This only fails on a closed connection, where the read has failed already.
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	return true
}

// pause stops the timer while the target is not waited for. It reports whether resume may start it
// again: not if it has expired or is disabled.
func (s *stallTimer) pause() bool { return s.timer != nil && s.timer.Stop() }

// resume restarts the timer after a pause. A limit of zero disables it.
func (s *stallTimer) resume(limit time.Duration) {
	if limit > 0 {
		s.timer.Reset(limit)
	}
}

// stop disables the timer. If the timer has interrupted the attempt, stop returns the target
// reserved for the request.
func (s *stallTimer) stop() *reservation {
	if s.timer == nil {
		return nil
	}
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	return s.next
}

// stopStallTimer stops the timer and reports whether it has interrupted the attempt. The next
// attempt then gets the target reserved for it.
func (e *exchange) stopStallTimer(s *stallTimer) bool {
	next := s.stop()
	if next != nil {
		e.reserved = next
	}
	return next != nil
}

// mayMove reports whether another target may execute the request if this one stalls.
func (e *exchange) mayMove() bool {
	return e.route.Retryable() && e.executions < e.route.MaxTargets && e.attempts < maxAttempts && !e.relay.disabled.Disables(mechanism.Failover)
}

// headTimeout returns how long to wait for the head of the response before the target counts
// as stalled. For plain requests, it returns zero if the request must not be sent to another
// target, or if the time left would not suffice for one.
func (e *exchange) headTimeout() time.Duration {
	if e.route.Kind == catalog.Streaming {
		return e.relay.stallLimit(e.service, e.route.LatencyTarget)
	}
	limit := headTimeoutFactor * e.route.LatencyTarget
	if !e.mayMove() || time.Until(e.deadline) < limit+e.route.LatencyTarget {
		return 0
	}
	return limit
}

// onStall returns a function that is called when the chosen target has stalled. It reserves
// another target if the request is to move: it may be executed again, another target
// is available, and for plain requests the limit of failovers allows it. Streams aren't
// limited: there are few of them, and a caller can do nothing with a stream without events.
// A stream that must not move waits on, but the stall counts as a failure of its target.
func (e *exchange) onStall(ctx context.Context) func() *reservation {
	// The exchange's fields are read here because the function runs on the timer's
	// goroutine, while they may change.
	query := e.targetQuery(false)
	isStream, mayMove, target := e.route.Kind == catalog.Streaming, e.mayMove(), e.choice.Target.TargetKey
	return func() *reservation {
		if mayMove {
			if next := e.relay.reserve(ctx, query, isStream); next != nil {
				return next
			}
		}
		if isStream {
			e.relay.recordStall(target)
		}
		return nil
	}
}
