package direct

import (
	"fmt"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Shares of the adversary's choices, in percent; the rest are deliveries.
const (
	shareTick      = 22
	shareLongTick  = 3
	shareStore     = 14
	shareTargetEnd = 6
	shareCall      = 4
	shareDrop      = 4
	shareRepeat    = 6
)

// Durations by which one choice advances a clock.
const (
	shortTick = 60 * core.Millisecond
	longTick  = 900 * core.Millisecond
)

// deliveryWindow is the number of oldest messages among which the adversary
// chooses.
const deliveryWindow = 24

// choose makes one choice of the adversary.
func (w *world) choose() {
	// Restarts are spread over the whole path.
	if w.rng.IntN(w.opts.Steps) < 2*w.opts.Restarts {
		w.restart()
	}
	r := w.rng.IntN(100)
	for _, choice := range []struct {
		share int
		do    func()
	}{
		{shareTick, func() { w.tick(shortTick) }},
		{shareLongTick, func() { w.tick(longTick) }},
		{shareStore, w.serveStoreCall},
		{shareTargetEnd, w.endExecution},
		{shareCall, w.issueCall},
		{shareDrop, w.dropMessage},
		{shareRepeat, func() { w.deliver(true) }},
		{100, func() { w.deliver(false) }},
	} {
		if r < choice.share {
			choice.do()
			return
		}
		r -= choice.share
	}
}

// tick advances one clock.
func (w *world) tick(d core.Duration) {
	p := w.procs[w.rng.IntN(len(w.procs))]
	p.now = p.now.Add(d)
	w.step(p, core.Tick{})
}

// deliver delivers one of the oldest messages. keepInFlight keeps it in flight,
// to be delivered again.
func (w *world) deliver(keepInFlight bool) {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.rng.IntN(min(deliveryWindow, len(w.inFlight)))
	f := w.inFlight[i]
	if !keepInFlight {
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	}
	w.receive(f)
}

func (w *world) receive(f messageInFlight) {
	msg := f.msg
	if _, ok := msg.(core.Dispatch); ok && w.opts.DeliverToAnyIncarnation {
		f.to.Inc = 0
	}
	to := w.currentProcess(f.to)
	if to == nil {
		return
	}
	if w.opts.Mutate != nil {
		msg = w.opts.Mutate(to.node, msg)
	}
	if msg == nil {
		return
	}
	if isTraced(msg) {
		w.addTrace("%s -> %s %T", f.from, to.node, msg)
	}
	w.step(to, core.Recv{From: f.from, Msg: msg})
}

// isTraced reports whether a message is included in traces. Background traffic is
// not.
func isTraced(m core.Message) bool {
	switch m.(type) {
	case core.Heartbeat, core.Hello, core.LoadReport:
		return false
	}
	return true
}

// dropMessage drops one of the oldest messages.
func (w *world) dropMessage() {
	if len(w.inFlight) > 0 {
		i := w.rng.IntN(min(deliveryWindow, len(w.inFlight)))
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	}
}

// restart replaces a process with its next incarnation on the same VM.
func (w *world) restart() {
	if w.restarts >= w.opts.Restarts {
		return
	}
	w.restarts++
	p := w.procs[w.rng.IntN(len(w.procs))]
	w.addTrace("%s restarts", p.node)
	w.startIncarnation(p)
}

// issueCall sends the next call to an entry.
func (w *world) issueCall() {
	if w.issued >= w.opts.Calls {
		return
	}
	w.issued++
	ingress := w.procs[w.rng.IntN(w.opts.Entries)]
	key := fmt.Sprintf("k%d", w.issued)
	req := core.RequestID{Ingress: ingress.node, N: uint64(w.issued)}
	w.keyByRequest[req] = key
	w.addTrace("call %s arrives at %s", key, ingress.node)
	w.step(ingress, core.CallArrived{Req: req, Call: core.Call{
		Program: program, ProgramKind: kind, Account: account, Kind: core.CallTool, Pool: pool,
		Key: key, NonIdempotent: true, MaxTokens: callCost, Timeout: core.Minute, Method: "POST", Path: "/", Body: []byte(key),
	}})
}

// endExecution reports the end of an execution to its sidecar.
func (w *world) endExecution() {
	if len(w.executions) == 0 {
		return
	}
	i := w.rng.IntN(len(w.executions))
	ended := w.executions[i]
	w.executions = append(w.executions[:i], w.executions[i+1:]...)
	if p := w.currentProcess(ended.by); p != nil {
		w.step(p, core.TargetFinished{Attempt: ended.attempt, Usage: core.Usage{OutputTokens: callCost}, Answer: []byte("ok"), Length: 2})
	}
}

// serveStoreCall serves one call to the key-value service. The call takes effect
// or not, and its response arrives or is lost.
func (w *world) serveStoreCall() {
	if len(w.storeCalls) == 0 {
		return
	}
	i := w.rng.IntN(len(w.storeCalls))
	op := w.storeCalls[i]
	w.storeCalls = append(w.storeCalls[:i], w.storeCalls[i+1:]...)
	draw := w.rng.IntN(10)
	res := core.StoreResult{Err: true}
	if draw > 0 {
		res = w.apply(op)
	}
	if draw == 1 {
		w.addTrace("the store's response to %s is lost", op.by)
		res = core.StoreResult{Op: res.Op, Err: true}
	}
	res.Op = operationNumber(op.effect)
	if p := w.currentProcess(op.by); p != nil {
		w.step(p, res)
	}
}

func operationNumber(eff core.Effect) uint64 {
	switch eff := eff.(type) {
	case core.StoreGet:
		return eff.Op
	case core.StoreRange:
		return eff.Op
	case core.StoreCompareAndSwap:
		return eff.Op
	}
	return 0
}

// apply executes a call of the key-value service.
func (w *world) apply(op storeCall) core.StoreResult {
	switch eff := op.effect.(type) {
	case core.StoreGet:
		return core.StoreResult{Records: []core.StoreRecord{w.get(eff.Key)}}
	case core.StoreRange:
		return core.StoreResult{Records: w.listPrefix(eff.Prefix)}
	case core.StoreCompareAndSwap:
		return w.compareAndSwap(op.by, eff)
	}
	return core.StoreResult{Err: true}
}

func (w *world) get(key string) core.StoreRecord {
	record := w.kv[key]
	record.Key = key
	return record
}

func (w *world) listPrefix(prefix string) []core.StoreRecord {
	var found []core.StoreRecord
	for s := range core.SlotID(w.set.Ownership.Slots) {
		key := core.SlotKey(s)
		if record, ok := w.kv[key]; ok && strings.HasPrefix(key, prefix) {
			found = append(found, record)
		}
	}
	return found
}

func (w *world) compareAndSwap(by core.Node, eff core.StoreCompareAndSwap) core.StoreResult {
	if w.kv[eff.Key].Revision != eff.Revision {
		return core.StoreResult{Records: []core.StoreRecord{w.get(eff.Key)}}
	}
	w.revision++
	w.kv[eff.Key] = core.StoreRecord{Key: eff.Key, Value: eff.Value, Revision: w.revision}
	w.addTrace("%s compare-and-swaps %s: %s", by, eff.Key, eff.Value)
	return core.StoreResult{Swapped: true, Records: []core.StoreRecord{w.kv[eff.Key]}}
}
