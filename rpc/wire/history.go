package wire

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// encodeHistoryMessage encodes a message that concerns stored conversations. It
// returns false for any other message.
func encodeHistoryMessage(env *peerpb.Envelope, msg core.Message) bool {
	switch m := msg.(type) {
	case core.HistoryRequest:
		env.Message = &peerpb.Envelope_HistoryRequest{HistoryRequest: &peerpb.HistoryRequest{
			Req: fromRequest(m.Req), Program: string(m.Program), Account: string(m.Account), Epoch: fromEpoch(m.Epoch)}}
	case core.HistoryFound:
		env.Message = &peerpb.Envelope_HistoryFound{HistoryFound: &peerpb.HistoryFound{
			Req: fromRequest(m.Req), Ref: FromHistoryRef(&m.Ref)}}
	case core.HistoryStored:
		env.Message = &peerpb.Envelope_HistoryKept{HistoryKept: &peerpb.HistoryKept{
			Slot: uint32(m.Slot), Epoch: fromEpoch(m.Epoch), Program: string(m.Program), Digest: m.Digest, Blocks: m.Blocks,
			Node: FromNode(m.Node), Passed: m.Forwarded}}
	case core.HistoryDrop:
		env.Message = &peerpb.Envelope_HistoryDrop{HistoryDrop: &peerpb.HistoryDrop{
			Slot: uint32(m.Slot), Epoch: fromEpoch(m.Epoch), Program: string(m.Program), Digest: m.Digest}}
	default:
		return false
	}
	return true
}

// decodeHistoryMessage decodes a message that concerns stored conversations. It
// returns nil for any other message.
func decodeHistoryMessage(env *peerpb.Envelope) core.Message {
	switch p := env.GetMessage().(type) {
	case *peerpb.Envelope_HistoryRequest:
		return core.HistoryRequest{
			Req:     toRequest(p.HistoryRequest.GetReq()),
			Program: core.ProgramID(p.HistoryRequest.GetProgram()),
			Account: core.Account(p.HistoryRequest.GetAccount()),
			Epoch:   toEpoch(p.HistoryRequest.GetEpoch()),
		}
	case *peerpb.Envelope_HistoryFound:
		return core.HistoryFound{
			Req: toRequest(p.HistoryFound.GetReq()),
			Ref: ToHistoryRef(p.HistoryFound.GetRef()),
		}
	case *peerpb.Envelope_HistoryKept:
		return core.HistoryStored{
			Slot:      core.SlotID(p.HistoryKept.GetSlot()),
			Epoch:     toEpoch(p.HistoryKept.GetEpoch()),
			Program:   core.ProgramID(p.HistoryKept.GetProgram()),
			Digest:    p.HistoryKept.GetDigest(),
			Blocks:    p.HistoryKept.GetBlocks(),
			Node:      ToNode(p.HistoryKept.GetNode()),
			Forwarded: p.HistoryKept.GetPassed(),
		}
	case *peerpb.Envelope_HistoryDrop:
		return core.HistoryDrop{
			Slot:    core.SlotID(p.HistoryDrop.GetSlot()),
			Epoch:   toEpoch(p.HistoryDrop.GetEpoch()),
			Program: core.ProgramID(p.HistoryDrop.GetProgram()),
			Digest:  p.HistoryDrop.GetDigest(),
		}
	}
	return nil
}

// FromHistoryRef returns the protobuf form of a reference.
func FromHistoryRef(r *core.HistoryRef) *peerpb.HistoryRef {
	p := &peerpb.HistoryRef{
		Program: string(r.Program),
		Account: string(r.Account),
		Slot:    uint32(r.Slot),
		Epoch:   fromEpoch(r.Epoch),
		Digest:  r.Digest,
		Blocks:  r.Blocks,
	}
	for _, node := range r.Copies {
		p.Copies = append(p.Copies, encodeNode(node))
	}
	return p
}

// ToHistoryRef returns the reference that p represents.
func ToHistoryRef(p *peerpb.HistoryRef) core.HistoryRef {
	r := core.HistoryRef{
		Program: core.ProgramID(p.GetProgram()),
		Account: core.Account(p.GetAccount()),
		Slot:    core.SlotID(p.GetSlot()),
		Epoch:   toEpoch(p.GetEpoch()),
		Digest:  p.GetDigest(),
		Blocks:  p.GetBlocks(),
	}
	for _, node := range p.GetCopies() {
		r.Copies = append(r.Copies, ToNode(node))
	}
	return r
}

func fromHistoryCopies(list []core.HistoryCopy) []*peerpb.HistoryCopy {
	var out []*peerpb.HistoryCopy
	for _, c := range list {
		out = append(out, &peerpb.HistoryCopy{Node: FromNode(c.Node), Digest: c.Digest, Blocks: c.Blocks})
	}
	return out
}

func toHistoryCopies(list []*peerpb.HistoryCopy) []core.HistoryCopy {
	var out []core.HistoryCopy
	for _, p := range list {
		out = append(out, core.HistoryCopy{Node: ToNode(p.GetNode()), Digest: p.GetDigest(), Blocks: p.GetBlocks()})
	}
	return out
}
