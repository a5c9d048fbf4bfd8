package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// fakeSidecar executes attempts immediately, or when released, and has a call
// table with tombstones and fences.
type fakeSidecar struct {
	node    core.Node
	load    core.Load
	leaving bool
	// hold keeps attempts running until release.
	hold bool
	// refuseNext is how many of the next dispatches are refused.
	refuseNext int
	// loseNext is how many of the next dispatches are reported as lost.
	loseNext    int
	table       map[core.AttemptID]core.Result
	senders     map[core.AttemptID]core.Node
	calls       map[core.AttemptID]core.Call
	fences      map[core.SlotID]core.Epoch
	subscribers map[core.VM]core.Node
	ended       []core.ProgramID
	acked       map[core.AttemptID]bool
	started     []core.AttemptID
	// executed counts the executions by idempotency key.
	executed map[string]int
}

func newFakeSidecar(n core.Node, pool core.Pool) *fakeSidecar {
	return &fakeSidecar{
		node: n, load: core.Load{Pool: pool, Domain: "d0", Limit: 8},
		table: map[core.AttemptID]core.Result{}, senders: map[core.AttemptID]core.Node{},
		calls: map[core.AttemptID]core.Call{}, fences: map[core.SlotID]core.Epoch{},
		subscribers: map[core.VM]core.Node{}, acked: map[core.AttemptID]bool{}, executed: map[string]int{},
	}
}

func (f *fakeSidecar) fenced(slot core.SlotID, e core.Epoch) bool {
	if e.Less(f.fences[slot]) {
		return true
	}
	f.fences[slot] = e
	return false
}

func (f *fakeSidecar) recv(from core.Node, m core.Message) []core.Send {
	switch m := m.(type) {
	case core.Hello:
		f.subscribers[from.VM] = from
		return []core.Send{{To: from, Msg: core.LoadReport{Load: f.load}}}
	case core.Dispatch:
		return f.dispatch(from, m)
	case core.QueryAttempt:
		if !f.fenced(m.Slot, m.Epoch) {
			f.senders[m.Attempt] = from
			if _, ok := f.table[m.Attempt]; !ok {
				f.table[m.Attempt] = core.Result{Attempt: m.Attempt, State: core.AttemptRefused, Reason: core.ReasonRefusedBefore}
			}
		}
		return f.report(from, m.Attempt)
	case core.AckResult:
		f.acked[m.Attempt] = true
	case core.EndProgram:
		f.ended = append(f.ended, m.Program)
	}
	return nil
}

func (f *fakeSidecar) dispatch(from core.Node, d core.Dispatch) []core.Send {
	f.senders[d.Attempt] = from
	if _, ok := f.table[d.Attempt]; ok {
		return f.report(from, d.Attempt)
	}
	r := core.Result{Attempt: d.Attempt, Program: d.Call.Program, State: core.AttemptRunning}
	switch {
	case f.fenced(d.Slot, d.Epoch):
		r.State, r.Reason = core.AttemptRefused, core.ReasonStaleEpoch
	case d.Target != f.node:
		r.State, r.Reason = core.AttemptRefused, core.ReasonTargetRestarted
	case f.loseNext > 0:
		f.loseNext--
		f.executed[d.Call.Key]++
		r.State, r.Reason = core.AttemptLost, core.ReasonTargetFailed
	case f.refuseNext > 0:
		f.refuseNext--
		r.State, r.Reason = core.AttemptRefused, core.ReasonOverload
	default:
		f.executed[d.Call.Key]++
		f.started = append(f.started, d.Attempt)
	}
	f.calls[d.Attempt] = d.Call
	f.table[d.Attempt] = r
	if r.State == core.AttemptRunning && !f.hold {
		f.finish(d.Attempt)
	}
	return f.report(from, d.Attempt)
}

// finish completes a running attempt with an answer that adds one block.
func (f *fakeSidecar) finish(a core.AttemptID) {
	r := f.table[a]
	call := f.calls[a]
	r.State = core.AttemptDone
	r.Length = 5
	if call.Kind == core.CallModel {
		r.Usage = core.Usage{PromptTokens: call.PromptTokens(), OutputTokens: call.MaxTokens}
		r.Blocks = uint32(len(call.Blocks)) + 1
		r.Digest = 1000 + uint64(len(call.Blocks))
	} else {
		r.Answer = []byte("done")
	}
	f.table[a] = r
}

// release completes all running attempts; the next tick reports them.
func (f *fakeSidecar) release() {
	f.hold = false
	for _, a := range f.started {
		if f.table[a].State == core.AttemptRunning {
			f.finish(a)
		}
	}
}

func (f *fakeSidecar) report(to core.Node, a core.AttemptID) []core.Send {
	r := f.table[a]
	r.Attempt = a
	r.Epoch = f.fences[a.Slot]
	r.Load = f.load
	return []core.Send{{To: to, Msg: r}}
}

// tick reports the load and the results that are not acknowledged yet.
func (f *fakeSidecar) tick() []core.Send {
	var out []core.Send
	for _, vm := range []core.VM{"e0", "e1", "e2", "e3"} {
		if n, ok := f.subscribers[vm]; ok {
			out = append(out, core.Send{To: n, Msg: core.LoadReport{Load: f.load}})
		}
	}
	for _, a := range f.started {
		if f.table[a].State == core.AttemptDone && !f.acked[a] {
			out = append(out, f.report(f.senders[a], a)...)
		}
	}
	return out
}
