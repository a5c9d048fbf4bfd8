package node

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// defaultStoreTimeout bounds a call of the key-value service.
const defaultStoreTimeout = 2 * time.Second

// run takes an effect of the reducer. It runs in the reducer's actor.
func (n *Node) run(eff core.Effect) {
	n.Metrics.Effect(eff)
	switch e := eff.(type) {
	case core.Send:
		n.mesh.Send(e.To, e.Msg)
	case core.StoreGet:
		go n.storeGet(e)
	case core.StoreRange:
		go n.storeRange(e)
	case core.StoreCompareAndSwap:
		go n.storeSwap(e)
	case core.Decision:
		n.decided(e)
	case core.Stopped:
		n.once.Do(func() { close(n.stopped) })
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
	entry, err := n.options.Store.Get(ctx, e.Key)
	n.storeDone("get", err, core.StoreResult{Op: e.Op, Entries: []core.StoreEntry{entry}})
}

func (n *Node) storeRange(e core.StoreRange) {
	ctx, cancel := n.storeContext()
	defer cancel()
	entries, _, err := n.options.Store.Range(ctx, e.Prefix)
	n.storeDone("range", err, core.StoreResult{Op: e.Op, Entries: entries})
}

func (n *Node) storeSwap(e core.StoreCompareAndSwap) {
	ctx, cancel := n.storeContext()
	defer cancel()
	result, err := n.options.Store.CompareAndSwap(ctx, store.Swap{Key: e.Key, Revision: e.Revision, Value: e.Value})
	n.storeDone("swap", err, core.StoreResult{
		Op:      e.Op,
		Swapped: result.Swapped,
		Entries: []core.StoreEntry{result.Current},
	})
}

func (n *Node) storeDone(step string, err error, result core.StoreResult) {
	n.Metrics.StoreCall(step, err)
	n.health.note("store "+step, err)
	if err != nil {
		result.Err = true
		result.Entries = nil
	}
	n.Post(result)
}

func (n *Node) decided(d core.Decision) {
	n.record(d)
	if n.log.Level > 1 {
		return
	}
	n.log.Debug().Str("step", d.Step).Str("program", string(d.Program)).Uint64("seq", d.Seq).
		Str("attempt", d.Attempt.String()).Str("target", d.Target.String()).
		Uint32("slot", uint32(d.Slot)).Str("reason", string(d.Reason)).
		Int64("cost_ns", d.Cost).Int64("wait_ns", d.Wait).Msg("decision")
}
