// Package admit decides whether a waiting call may start at its target, depending on
// how much of the target's cache running programs have pinned.
package admit

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Names of the admission policies in the settings.
const (
	Open  = "open"
	Cache = "cache"
)

// Names returns the names that New accepts.
func Names() []string { return []string{Open, Cache} }

// Call describes a waiting call.
type Call struct {
	// Cached is set if the program's conversation is in the target's cache.
	Cached bool
	// New is set if this is the program's first call.
	New bool
	// Tokens is the length of the conversation including the longest possible answer.
	Tokens uint64
	// Waited is the time since the call arrived at the sidecar.
	Waited core.Duration
}

// CacheState is the state of the target's cache.
type CacheState struct {
	// Tokens is the size of the cache; zero if unknown.
	Tokens uint64
	// Pinned is the part of the cache that running programs have pinned.
	Pinned uint64
	// Running is the number of attempts that run at the target.
	Running uint32
}

// Policy decides whether a call may start now.
type Policy interface {
	Admit(c Call, m CacheState) bool
}

// UnknownError reports an unknown name of an admission policy.
type UnknownError struct{ Name string }

// Error lists the valid names.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown admission %q; must be one of %v", e.Name, Names())
}

// New returns the admission policy with the given name; the empty name means Cache.
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
func (open) Admit(Call, CacheState) bool { return true }

const (
	// maxPinnedShare is the share of the cache that programs may pin. The rest is left
	// for the growth of their conversations.
	maxPinnedShare = 0.9
	// maxWait bounds how long a program waits for space in the cache, so that pinned
	// programs that are idle for a long time don't block it permanently.
	maxWait = 600 * core.Second
)

// cache admits a program whose conversation is not cached only if it fits into the
// cache together with the pinned programs. One program too many would make all of
// them recompute their conversations.
type cache struct{}

// Admit reports whether the program's conversation is cached, whether it fits into the
// cache, or whether the call has waited longer than maxWait. It also admits calls to
// targets that are idle or whose cache size is unknown.
func (cache) Admit(c Call, m CacheState) bool {
	if c.Cached || m.Tokens == 0 || m.Running == 0 && m.Pinned == 0 {
		return true
	}
	if c.Waited > maxWait {
		return true
	}
	return float64(m.Pinned+c.Tokens) <= maxPinnedShare*float64(m.Tokens)
}
