// Package order ranks the calls that wait at a sidecar.
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

// Call is what an order knows of a waiting call.
type Call struct {
	// Arrived is when the call came to the sidecar.
	Arrived core.Instant
	// Attained is the service that the program has received, in tokens.
	Attained uint64
	// Uncached is the part of the prompt that the target has to compute.
	Uncached uint64
	// Age is the time from the program's first call to Arrived.
	Age core.Duration
	// Deadline is the latency aimed at for the whole program; zero: none.
	Deadline core.Duration
}

// Policy ranks waiting calls. Rank returns the call's place in time: the call
// with the lowest rank goes first. A call's rank is fixed while it waits, so
// one that arrives later and later cannot hold back an earlier one for ever.
type Policy interface {
	Rank(c Call) core.Instant
}

// UnknownError reports an order name that no policy has.
type UnknownError struct{ Name string }

// Error returns the text of the error with the names that exist.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("order %q is unknown; write one of %v", e.Name, Names())
}

// New returns the order with a name; the empty name means LAS.
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

// Rank returns the arrival.
func (fifo) Rank(c Call) core.Instant { return c.Arrived }

// attainedPerToken is the delay that one token of attained service costs a
// program in the order. A waiting call overtakes in the end, because the rank
// grows with the arrival of those behind it.
const attainedPerToken = 2 * core.Millisecond

// las ranks calls by least attained service of their program, with aging: the
// rank is the arrival, put off by the service attained.
type las struct{}

// Rank returns the arrival put off by the attained and the next service.
func (las) Rank(c Call) core.Instant {
	return c.Arrived.Add(core.Duration(c.Attained+c.Uncached) * attainedPerToken)
}

// noDeadline is assumed of a program whose kind sets no deadline.
const noDeadline = core.Minute

// slack ranks calls by the time that their program has left.
type slack struct{}

// Rank returns the instant at which the program's deadline passes.
func (slack) Rank(c Call) core.Instant {
	deadline := c.Deadline
	if deadline == 0 {
		deadline = noDeadline
	}
	return c.Arrived.Add(deadline - c.Age)
}
