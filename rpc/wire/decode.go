package wire

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// Decode returns the message in an envelope. It returns an *UnknownMessageError if
// the envelope contains no known message, which can happen if the peer runs a newer
// version.
func Decode(env *peerpb.Envelope) (core.Message, error) {
	switch p := env.GetMessage().(type) {
	case *peerpb.Envelope_Forward:
		return core.Forward{
			Req:         toRequest(p.Forward.GetReq()),
			Call:        toCall(p.Forward.GetCall()),
			Epoch:       toEpoch(p.Forward.GetEpoch()),
			Reforwarded: p.Forward.GetAgain(),
		}, nil
	case *peerpb.Envelope_Placed:
		return core.Placed{
			Req:     toRequest(p.Placed.GetReq()),
			Attempt: ToAttempt(p.Placed.GetAttempt()),
			Sidecar: ToNode(p.Placed.GetSidecar()),
		}, nil
	case *peerpb.Envelope_Finished:
		return core.Finished{
			Req:    toRequest(p.Finished.GetReq()),
			Finish: toFinish(p.Finished.GetFinish()),
			Epoch:  toEpoch(p.Finished.GetEpoch()),
		}, nil
	case *peerpb.Envelope_Withdraw:
		return core.Withdraw{Req: toRequest(p.Withdraw.GetReq())}, nil
	case *peerpb.Envelope_EndRequest:
		return core.EndRequest{
			Req:     toRequest(p.EndRequest.GetReq()),
			Program: core.ProgramID(p.EndRequest.GetProgram()),
			Account: core.Account(p.EndRequest.GetAccount()),
		}, nil
	case *peerpb.Envelope_Heartbeat:
		return core.Heartbeat{
			Domain:     core.Domain(p.Heartbeat.GetDomain()),
			Generation: p.Heartbeat.GetGeneration(),
			MapSum:     p.Heartbeat.GetMapSum(),
			Draining:   p.Heartbeat.GetDraining(),
			Period:     p.Heartbeat.GetPeriod(),
		}, nil
	case *peerpb.Envelope_Hello:
		return core.Hello{}, nil
	case *peerpb.Envelope_AckResult:
		return core.AckResult{Attempt: ToAttempt(p.AckResult.GetAttempt())}, nil
	case *peerpb.Envelope_LoadReport:
		return core.LoadReport{Load: toLoad(p.LoadReport.GetLoad())}, nil
	case *peerpb.Envelope_Result:
		return toResult(p.Result), nil
	}
	if msg := decodeSlotMessage(env); msg != nil {
		return msg, nil
	}
	if msg := decodeHistoryMessage(env); msg != nil {
		return msg, nil
	}
	return nil, &UnknownMessageError{Step: "decode", Type: fmt.Sprintf("%T", env.GetMessage())}
}

