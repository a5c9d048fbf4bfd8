// Package place chooses the target of a call. An entry knows the load of its targets only
// from their reports and from its own dispatches, so its view may be stale.
package place

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Target is a candidate with its load as known to the entry.
type Target struct {
	Node core.Node
	Load core.Load
	// CallsSinceReport is the number of unfinished calls that this entry has dispatched
	// to the target since the target's last load report. TokensSinceReport is the
	// number of tokens of these calls.
	CallsSinceReport  uint32
	TokensSinceReport uint64
	// SameDomain is set if the target is in the entry's own failure domain.
	SameDomain bool
}

// Request describes the call to be placed.
type Request struct {
	Program      core.ProgramID
	PromptTokens uint32
	MaxTokens    uint32
	Blocks       []core.Block
	// LastTarget is the target that served the program's last model call; zero if
	// there is none yet.
	LastTarget core.Node
	// LastTokens is the length of the conversation that LastTarget has computed.
	LastTokens uint32
}

// Policy chooses a target. Choose returns the index of the chosen target and the
// estimated cost of the choice in nanoseconds, or zero if the policy makes no estimate.
// The targets must not be empty.
type Policy interface {
	Choose(req Request, targets []Target, rng *rand.Rand) (int, core.Duration)
}
