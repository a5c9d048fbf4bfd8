package loop

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Clock gives instants that never go back: the wall clock at the start plus
// the monotonic time since.
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

// Incarnation returns the incarnation of a process that starts now. Call it
// only while the process's listening socket is held, so that a later life has
// the higher number.
func Incarnation() core.Incarnation { return core.Incarnation(time.Now().UnixNano()) }
