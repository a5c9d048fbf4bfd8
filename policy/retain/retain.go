// Package retain decides how long the cached blocks of a program stay pinned while the
// program is idle between its model calls.
package retain

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Names of the retention policies in the settings.
const (
	None    = "none"
	Always  = "always"
	Learned = "learned"
)

// Names returns the names that New accepts.
func Names() []string { return []string{None, Always, Learned} }

// Policy decides how long the cache of an idle program stays pinned.
type Policy interface {
	// PinTime returns how long after the end of a call the program's cache stays pinned;
	// zero unpins it at once. The kind is the program's kind.
	PinTime(kind string) core.Duration
	// Observe records an idle time that has ended. The parameter returned is true
	// if the program made another call, false if it ended or expired while it was
	// idle.
	Observe(kind string, idleTime core.Duration, returned bool)
}

// UnknownError reports an unknown name of a retention policy.
type UnknownError struct{ Name string }

// Error lists the valid names.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown retention %q; must be one of %v", e.Name, Names())
}

// New returns the retention policy with the given name; the empty name means Learned.
// No pin time exceeds maxPinTime. The weight is the pool's cache_weight, the cost of
// recomputing a token relative to waiting.
func New(name string, maxPinTime core.Duration, weight float64) (Policy, error) {
	switch name {
	case None:
		return none{}, nil
	case Always:
		return always{maxPinTime}, nil
	case Learned, "":
		return newLearned(maxPinTime, weight), nil
	}
	return nil, &UnknownError{Name: name}
}

// none pins nothing.
type none struct{}

// PinTime returns zero.
func (none) PinTime(string) core.Duration { return 0 }

// Observe does nothing.
func (none) Observe(string, core.Duration, bool) {}

// always pins the cache for the longest time.
type always struct{ maxPinTime core.Duration }

// PinTime returns the longest pin time.
func (a always) PinTime(string) core.Duration { return a.maxPinTime }

// Observe does nothing.
func (always) Observe(string, core.Duration, bool) {}
