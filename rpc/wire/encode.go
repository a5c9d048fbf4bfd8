package wire

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// UnknownMessageError reports a message type that cannot be converted, because it
// has no counterpart in the other form.
type UnknownMessageError struct {
	// Step is "encode" or "decode".
	Step string
	// Type is the Go type of the message: of package core when encoding, of
	// peerpb when decoding.
	Type string
}

// Error returns the step and the type.
func (e *UnknownMessageError) Error() string {
	return fmt.Sprintf("%s: unknown message type %s", e.Step, e.Type)
}

// Encode returns an envelope that contains msg. The parameter to is the incarnation
// of the receiver that the message is for; any other incarnation drops the message.
// Zero means any incarnation. Encode returns an *UnknownMessageError for a message
// type without a protobuf form.
func Encode(msg core.Message, to core.Incarnation) (*peerpb.Envelope, error) {
	env := &peerpb.Envelope{ToInc: uint64(to)}
	switch m := msg.(type) {
	case core.Forward:
		env.Message = &peerpb.Envelope_Forward{Forward: &peerpb.Forward{
			Req: fromRequest(m.Req), Call: fromCall(&m.Call), Epoch: fromEpoch(m.Epoch), Again: m.Reforwarded}}
	case core.Placed:
		env.Message = &peerpb.Envelope_Placed{Placed: &peerpb.Placed{
			Req: fromRequest(m.Req), Attempt: FromAttempt(m.Attempt), Sidecar: FromNode(m.Sidecar)}}
	case core.Finished:
		env.Message = &peerpb.Envelope_Finished{Finished: &peerpb.Finished{
			Req: fromRequest(m.Req), Finish: fromFinish(&m.Finish), Epoch: fromEpoch(m.Epoch)}}
	case core.Withdraw:
		env.Message = &peerpb.Envelope_Withdraw{Withdraw: &peerpb.Withdraw{Req: fromRequest(m.Req)}}
	case core.EndRequest:
		env.Message = &peerpb.Envelope_EndRequest{EndRequest: &peerpb.EndRequest{
			Req: fromRequest(m.Req), Program: string(m.Program), Account: string(m.Account)}}
	case core.Heartbeat:
		env.Message = &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{
			Domain: string(m.Domain), Generation: m.Generation, MapSum: m.MapSum, Draining: m.Draining,
			Period: m.Period}}
	case core.Hello:
		env.Message = &peerpb.Envelope_Hello{Hello: &peerpb.Hello{}}
	case core.AckResult:
		env.Message = &peerpb.Envelope_AckResult{AckResult: &peerpb.AckResult{Attempt: FromAttempt(m.Attempt)}}
	case core.LoadReport:
		env.Message = &peerpb.Envelope_LoadReport{LoadReport: &peerpb.LoadReport{Load: fromLoad(&m.Load)}}
	case core.Result:
		env.Message = &peerpb.Envelope_Result{Result: fromResult(&m)}
	default:
		if !encodeSlotMessage(env, msg) && !encodeHistoryMessage(env, msg) {
			return nil, &UnknownMessageError{Step: "encode", Type: fmt.Sprintf("%T", msg)}
		}
	}
	return env, nil
}

