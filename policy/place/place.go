// Package place chooses the target of a call from the weak view that an entry
// has of its targets.
package place

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Target is one candidate as the entry sees it.
type Target struct {
	Node core.Node
	Load core.Load
	// OwnCalls and OwnTokens are what this entry has dispatched to the target
	// since its last load report and not seen finished.
	OwnCalls  uint32
	OwnTokens uint64
	// Local says that the target is in the entry's own failure domain.
	Local bool
}

// Request is what placement knows of a call.
type Request struct {
	Program      core.ProgramID
	PromptTokens uint32
	MaxTokens    uint32
	Blocks       []core.Block
	// LastTarget is the target that served the program's last model call; zero for a
	// program's first.
	LastTarget core.Node
	// LastTokens is the length of the conversation that Last has computed.
	LastTokens uint32
}

// Policy chooses a target. Choose returns the index of the chosen target and
// the estimated cost of the choice in nanoseconds; targets is never empty.
type Policy interface {
	Choose(req Request, targets []Target, rng *rand.Rand) (int, core.Duration)
}
