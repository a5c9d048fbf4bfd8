// Package engine is the port through which a sidecar drives its target, a model
// engine or a tool or plain service. Packages engine/openai and engine/service
// are its adapters.
package engine

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Request is an attempt to execute a call at the target.
type Request struct {
	Attempt core.AttemptID
	// Fence is passed on to targets that check fencing numbers.
	Fence core.Epoch
	Call  core.Call
}

// Head is the beginning of an answer.
type Head struct {
	Status      int
	ContentType string
}

// Sink receives an answer while it is generated. Its methods are called from
// one goroutine, Head once and before any Data.
type Sink interface {
	// Head is called when the target began to answer.
	Head(Head) error
	// Data receives the next bytes of the answer's body and the number of output
	// tokens in them.
	Data(body []byte, tokens uint32) error
}

// Result describes a whole answer.
type Result struct {
	Usage core.Usage
	// Digest is the conversation's digest with the answer and Blocks its length;
	// zero for targets that are not model engines.
	Digest uint64
	Blocks uint32
	// Message is the answer as it continues the conversation; nil for targets
	// that are not model engines.
	Message *chat.Message
	// Length is the length of the answer's body in bytes.
	Length uint64
}

// Listing is the complete content of a target's prefix cache.
type Listing struct {
	Digests []uint64 `json:"digests"`
	// Sequence is the last cache event that the listing contains.
	Sequence uint64 `json:"sequence"`
}

// KV is the computed prefix of a conversation on its way between engines.
type KV struct {
	Blocks []core.Block `json:"blocks"`
	Data   []byte       `json:"data,omitempty"`
}

// CommandKind says what an order asks of an engine.
type CommandKind string

// Kinds of order.
const (
	CommandLoadModel   CommandKind = "load_model"
	CommandLoadAdapter CommandKind = "load_adapter"
	CommandChangeRole  CommandKind = "change_role"
)

// Command asks an engine to change what it serves.
type Command struct {
	Kind  CommandKind `json:"kind"`
	Name  string      `json:"name"`
	Slot  uint32      `json:"slot"`
	Fence core.Epoch  `json:"fence"`
}

// Target is a model engine or a service as its sidecar sees it. Its methods are
// safe for concurrent use and return errors of type *Error.
type Target interface {
	// Run executes an attempt and passes the answer to the sink. It returns when
	// the answer is whole, when it cannot become whole, or when ctx is done.
	Run(ctx context.Context, req Request, sink Sink) (Result, error)
	// Cancel stops an attempt.
	Cancel(ctx context.Context, attempt core.AttemptID) error
	// Load returns the target's own report, which lags.
	Load(ctx context.Context) (core.TargetLoad, error)
	// CacheEvents calls fn for every cache event after a sequence number, until
	// ctx is done or the connection breaks.
	CacheEvents(ctx context.Context, after uint64, fn func(core.CacheEvent)) error
	// ListCache returns the content of the prefix cache.
	ListCache(ctx context.Context) (Listing, error)
	// Release drops blocks from the prefix cache.
	Release(ctx context.Context, digests []uint64) error
	// Export reads the cached prefix of a conversation.
	Export(ctx context.Context, blocks []core.Block) (KV, error)
	// Import stores an exported prefix and returns the tokens stored anew.
	Import(ctx context.Context, kv KV) (uint64, error)
	// Execute passes an order on. Targets that check fencing numbers refuse one
	// below the highest that they have seen.
	Execute(ctx context.Context, order Command) error
}
