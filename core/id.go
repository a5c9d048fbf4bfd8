package core

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Instant is a point in time in nanoseconds. Only differences between two
// instants of the same node are meaningful.
type Instant int64

// Duration is a length of time in nanoseconds.
type Duration = int64

// Units of Duration.
const (
	Microsecond Duration = 1e3
	Millisecond Duration = 1e6
	Second      Duration = 1e9
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// Add returns t shifted by d.
func (t Instant) Add(d Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) Duration { return Duration(t - u) }

// VM is the identifier of a VM in the platform's VM list. It is never reused.
type VM string

// Domain names a failure domain.
type Domain string

// Account names a client account of the applied configuration.
type Account string

// Pool names a set of interchangeable targets.
type Pool string

// Incarnation numbers the process starts on one VM; a later start has the
// higher number.
type Incarnation uint64

// Node identifies one life of one process: two lives of a process on the same
// VM are different nodes.
type Node struct {
	VM  VM
	Inc Incarnation
}

// String returns the node as vm#incarnation.
func (n Node) String() string { return fmt.Sprintf("%s#%d", n.VM, n.Inc) }

// IsZero reports whether n names no node.
func (n Node) IsZero() bool { return n.VM == "" }

// SlotID numbers a slot, the unit of ownership of programs.
type SlotID uint32

// ProgramID identifies a program. A sub-agent's id is its parent's id, a slash
// and its own name, so that a whole tree of programs lives in its root's slot
// and shares its root's budget.
type ProgramID string

// Root returns the id of the program at the root of the tree.
func (p ProgramID) Root() ProgramID {
	root, _, _ := strings.Cut(string(p), "/")
	return ProgramID(root)
}

// Parent returns the id of the parent program, or "" for a root.
func (p ProgramID) Parent() ProgramID {
	i := strings.LastIndexByte(string(p), '/')
	if i < 0 {
		return ""
	}
	return p[:i]
}

// Depth returns the number of ancestors of p.
func (p ProgramID) Depth() int { return strings.Count(string(p), "/") }

// Slot returns the slot that owns p, of count slots.
func (p ProgramID) Slot(count uint32) SlotID {
	return SlotID(xxhash.Sum64String(string(p.Root())) % uint64(count))
}

// Epoch orders the owners of a slot. Version counts the changes written to the
// key-value service; Rank counts the takeovers made since without it.
type Epoch struct {
	Version uint64
	Rank    uint32
}

// Less reports whether e is older than f.
func (e Epoch) Less(f Epoch) bool {
	if e.Version != f.Version {
		return e.Version < f.Version
	}
	return e.Rank < f.Rank
}

// String returns the epoch as version.rank.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Version, e.Rank) }

// AttemptID identifies one attempt to execute a call at a target. It is unique
// because a slot has one owner an epoch and the owner numbers its attempts.
type AttemptID struct {
	Slot  SlotID
	Epoch Epoch
	N     uint64
}

// String returns the attempt as slot-epoch-number.
func (a AttemptID) String() string { return fmt.Sprintf("%d-%s-%d", a.Slot, a.Epoch, a.N) }

// IsZero reports whether a names no attempt.
func (a AttemptID) IsZero() bool { return a == AttemptID{} }

// RequestID identifies one request of a caller at the entry that received it.
type RequestID struct {
	Ingress Node
	N       uint64
}

// String returns the request as node/number.
func (r RequestID) String() string { return fmt.Sprintf("%s/%d", r.Ingress, r.N) }
