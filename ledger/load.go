package ledger

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// EncodeLoad returns calls in flight as a protobuf message.
func EncodeLoad(calls []loadboard.Calls) *ledgerpb.Load {
	load := &ledgerpb.Load{Targets: make([]uint64, 0, len(calls)), Calls: make([]uint32, 0, len(calls))}
	for _, c := range calls {
		load.Targets = append(load.Targets, c.Target)
		load.Calls = append(load.Calls, c.Count)
	}
	return load
}

// DecodeLoad is the inverse of EncodeLoad. It ignores targets without a number of calls.
func DecodeLoad(load *ledgerpb.Load) []loadboard.Calls {
	n := min(len(load.GetTargets()), len(load.GetCalls()))
	calls := make([]loadboard.Calls, 0, n)
	for i := range n {
		calls = append(calls, loadboard.Calls{Target: load.GetTargets()[i], Count: load.GetCalls()[i]})
	}
	return calls
}
