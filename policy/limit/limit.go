// Package limit bounds the attempts that run concurrently at a target.
package limit

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Names of the limit policies in the settings.
const (
	Fixed    = "fixed"
	Adaptive = "adaptive"
)

// Names returns the names that New accepts.
func Names() []string { return []string{Fixed, Adaptive} }

// Observation is a target's load report together with the sidecar's own counts.
type Observation struct {
	// StepTime is the duration of a decode step; zero if unknown.
	StepTime core.Duration
	// Running and Waiting are the sidecar's own counts of attempts.
	Running uint32
	Waiting uint32
	// CacheTokens is the size of the target's cache, or zero if unknown.
	// RunningTokens is the part that the running attempts need.
	CacheTokens   uint64
	RunningTokens uint64
}

// Policy bounds the attempts that run at a target.
type Policy interface {
	// Limit returns the number of attempts that may run concurrently, at least one.
	Limit() uint32
	// Observe adjusts the limit to a load report.
	Observe(o Observation)
}

// UnknownError reports an unknown name of a limit policy.
type UnknownError struct{ Name string }

// Error lists the valid names.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown concurrency %q; must be one of %v", e.Name, Names())
}

// New returns the limit policy with the given name for an engine with the given
// settings; the empty name means Adaptive.
func New(name string, engine config.Engine) (Policy, error) {
	switch name {
	case Fixed:
		return &fixed{limit: maxBatch(engine)}, nil
	case Adaptive, "":
		return newAdaptive(engine), nil
	}
	return nil, &UnknownError{Name: name}
}

// defaultBatch is the batch size of engines whose settings contain none.
const defaultBatch = 16

func maxBatch(engine config.Engine) uint32 {
	if engine.MaxBatch == 0 {
		return defaultBatch
	}
	return engine.MaxBatch
}

// fixed always uses the batch size of the settings.
type fixed struct{ limit uint32 }

// Limit returns the batch size.
func (f *fixed) Limit() uint32 { return f.limit }

// Observe does nothing.
func (f *fixed) Observe(Observation) {}
