package wire

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

func fromRecord(r *core.CallRecord) *peerpb.CallRecord {
	return &peerpb.CallRecord{
		Seq:           r.Seq,
		Key:           r.Key,
		Kind:          uint32(r.Kind),
		Pool:          string(r.Pool),
		NonIdempotent: r.NonIdempotent,
		Phase:         uint32(r.Phase),
		Fingerprint:   r.Fingerprint,
		Attempt:       FromAttempt(r.Attempt),
		Target:        FromNode(r.Target),
		Reserved:      r.Reserved,
		Finish:        fromFinish(&r.Finish),
		DoneAt:        int64(r.DoneAt),
		Req:           fromRequest(r.Req),
		MayHaveRun:    r.MayHaveRun,
	}
}

func toRecord(p *peerpb.CallRecord) core.CallRecord {
	return core.CallRecord{
		Seq:           p.GetSeq(),
		Key:           p.GetKey(),
		Kind:          core.CallKind(p.GetKind()),
		Pool:          core.Pool(p.GetPool()),
		NonIdempotent: p.GetNonIdempotent(),
		Phase:         core.CallPhase(p.GetPhase()),
		Fingerprint:   p.GetFingerprint(),
		Attempt:       ToAttempt(p.GetAttempt()),
		Target:        ToNode(p.GetTarget()),
		Reserved:      p.GetReserved(),
		Finish:        toFinish(p.GetFinish()),
		DoneAt:        core.Instant(p.GetDoneAt()),
		Req:           toRequest(p.GetReq()),
		MayHaveRun:    p.GetMayHaveRun(),
	}
}

func fromProgram(q *core.Program) *peerpb.Program {
	p := &peerpb.Program{
		Id:            string(q.ID),
		Kind:          q.Kind,
		Account:       string(q.Account),
		NextSeq:       q.NextSeq,
		Budget:        q.Budget,
		Reserved:      q.Reserved,
		Spent:         q.Spent,
		HistoryDigest: q.HistoryDigest,
		HistoryBlocks: q.HistoryBlocks,
		Attained:      q.Attained,
		Turns:         q.Turns,
		Last:          FromNode(q.LastTarget),
		Started:       int64(q.Started),
		Active:        int64(q.LastActive),
		Ended:         q.Ended,
		HistoryCopies: fromHistoryCopies(q.HistoryCopies),
	}
	for _, node := range q.ServedBy {
		p.Served = append(p.Served, encodeNode(node))
	}
	for i := range q.Calls {
		p.Calls = append(p.Calls, fromRecord(&q.Calls[i]))
	}
	return p
}

func toProgram(p *peerpb.Program) *core.Program {
	q := &core.Program{
		ID:            core.ProgramID(p.GetId()),
		Kind:          p.GetKind(),
		Account:       core.Account(p.GetAccount()),
		NextSeq:       p.GetNextSeq(),
		Budget:        p.GetBudget(),
		Reserved:      p.GetReserved(),
		Spent:         p.GetSpent(),
		HistoryDigest: p.GetHistoryDigest(),
		HistoryBlocks: p.GetHistoryBlocks(),
		Attained:      p.GetAttained(),
		Turns:         p.GetTurns(),
		LastTarget:    ToNode(p.GetLast()),
		Started:       core.Instant(p.GetStarted()),
		LastActive:    core.Instant(p.GetActive()),
		Ended:         p.GetEnded(),
		HistoryCopies: toHistoryCopies(p.GetHistoryCopies()),
	}
	for _, node := range p.GetServed() {
		q.ServedBy = append(q.ServedBy, ToNode(node))
	}
	for _, r := range p.GetCalls() {
		q.Calls = append(q.Calls, toRecord(r))
	}
	return q
}

func fromPrograms(list []*core.Program) []*peerpb.Program {
	var out []*peerpb.Program
	for _, q := range list {
		out = append(out, fromProgram(q))
	}
	return out
}

func toPrograms(list []*peerpb.Program) []*core.Program {
	var out []*core.Program
	for _, p := range list {
		out = append(out, toProgram(p))
	}
	return out
}

func fromEscrows(list []core.Escrow) []*peerpb.Escrow {
	var out []*peerpb.Escrow
	for _, e := range list {
		out = append(out, &peerpb.Escrow{Account: string(e.Account), Granted: e.Granted, Used: e.Used})
	}
	return out
}

func toEscrows(list []*peerpb.Escrow) []core.Escrow {
	var out []core.Escrow
	for _, p := range list {
		e := core.Escrow{Account: core.Account(p.GetAccount()), Granted: p.GetGranted(), Used: p.GetUsed()}
		out = append(out, e)
	}
	return out
}

func fromImage(m *core.SlotSnapshot) *peerpb.SlotImage {
	if m == nil {
		return nil
	}
	return &peerpb.SlotImage{
		Slot:        uint32(m.Slot),
		Epoch:       fromEpoch(m.Epoch),
		Index:       m.Index,
		Remembers:   m.CompleteSince,
		Programs:    fromPrograms(m.Programs),
		Escrows:     fromEscrows(m.Escrows),
		NextAttempt: m.NextAttempt,
	}
}

func toImage(p *peerpb.SlotImage) *core.SlotSnapshot {
	if p == nil {
		return nil
	}
	return &core.SlotSnapshot{
		Slot:          core.SlotID(p.GetSlot()),
		Epoch:         toEpoch(p.GetEpoch()),
		Index:         p.GetIndex(),
		CompleteSince: p.GetRemembers(),
		Programs:      toPrograms(p.GetPrograms()),
		Escrows:       toEscrows(p.GetEscrows()),
		NextAttempt:   p.GetNextAttempt(),
	}
}

func fromMember(m core.Member) *peerpb.Member {
	return &peerpb.Member{Node: FromNode(m.Node), Domain: string(m.Domain), Since: m.Since}
}

func toMember(p *peerpb.Member) core.Member {
	return core.Member{Node: ToNode(p.GetNode()), Domain: core.Domain(p.GetDomain()), Since: p.GetSince()}
}

func fromOwner(o *core.SlotAssignment) *peerpb.SlotOwner {
	p := &peerpb.SlotOwner{
		Slot:      uint32(o.Slot),
		Epoch:     fromEpoch(o.Epoch),
		Proposal:  o.Proposal,
		Home:      fromMember(o.Owner),
		Remembers: o.CompleteSince,
		Revision:  o.Revision,
	}
	for _, m := range o.Replicas {
		p.Mirrors = append(p.Mirrors, fromMember(m))
	}
	return p
}

func toOwner(p *peerpb.SlotOwner) core.SlotAssignment {
	o := core.SlotAssignment{
		Slot:          core.SlotID(p.GetSlot()),
		Epoch:         toEpoch(p.GetEpoch()),
		Proposal:      p.GetProposal(),
		Owner:         toMember(p.GetHome()),
		CompleteSince: p.GetRemembers(),
		Revision:      p.GetRevision(),
	}
	for _, m := range p.GetMirrors() {
		o.Replicas = append(o.Replicas, toMember(m))
	}
	return o
}
