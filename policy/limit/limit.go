// Package limit bounds the attempts that run at a target at once.
package limit

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Names of the limits in the settings.
const (
	Fixed    = "fixed"
	Adaptive = "adaptive"
)

// Names returns the names that New accepts.
func Names() []string { return []string{Fixed, Adaptive} }

// Observation is a load report of the target with the sidecar's own counts.
type Observation struct {
	// StepTime is the time of a decode step; zero: unknown.
	StepTime core.Duration
	// Running and Waiting are the sidecar's own counts of attempts.
	Running uint32
	Waiting uint32
	// CacheTokens is the target's memory, and RunningTokens what the running
	// attempts need of it.
	CacheTokens   uint64
	RunningTokens uint64
}

// Policy bounds the attempts at a target.
type Policy interface {
	// Limit returns the number of attempts that may run at once, at least one.
	Limit() uint32
	// Observe takes in a load report.
	Observe(o Observation)
}

// UnknownError reports a limit name that no policy has.
type UnknownError struct{ Name string }

// Error returns the text of the error with the names that exist.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("concurrency %q is unknown; write one of %v", e.Name, Names())
}

// New returns the limit with a name for a kind of engine; the empty name means
// Adaptive.
func New(name string, engine config.Engine) (Policy, error) {
	switch name {
	case Fixed:
		return &fixed{limit: batch(engine)}, nil
	case Adaptive, "":
		return newAdaptive(engine), nil
	}
	return nil, &UnknownError{Name: name}
}

// defaultBatch is the limit at a target whose settings give none.
const defaultBatch = 16

func batch(engine config.Engine) uint32 {
	if engine.MaxBatch == 0 {
		return defaultBatch
	}
	return engine.MaxBatch
}

// fixed is the batch size of the settings.
type fixed struct{ limit uint32 }

// Limit returns the batch size.
func (f *fixed) Limit() uint32 { return f.limit }

// Observe ignores the report.
func (f *fixed) Observe(Observation) {}
