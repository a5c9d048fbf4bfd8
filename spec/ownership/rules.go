// Package ownership specifies how a slot is owned, mirrored, taken over and
// fenced, how non-idempotent calls are dispatched at most once, and how a
// program's budget is reserved. It follows docs/design/0001-ownership.md.
//
// Time does not appear: a process that is paused is one that takes no step
// while others do, and a message that is delayed stays in flight. Messages are
// never removed while they could matter, so each may be delivered any number
// of times, in any order, or never.
package ownership

// Rules are the safety rules of the protocol. Taking one away must give a
// counterexample.
type Rules struct {
	// ReplicaFence: a mirror refuses writes below the epoch it has promised.
	ReplicaFence bool
	// TargetFence: a sidecar refuses attempts below the slot's highest epoch.
	TargetFence bool
	// BindIncarnation: a ticket names the sidecar's life; another life refuses it.
	BindIncarnation bool
	// Tombstone: an attempt that a sidecar denied can never run there later.
	Tombstone bool
	// NoResend: an attempt that may have been sent is never replaced by another.
	NoResend bool
	// ReplicateFirst: a dispatch waits until the mirrors have its ticket.
	ReplicateFirst bool
	// SecondMember: a write needs the OK of a second living member.
	SecondMember bool
	// ConfirmedDead: a member is left out only if its life has ended; silence is
	// not enough.
	ConfirmedDead bool
	// FreshRank: leaving a member out takes a new rank, so that every OK counted
	// is later than the evidence.
	FreshRank bool
	// OthersPromise: before a swap at most one other member may be neither dead
	// nor have promised.
	OthersPromise bool
	// ReadBackSwap: a swap whose answer was lost is settled by reading back; it is
	// not taken as won.
	ReadBackSwap bool
	// Eligible: only a member without a break since its image may take over.
	Eligible bool
	// ReserveBudget: budget is reserved with the ticket, not when the call ends.
	ReserveBudget bool
	// QueryOutcome: not_run is said only after the sidecar has denied the attempt.
	QueryOutcome bool
	// TrackStateLoss: an owner without an image begins nothing for older programs.
	TrackStateLoss bool
}

// AllRules returns the protocol as designed.
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
	// Nodes is the number of entry VMs, Members the size of an owner set.
	Nodes, Members int
	// Targets is the number of sidecars, Calls that of non-idempotent calls of
	// one program.
	Targets, Calls int
	// Budget is the program's budget; every call costs one.
	Budget int
	// Versions bounds the owner entries written, Crashes the restarts of
	// entries, TargetCrashes those of sidecars, Claims the takeovers by
	// evidence.
	Versions, Crashes, TargetCrashes, Claims int
}
