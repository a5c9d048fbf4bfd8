package engine

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// Event is something that a Model did.
type Event interface{ happening() }

// Started reports that a job joined the batch. A job that was preempted starts
// again.
type Started struct {
	ID core.AttemptID
	// Cached is the part of the prompt that was found in the cache.
	Cached uint32
	At     core.Instant
}

// Tokens reports newly generated tokens; At is the instant of the last one.
type Tokens struct {
	ID core.AttemptID
	N  uint32
	At core.Instant
}

// Finished reports the end of a job.
type Finished struct {
	ID    core.AttemptID
	Usage core.Usage
	At    core.Instant
}

// Preempted reports that a job lost its memory and waits to be computed again.
type Preempted struct {
	ID core.AttemptID
	At core.Instant
}

// Rejected reports that a job can never fit into the engine's memory.
type Rejected struct {
	ID core.AttemptID
	At core.Instant
}

// Stored reports blocks that entered the prefix cache.
type Stored struct {
	Digests []uint64
	At      core.Instant
}

// Evicted reports blocks that left the prefix cache.
type Evicted struct {
	Digests []uint64
	At      core.Instant
}

func (Started) happening()   {}
func (Tokens) happening()    {}
func (Finished) happening()  {}
func (Preempted) happening() {}
func (Rejected) happening()  {}
func (Stored) happening()    {}
func (Evicted) happening()   {}

// Waste accounts engine memory and work spent on prefixes without reuse.
type Waste struct {
	// EvictedTokens left the cache for lack of memory without one reuse since
	// they were stored or last used.
	EvictedTokens uint64
	// RecomputedTokens were computed again after they had left the cache.
	RecomputedTokens uint64
	// PreemptedTokens were in the memory of running sequences when those lost it.
	PreemptedTokens uint64
	// IdleTokenSeconds is memory times time between the last use of a block and
	// its removal.
	IdleTokenSeconds float64
	// ReusedTokenSeconds is memory times time between two uses of a block.
	ReusedTokenSeconds float64
	// ReusedTokens were found in the cache when a job started.
	ReusedTokens uint64
}
