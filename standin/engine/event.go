package engine

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// Event is a change in a Model, returned by Advance.
type Event interface{ isEvent() }

// Started reports that a job joined the batch. For a preempted job it is
// reported again when the job starts again.
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

// Preempted reports that a job's memory was freed for other jobs. The job waits
// in the queue, and its tokens are computed again.
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
	// EvictedTokens counts the tokens that were evicted for lack of memory before
	// another use.
	EvictedTokens uint64
	// RecomputedTokens counts the tokens that were computed again after their
	// eviction.
	RecomputedTokens uint64
	// PreemptedTokens counts the tokens that running sequences held in memory
	// when they were preempted.
	PreemptedTokens uint64
	// IdleTokenSeconds is the sum over removed blocks of their tokens times the
	// seconds between last use and removal.
	IdleTokenSeconds float64
	// ReusedTokenSeconds is the sum over reused blocks of their tokens times the
	// seconds that they were idle between two uses.
	ReusedTokenSeconds float64
	// ReusedTokens counts the tokens that were found in the cache when a job
	// started.
	ReusedTokens uint64
}
