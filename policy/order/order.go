// Package order determines the order in which calls waiting at a sidecar are started.
package order

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Names of the orders in the settings.
const (
	FIFO  = "fifo"
	LAS   = "las"
	Slack = "slack"
)

// Names returns the names that New accepts.
func Names() []string { return []string{FIFO, LAS, Slack} }

// Call describes a waiting call.
type Call struct {
	// Arrived is when the call arrived at the sidecar.
	Arrived core.Instant
	// Attained is the service that the program has received so far, in tokens.
	Attained uint64
	// Uncached is how many tokens of the prompt the target must compute.
	Uncached uint64
	// Age is the time from the program's first call to Arrived.
	Age core.Duration
	// Deadline is the latency objective for the complete program; zero if none.
	Deadline core.Duration
}

// Policy ranks waiting calls. The call with the lowest rank is started first. A call's
// rank does not change while it waits, so calls that keep arriving can't delay it
// indefinitely.
type Policy interface {
	Rank(c Call) core.Instant
}

// UnknownError reports an unknown name of an order.
type UnknownError struct{ Name string }

// Error lists the valid names.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown order %q; must be one of %v", e.Name, Names())
}

// New returns the order with the given name; the empty name means LAS.
func New(name string) (Policy, error) {
	switch name {
	case FIFO:
		return fifo{}, nil
	case LAS, "":
		return las{}, nil
	case Slack:
		return slack{}, nil
	}
	return nil, &UnknownError{Name: name}
}

// fifo ranks calls by arrival.
type fifo struct{}

// Rank returns the arrival time.
func (fifo) Rank(c Call) core.Instant { return c.Arrived }

// delayPerToken is how much one token of attained service adds to a call's rank. Since
// the rank also grows with the arrival time, a waiting call eventually precedes all new
// ones.
const delayPerToken = 2 * core.Millisecond

// las implements least attained service with aging: the rank of a call is its arrival
// time plus a delay for the service that its program has attained.
type las struct{}

// Rank returns the arrival time plus the delay for the attained service and for the
// prompt tokens that this call computes.
func (las) Rank(c Call) core.Instant {
	return c.Arrived.Add(core.Duration(c.Attained+c.Uncached) * delayPerToken)
}

// defaultDeadline is assumed for programs whose kind has no deadline.
const defaultDeadline = core.Minute

// slack ranks calls by the deadline of their program.
type slack struct{}

// Rank returns when the program's deadline passes.
func (slack) Rank(c Call) core.Instant {
	deadline := c.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	return c.Arrived.Add(deadline - c.Age)
}
