package engine

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// Event is a change in a Model, returned by Advance.
type Event interface{ isEvent() }

// Started reports that a job joined the batch. A preempted job starts again and
// is reported again.
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

// Preempted reports that a job's memory was freed for other jobs. It waits in
// the queue and its tokens are computed again.
type Preempted struct {
	ID core.AttemptID
	At core.Instant
}

// Rejected reports a job that is larger than the engine's memory.
type Rejected struct {
	ID core.AttemptID
	At core.Instant
}

// Stored reports blocks that were added to the prefix cache.
type Stored struct {
	Digests []uint64
	At      core.Instant
}

// Evicted reports blocks that were removed from the prefix cache.
type Evicted struct {
	Digests []uint64
	At      core.Instant
}

func (Started) isEvent()   {}
func (Tokens) isEvent()    {}
func (Finished) isEvent()  {}
func (Preempted) isEvent() {}
func (Rejected) isEvent()  {}
func (Stored) isEvent()    {}
func (Evicted) isEvent()   {}

// Waste counts engine memory and work spent on prefixes without reuse. Its field
// names are the JSON names of GET /engine/waste.
type Waste struct {
	// EvictedTokens were evicted for lack of memory, not reused since they were
	// stored or last used.
	EvictedTokens uint64
	// RecomputedTokens were computed again after their eviction.
	RecomputedTokens uint64
	// PreemptedTokens were in the memory of running sequences when these were
	// preempted.
	PreemptedTokens uint64
	// IdleTokenSeconds is the sum of a block's tokens times the seconds between
	// its last use and its removal.
	IdleTokenSeconds float64
	// ReusedTokenSeconds is the sum of a block's tokens times the seconds that it
	// was idle between two uses.
	ReusedTokenSeconds float64
	// ReusedTokens were found in the cache when a job started.
	ReusedTokens uint64
}
