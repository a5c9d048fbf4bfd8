package metrics

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// messageName returns the label value for a message's type.
func messageName(m core.Message) string {
	switch m.(type) {
	case core.Forward:
		return "forward"
	case core.Placed:
		return "placed"
	case core.Finished:
		return "finished"
	case core.Withdraw:
		return "withdraw"
	case core.EndRequest:
		return "end_request"
	case core.ReplicaWrite:
		return "mirror_write"
	case core.ReplicaAck:
		return "mirror_ack"
	case core.Heartbeat:
		return "heartbeat"
	case core.SlotUpdate:
		return "slot_update"
	case core.SlotQuery:
		return "slot_query"
	case core.Handover:
		return "handover"
	case core.Dispatch:
		return "dispatch"
	case core.QueryAttempt:
		return "query_attempt"
	case core.CancelAttempt:
		return "cancel_attempt"
	case core.AckResult:
		return "ack_result"
	case core.EndProgram:
		return "end_program"
	case core.HistoryRequest:
		return "history_request"
	case core.HistoryFound:
		return "history_found"
	case core.HistoryStored:
		return "history_kept"
	case core.HistoryDrop:
		return "history_drop"
	case core.Hello:
		return "hello"
	case core.Result:
		return "result"
	case core.LoadReport:
		return "load_report"
	case core.PromiseRequest:
		return "promise_request"
	case core.PromiseReply:
		return "promise_reply"
	}
	return other
}

// messageNames returns the label values for all types of messages.
func messageNames() []string {
	all := []core.Message{
		core.Forward{}, core.Placed{}, core.Finished{}, core.Withdraw{}, core.EndRequest{},
		core.ReplicaWrite{}, core.ReplicaAck{}, core.Heartbeat{}, core.SlotUpdate{}, core.SlotQuery{},
		core.Handover{}, core.Dispatch{}, core.QueryAttempt{}, core.CancelAttempt{}, core.AckResult{},
		core.EndProgram{}, core.Hello{}, core.Result{}, core.LoadReport{},
		core.HistoryRequest{}, core.HistoryFound{}, core.HistoryStored{}, core.HistoryDrop{},
		core.PromiseRequest{}, core.PromiseReply{},
	}
	names := make([]string, 0, len(all)+1)
	for _, m := range all {
		names = append(names, messageName(m))
	}
	return append(names, other)
}
