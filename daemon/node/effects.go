package node

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// defaultStoreTimeout bounds a call to the key-value service.
const defaultStoreTimeout = 2 * time.Second

// run runs one effect of the reducer. It is called in the reducer's actor and must not
// block.
func (n *Node) run(eff core.Effect) {
	n.Metrics.RecordEffect(eff)
	switch e := eff.(type) {
	case core.Send:
		n.peers.Send(e.To, e.Msg)
	case core.StoreGet:
		go n.storeGet(e)
	case core.StoreRange:
		go n.storeRange(e)
	case core.StoreCompareAndSwap:
		go n.storeCompareAndSwap(e)
	case core.Decision:
		n.handleDecision(e)
	case core.Stopped:
		n.stoppedOnce.Do(func() { close(n.stopped) })
	default:
		n.options.RunEffect(eff)
	}
}

func (n *Node) storeContext() (context.Context, context.CancelFunc) {
	timeout := time.Duration(n.options.Settings.Store.Timeout)
	if timeout == 0 {
		timeout = defaultStoreTimeout
	}
	return context.WithTimeout(n.ctx, timeout)
}

func (n *Node) storeGet(e core.StoreGet) {
	ctx, cancel := n.storeContext()
	defer cancel()
	record, err := n.options.Store.Get(ctx, e.Key)
	n.postStoreResult("get", err, core.StoreResult{Op: e.Op, Records: []core.StoreRecord{record}})
}

func (n *Node) storeRange(e core.StoreRange) {
	ctx, cancel := n.storeContext()
	defer cancel()
	records, _, err := n.options.Store.Range(ctx, e.Prefix)
	n.postStoreResult("range", err, core.StoreResult{Op: e.Op, Records: records})
}

func (n *Node) storeCompareAndSwap(e core.StoreCompareAndSwap) {
	ctx, cancel := n.storeContext()
	defer cancel()
	result, err := n.options.Store.CompareAndSwap(ctx, store.CompareAndSwapRequest{Key: e.Key, Revision: e.Revision, Value: e.Value})
	n.postStoreResult("swap", err, core.StoreResult{
		Op:      e.Op,
		Swapped: result.Swapped,
		Records: []core.StoreRecord{result.Current},
	})
}

func (n *Node) postStoreResult(step string, err error, result core.StoreResult) {
	n.Metrics.RecordStoreCall(step, err)
	n.outages.record("store "+step, err)
	if err != nil {
		result.Err = true
		result.Records = nil
	}
	n.Post(result)
}

func (n *Node) handleDecision(d core.Decision) {
	n.recordDecision(d)
	if n.log.Level > 1 {
		return
	}
	n.log.Debug().Str("step", d.Step).Str("program", string(d.Program)).Uint64("seq", d.Seq).
		Str("attempt", d.Attempt.String()).Str("target", d.Target.String()).
		Uint32("slot", uint32(d.Slot)).Str("reason", string(d.Reason)).
		Int64("cost_ns", d.Cost).Int64("wait_ns", d.Wait).Msg("decision")
}
