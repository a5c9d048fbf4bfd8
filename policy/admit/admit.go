// Package admit decides whether a waiting call may start at its target, in
// view of the memory that programs in progress hold there.
package admit

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Names of the admissions in the settings.
const (
	Open  = "open"
	Cache = "cache"
)

// Names returns the names that New accepts.
func Names() []string { return []string{Open, Cache} }

// Call is what admission knows of a call.
type Call struct {
	// Resident says that the program has its conversation cached at the target.
	Resident bool
	// New says that it is the program's first call.
	New bool
	// Tokens is the conversation with the longest answer.
	Tokens uint64
	// Waited is the time since the call came to the sidecar.
	Waited core.Duration
}

// Memory is the state of the target's cache.
type Memory struct {
	// Tokens is the size of the cache; zero: unknown.
	Tokens uint64
	// Pinned is the part that programs in progress hold.
	Pinned uint64
	// Running is the number of attempts at the target.
	Running uint32
}

// Policy decides whether a call may start now.
type Policy interface {
	Admit(c Call, m Memory) bool
}

// UnknownError reports an admission name that no policy has.
type UnknownError struct{ Name string }

// Error returns the text of the error with the names that exist.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("admission %q is unknown; write one of %v", e.Name, Names())
}

// New returns the admission with a name; the empty name means Cache.
func New(name string) (Policy, error) {
	switch name {
	case Open:
		return open{}, nil
	case Cache, "":
		return cache{}, nil
	}
	return nil, &UnknownError{Name: name}
}

// open admits every call.
type open struct{}

// Admit returns true.
func (open) Admit(Call, Memory) bool { return true }

const (
	// fullShare is the share of the cache that programs may hold; the rest is
	// for the growth of their conversations.
	fullShare = 0.9
	// maxHold bounds the wait of a program for memory, so that programs that
	// pause for long do not keep others out for ever.
	maxHold = 600 * core.Second
)

// cache admits a program that is not resident only while the cache has room
// for it beside the programs in progress: one more than fits would make all of
// them recompute.
type cache struct{}

// Admit reports whether the call's program is resident or fits.
func (cache) Admit(c Call, m Memory) bool {
	if c.Resident || m.Tokens == 0 || m.Running == 0 && m.Pinned == 0 {
		return true
	}
	if c.Waited > maxHold {
		return true
	}
	return float64(m.Pinned+c.Tokens) <= fullShare*float64(m.Tokens)
}
