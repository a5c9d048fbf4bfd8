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
	shareLose      = 4
	shareRepeat    = 6
)

// Times by which a clock moves.
const (
	shortTick = 60 * core.Millisecond
	longTick  = 900 * core.Millisecond
)

// reach is the number of the oldest messages among which the adversary chooses.
const reach = 24

// choose makes one choice of the adversary.
func (w *world) choose() {
	// Restarts are spread over the whole path.
	if w.rng.IntN(w.opts.Steps) < 2*w.opts.Restarts {
		w.restart()
	}
	r := w.rng.IntN(100)
	for _, option := range []struct {
		share int
		do    func()
	}{
		{shareTick, func() { w.tick(shortTick) }},
		{shareLongTick, func() { w.tick(longTick) }},
		{shareStore, w.answerStore},
		{shareTargetEnd, w.endExecution},
		{shareCall, w.issue},
		{shareLose, w.lose},
		{shareRepeat, func() { w.deliver(true) }},
		{100, func() { w.deliver(false) }},
	} {
		if r < option.share {
			option.do()
			return
		}
		r -= option.share
	}
}

// tick moves one clock.
func (w *world) tick(d core.Duration) {
	p := w.procs[w.rng.IntN(len(w.procs))]
	p.now = p.now.Add(d)
	w.step(p, core.Tick{})
}

// deliver passes one of the oldest messages on; again keeps it in flight.
func (w *world) deliver(again bool) {
	if len(w.flights) == 0 {
		return
	}
	i := w.rng.IntN(min(reach, len(w.flights)))
	f := w.flights[i]
	if !again {
		w.flights = append(w.flights[:i], w.flights[i+1:]...)
	}
	w.pass(f)
}

func (w *world) pass(f flight) {
	msg := f.msg
	if _, ok := msg.(core.Dispatch); ok && w.opts.DeliverToAnyIncarnation {
		f.to.Inc = 0
	}
	to := w.process(f.to)
	if to == nil {
		return
	}
	if w.opts.Mutate != nil {
		msg = w.opts.Mutate(to.node, msg)
	}
	if msg == nil {
		return
	}
	if worthNoting(msg) {
		w.note("%s -> %s %T", f.from, to.node, msg)
	}
	w.step(to, core.Recv{From: f.from, Msg: msg})
}

// worthNoting leaves the background traffic out of traces.
func worthNoting(m core.Message) bool {
	switch m.(type) {
	case core.Heartbeat, core.Hello, core.LoadReport:
		return false
	}
	return true
}

// lose drops a message.
func (w *world) lose() {
	if len(w.flights) > 0 {
		i := w.rng.IntN(min(reach, len(w.flights)))
		w.flights = append(w.flights[:i], w.flights[i+1:]...)
	}
}

// restart ends a life and begins the next on the same VM.
func (w *world) restart() {
	if w.restarts >= w.opts.Restarts {
		return
	}
	w.restarts++
	p := w.procs[w.rng.IntN(len(w.procs))]
	w.note("%s restarts", p.node)
	w.begin(p)
}

// issue sends the next call to some entry.
func (w *world) issue() {
	if w.issued >= w.opts.Calls {
		return
	}
	w.issued++
	edge := w.procs[w.rng.IntN(w.opts.Entries)]
	key := fmt.Sprintf("k%d", w.issued)
	req := core.RequestID{Ingress: edge.node, N: uint64(w.issued)}
	w.keyOf[req] = key
	w.note("call %s arrives at %s", key, edge.node)
	w.step(edge, core.CallArrived{Req: req, Call: core.Call{
		Program: program, ProgramKind: kind, Account: account, Kind: core.CallTool, Pool: pool,
		Key: key, NonIdempotent: true, MaxTokens: callCost, Timeout: core.Minute, Method: "POST", Path: "/", Body: []byte(key),
	}})
}

// endExecution tells a sidecar of the end of an execution.
func (w *world) endExecution() {
	if len(w.running) == 0 {
		return
	}
	i := w.rng.IntN(len(w.running))
	s := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	if p := w.process(s.by); p != nil {
		w.step(p, core.TargetFinished{Attempt: s.attempt, Usage: core.Usage{OutputTokens: callCost}, Answer: []byte("ok"), Length: 2})
	}
}

// answerStore serves one call of the key-value service: it takes effect, or
// not, and its answer arrives, or not.
func (w *world) answerStore() {
	if len(w.ops) == 0 {
		return
	}
	i := w.rng.IntN(len(w.ops))
	op := w.ops[i]
	w.ops = append(w.ops[:i], w.ops[i+1:]...)
	fate := w.rng.IntN(10)
	res := core.StoreResult{Err: true}
	if fate > 0 {
		res = w.apply(op)
	}
	if fate == 1 {
		w.note("the store's answer to %s is lost", op.by)
		res = core.StoreResult{Op: res.Op, Err: true}
	}
	res.Op = operationNumber(op.effect)
	if p := w.process(op.by); p != nil {
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
func (w *world) apply(op operation) core.StoreResult {
	switch eff := op.effect.(type) {
	case core.StoreGet:
		return core.StoreResult{Records: []core.StoreRecord{w.get(eff.Key)}}
	case core.StoreRange:
		return core.StoreResult{Records: w.scan(eff.Prefix)}
	case core.StoreCompareAndSwap:
		return w.swap(op.by, eff)
	}
	return core.StoreResult{Err: true}
}

func (w *world) get(key string) core.StoreRecord {
	e := w.kv[key]
	e.Key = key
	return e
}

func (w *world) scan(prefix string) []core.StoreRecord {
	var found []core.StoreRecord
	for s := range core.SlotID(w.set.Ownership.Slots) {
		key := core.SlotKey(s)
		if e, ok := w.kv[key]; ok && strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	return found
}

func (w *world) swap(by core.Node, eff core.StoreCompareAndSwap) core.StoreResult {
	if w.kv[eff.Key].Revision != eff.Revision {
		return core.StoreResult{Records: []core.StoreRecord{w.get(eff.Key)}}
	}
	w.rev++
	w.kv[eff.Key] = core.StoreRecord{Key: eff.Key, Value: eff.Value, Revision: w.rev}
	w.note("%s swaps %s: %s", by, eff.Key, eff.Value)
	return core.StoreResult{Swapped: true, Records: []core.StoreRecord{w.kv[eff.Key]}}
}
