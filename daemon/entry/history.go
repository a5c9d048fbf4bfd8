package entry

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/history"
)

// History returns the acknowledged conversation of a program as a JSON array of
// messages. On failure it returns nil, and the Finish has the reason.
func (d *Daemon) History(ctx context.Context, program core.ProgramID, account core.Account) ([]byte, core.Finish) {
	ref, finish := d.Locate(ctx, program, account)
	if ref == nil {
		return nil, finish
	}
	return d.fetchHistory(ctx, ref)
}

// Locate returns where the acknowledged conversation of a program is stored. On
// failure it returns nil, and the Finish has the reason.
func (d *Daemon) Locate(ctx context.Context, program core.ProgramID, account core.Account) (*core.HistoryRef, core.Finish) {
	r := d.openRequest()
	defer d.closeRequest(r)
	d.node.Post(core.HistoryArrived{Req: r.id, Program: program, Account: account})
	for {
		select {
		case <-r.notify:
		case <-ctx.Done():
			return nil, withoutExecution(d.abandon(r, ctx))
		case <-d.node.Context().Done():
			return nil, withoutExecution(closingFinish())
		}
		if ref := r.historyRef(); ref != nil {
			return ref, core.Finish{}
		}
		if _, finish := r.takeUpdate(); finish != nil {
			return nil, *finish
		}
	}
}

// withoutExecution returns f with the outcome of a request that executes nothing
// because it only reads.
func withoutExecution(f core.Finish) core.Finish {
	f.Outcome = core.OutcomeNotRun
	return f
}

// fetchHistory reads a conversation from the first sidecar whose copy has the digest
// that the owner has acknowledged.
func (d *Daemon) fetchHistory(ctx context.Context, ref *core.HistoryRef) ([]byte, core.Finish) {
	for _, node := range ref.Copies {
		messages, err := d.readHistory(ctx, node, ref)
		if err == nil {
			return messages, core.Finish{Outcome: core.OutcomeRan}
		}
		d.node.Log().Info().Str("step", "read history").Str("program", string(ref.Program)).
			Str("peer", node.String()).Err(err).Msg("copy of a conversation is unusable; trying the next copy, if any")
	}
	return nil, core.Finish{Outcome: core.OutcomeNotRun, Reason: core.ReasonHistoryLost}
}

func (d *Daemon) readHistory(ctx context.Context, node core.Node, ref *core.HistoryRef) ([]byte, error) {
	body, err := d.node.Peers().GetHistory(ctx, node.VM, *ref)
	if err != nil {
		return nil, err
	}
	stored, err := history.Decode(body)
	if err != nil {
		return nil, err
	}
	return d.reader.Messages(stored, history.NewRef(*ref))
}
