package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

const (
	// silentObjectives times the route's latency objective is the silence after
	// which a request that may be repeated goes to another target. A single
	// answer that is late is not worth the target's work twice.
	silentObjectives = 2
	// silentPerSecond and silentBurst bound the requests that are given up for
	// their silence, so that targets that are slow for their load do not get more
	// of it. An entry forwards some hundred calls a second.
	silentPerSecond = 10
	silentBurst     = 20
)

// newSilenceBudget returns the bound of requests that are given up for their
// silence.
func newSilenceBudget() *rate.Limiter { return rate.NewLimiter(silentPerSecond, silentBurst) }

// silence ends an attempt that is not heard of for too long, so that another
// target can take over.
type silence struct {
	timer *time.Timer

	mu sync.Mutex
	// over says that the attempt was ended, stopped that it must not be any more:
	// its connection may serve another request by then.
	over, stopped bool
}

// watch starts to watch a connection. After the limit it ends the attempt if
// mayLeave allows; without a limit it never does.
func watch(c *conn, limit time.Duration, mayLeave func() bool) *silence {
	s := &silence{}
	if limit <= 0 {
		return s
	}
	s.timer = time.AfterFunc(limit, func() {
		if mayLeave() {
			s.end(c)
		}
	})
	return s
}

// end lets the read that waits fail.
func (s *silence) end(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.over = true
	// A connection that is closed already has ended the read itself.
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
}

// heard starts the time again, for the next pause.
func (s *silence) heard(limit time.Duration) {
	if s.timer != nil && s.timer.Stop() {
		s.timer.Reset(limit)
	}
}

// stop ends the watch and reports whether it had ended the attempt.
func (s *silence) stop() bool {
	if s.timer == nil {
		return false
	}
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	return s.over
}

// headSilence returns how long the head of an answer is awaited before another
// target is tried; zero if none is, since then nothing is won by giving up.
func (e *exchange) headSilence() time.Duration {
	if !e.route.Retryable() || e.runs >= e.route.MaxTargets {
		return 0
	}
	if e.route.Kind == catalog.Streaming {
		return firstEventSilence
	}
	limit := silentObjectives * e.route.LatencyTarget
	if time.Until(e.deadline) < limit+e.route.LatencyTarget {
		return 0
	}
	return limit
}

// mayLeave returns a function that reports whether a silent target may be left:
// another one is free, and plain requests are within the budget. Streams are few,
// and without their events nothing is served.
func (e *exchange) mayLeave() func() bool {
	// The timer may still run when the exchange goes on.
	query, isStream := e.query(false), e.route.Kind == catalog.Streaming
	return func() bool { return e.relay.hasTarget(query) && (isStream || e.relay.silent.Allow()) }
}
