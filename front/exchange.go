package front

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Backend runs calls for callers.
type Backend interface {
	// Config returns the configuration in force, or nil before the first.
	Config() *config.Set
	// Do runs a call and passes its answer to sink. With core.OutcomeRan and no
	// reason the sink has received the whole answer.
	Do(ctx context.Context, call core.Call, sink Sink) core.Finish
	// History returns the acknowledged conversation of a program as a JSON array
	// of messages; unless it ran, the finish says why there is none.
	History(ctx context.Context, program core.ProgramID, account core.Account) ([]byte, core.Finish)
	// End ends a program and its sub-agents.
	End(ctx context.Context, program core.ProgramID, account core.Account) core.Finish
}

// Sink takes the answer of a call as package rpc/answer frames it.
type Sink interface {
	// Write takes the next part. An error ends the call.
	Write(p []byte) (int, error)
	// Restart drops what was written, because the answer begins anew from
	// another attempt. It reports false if a part has reached the caller.
	Restart() bool
}
