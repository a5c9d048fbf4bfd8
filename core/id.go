package core

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Instant is a point in time in nanoseconds. Only differences between instants of
// the same node are meaningful.
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

// VM identifies a VM in the platform's VM list. Identifiers are never reused.
type VM string

// Domain names a failure domain.
type Domain string

// Account names a client account in the configuration.
type Account string

// Pool names a set of interchangeable targets.
type Pool string

// Incarnation is the number of a process start on one VM. A later start has a
// higher number.
type Incarnation uint64

// Node identifies one incarnation of a process. A process that restarts on the same
// VM is a different node.
type Node struct {
	VM  VM
	Inc Incarnation
}

// String returns the node as vm#incarnation.
func (n Node) String() string { return fmt.Sprintf("%s#%d", n.VM, n.Inc) }

// IsZero reports whether n identifies no node.
func (n Node) IsZero() bool { return n.VM == "" }

// SlotID identifies a slot. A slot is a hash partition of the programs and has
// one owner at a time.
type SlotID uint32

// ProgramID identifies a program. A sub-agent's ID consists of its parent's ID, a
// slash and its own name. All programs of a tree belong to the slot of the root and
// share its budget.
type ProgramID string

// Root returns the ID of the program at the root of the tree.
func (p ProgramID) Root() ProgramID {
	root, _, _ := strings.Cut(string(p), "/")
	return ProgramID(root)
}

// Parent returns the ID of the parent program, or "" for a root.
func (p ProgramID) Parent() ProgramID {
	i := strings.LastIndexByte(string(p), '/')
	if i < 0 {
		return ""
	}
	return p[:i]
}

// Depth returns the number of ancestors of p.
func (p ProgramID) Depth() int { return strings.Count(string(p), "/") }

// Slot returns the slot that p belongs to, out of count slots.
func (p ProgramID) Slot(count uint32) SlotID {
	return SlotID(xxhash.Sum64String(string(p.Root())) % uint64(count))
}

// Epoch orders the successive owners of a slot. Version counts the changes of owner
// that were written to the key-value service; Rank counts the takeovers since then
// that were made without the service.
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
// because a slot has one owner per epoch and that owner numbers its attempts.
type AttemptID struct {
	Slot  SlotID
	Epoch Epoch
	N     uint64
}

// String returns the attempt as slot-epoch-number.
func (a AttemptID) String() string { return fmt.Sprintf("%d-%s-%d", a.Slot, a.Epoch, a.N) }

// IsZero reports whether a identifies no attempt.
func (a AttemptID) IsZero() bool { return a == AttemptID{} }

// RequestID identifies one request of a caller. Ingress is the entry that accepted
// the request and numbered it.
type RequestID struct {
	Ingress Node
	N       uint64
}

// String returns the request as node/number.
func (r RequestID) String() string { return fmt.Sprintf("%s/%d", r.Ingress, r.N) }
