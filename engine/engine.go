// Package engine defines the interface through which a sidecar drives its target:
// a model engine, or a tool or plain service. Packages engine/openai and
// engine/service implement it.
package engine

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Request is an attempt to execute a call at the target.
type Request struct {
	Attempt core.AttemptID
	// Fence is sent to the target as a fencing token, for targets that check it.
	Fence core.Epoch
	Call  core.Call
}

// Head is the status and content type of an answer.
type Head struct {
	Status      int
	ContentType string
}

// Sink receives an answer while it is generated. Its methods are called from a
// single goroutine; Head is called once, before any Data.
type Sink interface {
	// Head receives the head as soon as it has arrived.
	Head(Head) error
	// Data receives the next bytes of the answer's body, and the number of output
	// tokens in them.
	Data(body []byte, tokens uint32) error
}

// Result describes a complete answer.
type Result struct {
	Usage core.Usage
	// Digest is the digest of the conversation including the answer, and Blocks
	// its number of blocks; both are zero for targets that are not model engines.
	Digest uint64
	Blocks uint32
	// Message is the answer as a message of the conversation; nil for targets that
	// are not model engines.
	Message *chat.Message
	// Length is the length of the answer's body in bytes.
	Length uint64
}

// Listing is the complete content of a target's prefix cache, as the digests of
// its blocks.
type Listing struct {
	Digests []uint64 `json:"digests"`
	// Sequence is the sequence number of the last cache event that the listing
	// reflects.
	Sequence uint64 `json:"sequence"`
}

// KV is the cached prefix (key-value cache) of a conversation, in the form in
// which it is transferred between engines.
type KV struct {
	Blocks []core.Block `json:"blocks"`
	Data   []byte       `json:"data,omitempty"`
}

// CommandKind is the kind of change that a command requests.
type CommandKind string

// Kinds of command.
const (
	CommandLoadModel   CommandKind = "load_model"
	CommandLoadAdapter CommandKind = "load_adapter"
	CommandChangeRole  CommandKind = "change_role"
)

// Command requests a change of an engine's model, adapter or role. Slot and Fence
// are its fencing token.
type Command struct {
	Kind  CommandKind `json:"kind"`
	Name  string      `json:"name"`
	Slot  uint32      `json:"slot"`
	Fence core.Epoch  `json:"fence"`
}

// Target is a client for a model engine or a service. Its methods are safe for
// concurrent use and return errors of type *Error.
type Target interface {
	// Run executes an attempt and writes its answer to the sink. It returns when
	// the answer is complete or cannot be completed, or when ctx is done.
	Run(ctx context.Context, req Request, sink Sink) (Result, error)
	// Cancel stops an attempt.
	Cancel(ctx context.Context, attempt core.AttemptID) error
	// Load returns the load that the target reports, which lags behind its actual
	// load.
	Load(ctx context.Context) (core.TargetLoad, error)
	// CacheEvents calls fn for every cache event that follows the given sequence
	// number. It returns when ctx is done or the connection is lost, always with an
	// error.
	CacheEvents(ctx context.Context, after uint64, fn func(core.CacheEvent)) error
	// ListCache returns the content of the prefix cache.
	ListCache(ctx context.Context) (Listing, error)
	// Release drops blocks from the prefix cache.
	Release(ctx context.Context, digests []uint64) error
	// Export reads the cached prefix of a conversation.
	Export(ctx context.Context, blocks []core.Block) (KV, error)
	// Import stores an exported prefix and returns the number of tokens
	// newly stored.
	Import(ctx context.Context, kv KV) (uint64, error)
	// Execute sends a command. A target that checks fencing tokens rejects a command
	// whose token is below the highest one that it has seen.
	Execute(ctx context.Context, command Command) error
}
