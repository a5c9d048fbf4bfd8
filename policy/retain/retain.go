// Package retain decides how long the cache of a program is held for it while
// the program pauses between its model calls.
package retain

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Names of the retentions in the settings.
const (
	None    = "none"
	Always  = "always"
	Learned = "learned"
)

// Names returns the names that New accepts.
func Names() []string { return []string{None, Always, Learned} }

// Policy decides how long a pausing program keeps its cache.
type Policy interface {
	// Hold returns how long after the end of a call the program's cache stays
	// held; zero releases it at once.
	Hold(kind string) core.Duration
	// Observe takes in the length of a pause that has ended. Returned is false
	// for a program that ended or expired in its pause.
	Observe(kind string, pause core.Duration, returned bool)
}

// UnknownError reports a retention name that no policy has.
type UnknownError struct{ Name string }

// Error returns the text of the error with the names that exist.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("retention %q is unknown; write one of %v", e.Name, Names())
}

// New returns the retention with a name; the empty name means Learned. Longest
// bounds every hold; weight is the cost of a recomputed token against waiting,
// the pool's cache_weight.
func New(name string, longest core.Duration, weight float64) (Policy, error) {
	switch name {
	case None:
		return none{}, nil
	case Always:
		return always{longest}, nil
	case Learned, "":
		return newLearned(longest, weight), nil
	}
	return nil, &UnknownError{Name: name}
}

// none holds nothing.
type none struct{}

// Hold returns zero.
func (none) Hold(string) core.Duration { return 0 }

// Observe ignores the pause.
func (none) Observe(string, core.Duration, bool) {}

// always holds the cache as long as it may.
type always struct{ longest core.Duration }

// Hold returns the longest hold.
func (a always) Hold(string) core.Duration { return a.longest }

// Observe ignores the pause.
func (always) Observe(string, core.Duration, bool) {}
