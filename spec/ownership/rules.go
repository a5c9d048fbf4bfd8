// Package ownership specifies how a slot is owned, replicated, taken over and
// fenced, how non-idempotent calls are dispatched at most once, and how a
// program's budget is reserved. It follows docs/design/0001-ownership.md.
//
// The model has no time: a paused process takes no step while others do, and a
// delayed message stays in flight. A message stays in flight as long as it could
// have an effect, so it may be delivered any number of times, in any order, or
// never.
package ownership

// Rules are the safety rules of the protocol. Removing any of them must give a
// counterexample.
type Rules struct {
	// ReplicaFence: a replica rejects writes below the epoch that it has promised.
	ReplicaFence bool
	// TargetFence: a sidecar refuses attempts below the highest epoch that it has
	// received for the slot.
	TargetFence bool
	// BindIncarnation: a dispatch record names the sidecar's incarnation; another
	// incarnation rejects the dispatch.
	BindIncarnation bool
	// Tombstone: an attempt that a sidecar reported as refused is never executed
	// there later.
	Tombstone bool
	// NoResend: an attempt that may have been sent is never replaced by another.
	NoResend bool
	// ReplicateFirst: a dispatch is sent only after its record is replicated.
	ReplicateFirst bool
	// SecondMember: a write needs the acknowledgement of a second living member.
	SecondMember bool
	// ConfirmedDead: a member is excluded only if its incarnation has ended; missed
	// heartbeats are not enough.
	ConfirmedDead bool
	// FreshRank: excluding a member requires a new rank, so that every counted
	// acknowledgement is later than the confirmation that the member is dead.
	FreshRank bool
	// OthersPromise: when a compare-and-swap is sent, every other member, except at
	// most one, is dead or has promised.
	OthersPromise bool
	// ReadBackSwap: a compare-and-swap whose response was lost is settled by reading
	// the assignment back, instead of assuming that it succeeded.
	ReadBackSwap bool
	// Eligible: only a member whose snapshot contains every completed write may
	// take over.
	Eligible bool
	// ReserveBudget: budget is reserved with the dispatch record, not when the call
	// ends.
	ReserveBudget bool
	// QueryOutcome: not_run is reported only after the sidecar has refused the
	// attempt.
	QueryOutcome bool
	// TrackStateLoss: an owner whose slot has lost its state starts no call of a
	// program that began before the loss.
	TrackStateLoss bool
}

// AllRules returns Rules with every rule enabled.
func AllRules() Rules {
	return Rules{
		ReplicaFence: true, TargetFence: true, BindIncarnation: true, Tombstone: true,
		NoResend: true, ReplicateFirst: true, SecondMember: true, ConfirmedDead: true,
		FreshRank: true, OthersPromise: true, ReadBackSwap: true,
		Eligible: true, ReserveBudget: true, QueryOutcome: true, TrackStateLoss: true,
	}
}

// Bounds limit the exploration.
type Bounds struct {
	// Nodes is the number of entry VMs, Members the number of members of an
	// assignment: its owner and its replicas.
	Nodes, Members int
	// Targets is the number of sidecars. Calls is the number of calls; all are
	// non-idempotent and of one program.
	Targets, Calls int
	// Budget is the program's budget; every call costs one.
	Budget int
	// Versions bounds the versions of the assignment. Crashes bounds the restarts
	// of entries, TargetCrashes the restarts of sidecars, and Claims the
	// takeovers without the key-value service.
	Versions, Crashes, TargetCrashes, Claims int
}
