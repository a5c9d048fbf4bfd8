package loop

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Clock is a monotonic clock: it returns the wall time at its creation plus the
// monotonic time elapsed since.
type Clock struct {
	start time.Time
	wall  int64
}

// NewClock returns a clock that starts now.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{start: now, wall: now.UnixNano()}
}

// Now returns the current instant.
func (c *Clock) Now() core.Instant { return core.Instant(c.wall + int64(time.Since(c.start))) }

// Incarnation returns the incarnation number of a process that starts now. Call it
// only while holding the process's listening socket, so that a later incarnation has
// a higher number.
func Incarnation() core.Incarnation { return core.Incarnation(time.Now().UnixNano()) }
