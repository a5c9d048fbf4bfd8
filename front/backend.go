package front

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Backend executes calls for callers.
type Backend interface {
	// Config returns the active configuration, or nil if there is none yet.
	Config() *config.Set
	// Do executes a call and writes its answer to sink. If it returns
	// core.OutcomeRan without a reason, sink has received the complete answer.
	Do(ctx context.Context, call core.Call, sink Sink) core.Finish
	// History returns the acknowledged conversation of a program as a JSON array
	// of messages. If the outcome is not core.OutcomeRan, it returns no
	// conversation, and the Finish contains the reason.
	History(ctx context.Context, program core.ProgramID, account core.Account) ([]byte, core.Finish)
	// End ends a program and its sub-agents.
	End(ctx context.Context, program core.ProgramID, account core.Account) core.Finish
}

// Sink receives the answer of a call, in the framing that package rpc/answer
// defines.
type Sink interface {
	// Write accepts the next part of the answer. An error ends the call.
	Write(p []byte) (int, error)
	// Restart discards the answer so far. It is called when another attempt is
	// about to write the answer from its beginning. If the caller has already
	// received a part, Restart discards nothing and returns false.
	Restart() bool
}
