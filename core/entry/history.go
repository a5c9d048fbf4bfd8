package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// extendsHistory reports whether a call's conversation continues the recorded
// one. The digest of a block covers all blocks before it, so one comparison is
// enough.
func extendsHistory(p *core.Program, call *core.Call) bool {
	n := p.HistoryBlocks
	if n == 0 || call.Kind != core.CallModel || call.ResetHistory {
		return true
	}
	return uint32(len(call.Blocks)) >= n && call.Blocks[n-1].Digest == p.HistoryDigest
}

// recordHistory records the conversation including the answer of a model call.
// The sidecar that served the call stores it.
func (e *Entry) recordHistory(p *core.Program, call *core.Call, r core.Result, server core.Node) {
	if r.Blocks == 0 {
		return
	}
	reset := call != nil && call.ResetHistory
	e.invariants.Check(invariant.History, reset || r.Blocks >= p.HistoryBlocks,
		"%s: history of %s shrank from %d to %d blocks", e.self, p.ID, p.HistoryBlocks, r.Blocks)
	p.HistoryDigest = r.Digest
	p.HistoryBlocks = r.Blocks
	recordServerCopy(p, server)
}

// historyTokens returns the length, in tokens, of the part of a prompt that a
// program's earlier calls have computed.
func historyTokens(p *core.Program, call *core.Call) uint32 {
	if call == nil || call.ResetHistory {
		return 0
	}
	var sum uint32
	for _, b := range call.Blocks[:min(int(p.HistoryBlocks), len(call.Blocks))] {
		sum += b.Tokens
	}
	return sum
}