// encodeSlotMessage encodes a message that concerns slots. It returns false for any
// other message.
func encodeSlotMessage(env *peerpb.Envelope, msg core.Message) bool {
	switch m := msg.(type) {
	case core.ReplicaWrite:
		env.Message = &peerpb.Envelope_MirrorWrite{MirrorWrite: fromReplicaWrite(&m)}
	case core.ReplicaAck:
		env.Message = &peerpb.Envelope_MirrorAck{MirrorAck: &peerpb.MirrorAck{
			Slot: uint32(m.Slot), Epoch: fromEpoch(m.Epoch), Index: m.Index,
			Ok: m.OK, Promised: fromEpoch(m.Promised), NeedImage: m.NeedsSnapshot}}
	case core.SlotUpdate:
		update := &peerpb.SlotUpdate{}
		for i := range m.Assignments {
			update.Owners = append(update.Owners, fromAssignment(&m.Assignments[i]))
		}
		env.Message = &peerpb.Envelope_SlotUpdate{SlotUpdate: update}
	case core.SlotQuery:
		env.Message = &peerpb.Envelope_SlotQuery{SlotQuery: &peerpb.SlotQuery{}}
	case core.Handover:
		env.Message = &peerpb.Envelope_Handover{Handover: &peerpb.Handover{
			Slot: uint32(m.Slot), Epoch: fromEpoch(m.Epoch)}}
	case core.PromiseRequest:
		env.Message = &peerpb.Envelope_PromiseRequest{PromiseRequest: &peerpb.PromiseRequest{
			Slot: uint32(m.Slot), Epoch: fromEpoch(m.Epoch)}}
	case core.PromiseReply:
		env.Message = &peerpb.Envelope_PromiseReply{PromiseReply: &peerpb.PromiseReply{
			Slot: uint32(m.Slot), Epoch: fromEpoch(m.Epoch), Ok: m.OK, Promised: fromEpoch(m.Promised),
			Eligible: m.Eligible}}
	case core.Dispatch:
		env.Message = &peerpb.Envelope_Dispatch{Dispatch: fromDispatch(&m)}
	case core.QueryAttempt:
		env.Message = &peerpb.Envelope_QueryAttempt{QueryAttempt: &peerpb.QueryAttempt{
			Slot: uint32(m.Slot), Epoch: fromEpoch(m.Epoch),
			Attempt: FromAttempt(m.Attempt), Target: FromNode(m.Target)}}
	case core.CancelAttempt:
		env.Message = &peerpb.Envelope_CancelAttempt{CancelAttempt: &peerpb.CancelAttempt{
			Slot: uint32(m.Slot), Epoch: fromEpoch(m.Epoch), Attempt: FromAttempt(m.Attempt)}}
	case core.EndProgram:
		env.Message = &peerpb.Envelope_EndProgram{EndProgram: &peerpb.EndProgram{
			Slot: uint32(m.Slot), Epoch: fromEpoch(m.Epoch), Program: string(m.Program)}}
	default:
		return false
	}
	return true
}

func fromReplicaWrite(m *core.ReplicaWrite) *peerpb.MirrorWrite {
	p := &peerpb.MirrorWrite{
		Slot:        uint32(m.Slot),
		Epoch:       fromEpoch(m.Epoch),
		Index:       m.Index,
		Image:       fromSnapshot(m.Snapshot),
		Programs:    fromPrograms(m.Programs),
		Escrows:     fromEscrows(m.Escrows),
		NextAttempt: m.NextAttempt,
		At:          int64(m.At),
	}
	for _, id := range m.Removed {
		p.Removed = append(p.Removed, string(id))
	}
	return p
}

func fromDispatch(m *core.Dispatch) *peerpb.Dispatch {
	return &peerpb.Dispatch{
		Slot:     uint32(m.Slot),
		Epoch:    fromEpoch(m.Epoch),
		Attempt:  FromAttempt(m.Attempt),
		Target:   FromNode(m.Target),
		Call:     fromCall(&m.Call),
		Attained: m.Attained,
		Turns:    m.Turns,
		Started:  int64(m.Started),
		Age:      m.Age,
	}
}

func fromResult(m *core.Result) *peerpb.Result {
	return &peerpb.Result{
		Attempt:    FromAttempt(m.Attempt),
		Program:    string(m.Program),
		State:      uint32(m.State),
		Reason:     string(m.Reason),
		RetryAfter: m.RetryAfter,
		Usage:      fromUsage(m.Usage),
		Digest:     m.Digest,
		Blocks:     m.Blocks,
		Answer:     m.Answer,
		Length:     m.Length,
		Epoch:      fromEpoch(m.Epoch),
		Load:       fromLoad(&m.Load),
	}
}