// decodeSlotMessage decodes a message that concerns slots. It returns nil for any
// other message.
func decodeSlotMessage(env *peerpb.Envelope) core.Message {
	switch p := env.GetMessage().(type) {
	case *peerpb.Envelope_MirrorWrite:
		return toReplicaWrite(p.MirrorWrite)
	case *peerpb.Envelope_MirrorAck:
		return core.ReplicaAck{
			Slot:          core.SlotID(p.MirrorAck.GetSlot()),
			Epoch:         toEpoch(p.MirrorAck.GetEpoch()),
			Index:         p.MirrorAck.GetIndex(),
			OK:            p.MirrorAck.GetOk(),
			Promised:      toEpoch(p.MirrorAck.GetPromised()),
			NeedsSnapshot: p.MirrorAck.GetNeedImage(),
		}
	case *peerpb.Envelope_SlotUpdate:
		var assignments []core.SlotAssignment
		for _, o := range p.SlotUpdate.GetOwners() {
			assignments = append(assignments, toAssignment(o))
		}
		return core.SlotUpdate{Assignments: assignments}
	case *peerpb.Envelope_SlotQuery:
		return core.SlotQuery{}
	case *peerpb.Envelope_Handover:
		return core.Handover{
			Slot:  core.SlotID(p.Handover.GetSlot()),
			Epoch: toEpoch(p.Handover.GetEpoch()),
		}
	case *peerpb.Envelope_PromiseRequest:
		return core.PromiseRequest{
			Slot:  core.SlotID(p.PromiseRequest.GetSlot()),
			Epoch: toEpoch(p.PromiseRequest.GetEpoch()),
		}
	case *peerpb.Envelope_PromiseReply:
		return core.PromiseReply{
			Slot:     core.SlotID(p.PromiseReply.GetSlot()),
			Epoch:    toEpoch(p.PromiseReply.GetEpoch()),
			OK:       p.PromiseReply.GetOk(),
			Promised: toEpoch(p.PromiseReply.GetPromised()),
			Eligible: p.PromiseReply.GetEligible(),
		}
	case *peerpb.Envelope_Dispatch:
		return toDispatch(p.Dispatch)
	case *peerpb.Envelope_QueryAttempt:
		return core.QueryAttempt{
			Slot:    core.SlotID(p.QueryAttempt.GetSlot()),
			Epoch:   toEpoch(p.QueryAttempt.GetEpoch()),
			Attempt: ToAttempt(p.QueryAttempt.GetAttempt()),
			Target:  ToNode(p.QueryAttempt.GetTarget()),
		}
	case *peerpb.Envelope_CancelAttempt:
		return core.CancelAttempt{
			Slot:    core.SlotID(p.CancelAttempt.GetSlot()),
			Epoch:   toEpoch(p.CancelAttempt.GetEpoch()),
			Attempt: ToAttempt(p.CancelAttempt.GetAttempt()),
		}
	case *peerpb.Envelope_EndProgram:
		return core.EndProgram{
			Slot:    core.SlotID(p.EndProgram.GetSlot()),
			Epoch:   toEpoch(p.EndProgram.GetEpoch()),
			Program: core.ProgramID(p.EndProgram.GetProgram()),
		}
	}
	return nil
}

func toReplicaWrite(p *peerpb.MirrorWrite) core.ReplicaWrite {
	m := core.ReplicaWrite{
		Slot:        core.SlotID(p.GetSlot()),
		Epoch:       toEpoch(p.GetEpoch()),
		Index:       p.GetIndex(),
		Snapshot:    toSnapshot(p.GetImage()),
		Programs:    toPrograms(p.GetPrograms()),
		Escrows:     toEscrows(p.GetEscrows()),
		NextAttempt: p.GetNextAttempt(),
		At:          core.Instant(p.GetAt()),
	}
	for _, id := range p.GetRemoved() {
		m.Removed = append(m.Removed, core.ProgramID(id))
	}
	return m
}

func toDispatch(p *peerpb.Dispatch) core.Dispatch {
	return core.Dispatch{
		Slot:     core.SlotID(p.GetSlot()),
		Epoch:    toEpoch(p.GetEpoch()),
		Attempt:  ToAttempt(p.GetAttempt()),
		Target:   ToNode(p.GetTarget()),
		Call:     toCall(p.GetCall()),
		Attained: p.GetAttained(),
		Turns:    p.GetTurns(),
		Started:  core.Instant(p.GetStarted()),
		Age:      p.GetAge(),
	}
}

func toResult(p *peerpb.Result) core.Result {
	return core.Result{
		Attempt:    ToAttempt(p.GetAttempt()),
		Program:    core.ProgramID(p.GetProgram()),
		State:      core.AttemptState(p.GetState()),
		Reason:     core.Reason(p.GetReason()),
		RetryAfter: p.GetRetryAfter(),
		Usage:      toUsage(p.GetUsage()),
		Digest:     p.GetDigest(),
		Blocks:     p.GetBlocks(),
		Answer:     p.GetAnswer(),
		Length:     p.GetLength(),
		Epoch:      toEpoch(p.GetEpoch()),
		Load:       toLoad(p.GetLoad()),
	}
}
