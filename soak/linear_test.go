package soak

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// ownerInput is an operation of an entry on a slot's assignment record.
type ownerInput struct {
	key      string
	swap     bool
	revision int64
}

// ownerOutput is the result of an operation.
type ownerOutput struct {
	swapped  bool
	revision int64
}

// ownerModel is a register with compare-and-swap. A compare-and-swap whose
// response was lost may have taken effect; a later read then returns its
// revision.
var ownerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(ownerInput).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Step: func(state, input, output any) []any {
		revision, in, out := state.(int64), input.(ownerInput), output.(ownerOutput)
		switch {
		case !in.swap && out.revision == revision:
			return []any{revision}
		case !in.swap:
			return nil
		case out.swapped && in.revision == revision:
			return []any{out.revision}
		case !out.swapped && in.revision != revision:
			return []any{revision}
		}
		return nil
	},
}

// pendingOp is an operation without a result.
type pendingOp struct {
	input ownerInput
	at    core.Instant
}

// ownerHistory records the operations on the slot assignments as the entries see
// them, from the effect to the result. At the end of the run, operations whose
// response was lost are completed with the result that the service computed.
type ownerHistory struct {
	pending map[core.Node]map[uint64]pendingOp
	done    map[core.Node]map[uint64]ownerOutput
	ops     []porcupine.Operation
}

func (h *ownerHistory) effect(n *sim.Node, e core.Effect) {
	var op uint64
	var in ownerInput
	switch e := e.(type) {
	case core.StoreGet:
		op, in = e.Op, ownerInput{key: e.Key}
	case core.StoreCompareAndSwap:
		op, in = e.Op, ownerInput{key: e.Key, swap: true, revision: e.Revision}
	default:
		return
	}
	if h.pending[n.ID()] == nil {
		h.pending[n.ID()] = map[uint64]pendingOp{}
		h.done[n.ID()] = map[uint64]ownerOutput{}
	}
	h.pending[n.ID()][op] = pendingOp{input: in, at: simNow(n)}
}

// applied records the result that the service computed for an operation.
func (h *ownerHistory) applied(incarnation core.Node, _ core.Effect, res core.StoreResult) {
	if len(res.Records) != 1 || h.done[incarnation] == nil {
		return
	}
	h.done[incarnation][res.Op] = ownerOutput{swapped: res.Swapped, revision: res.Records[0].Revision}
}

// event completes an operation when its result arrives.
func (h *ownerHistory) event(n *sim.Node, ev core.Event) {
	res, ok := ev.(core.StoreResult)
	if !ok || res.Err {
		return
	}
	p, ok := h.pending[n.ID()][res.Op]
	if !ok {
		return
	}
	delete(h.pending[n.ID()], res.Op)
	out := ownerOutput{swapped: res.Swapped, revision: res.Records[0].Revision}
	h.ops = append(h.ops, porcupine.Operation{Input: p.input, Output: out, Call: int64(p.at), Return: int64(simNow(n))})
}

// finish adds the compare-and-swaps that took effect but whose response never
// reached the entry.
func (h *ownerHistory) finish(end core.Instant) {
	for node, ops := range h.pending {
		for op, p := range ops {
			out, ok := h.done[node][op]
			if ok && out.swapped {
				h.ops = append(h.ops, porcupine.Operation{Input: p.input, Output: out, Call: int64(p.at), Return: int64(end)})
			}
		}
	}
}

func simNow(n *sim.Node) core.Instant { return n.Sim().Now() }

// TestSlotOwnersAreLinearizable checks the operations on the slot assignments as
// the entries saw them under all faults, including lost responses.
func TestSlotOwnersAreLinearizable(t *testing.T) {
	h := &ownerHistory{pending: map[core.Node]map[uint64]pendingOp{}, done: map[core.Node]map[uint64]ownerOutput{}}
	c := NewCluster(Options{Seed: 5})
	c.sim.AddHooks(sim.Hooks{Effect: h.effect, Event: h.event})
	c.sim.Store.OnOperation = h.applied
	c.Start()
	c.sim.RunEvents(60_000)
	h.finish(c.sim.Now().Add(core.Second))
	require.Greater(t, len(h.ops), 100)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(ownerModel.ToModel(), h.ops, time.Minute))
}

// keyInput is a request with an idempotency key, keyOutput its outcome.
type keyInput struct{ key string }

type keyOutput struct {
	outcome core.Outcome
	body    string
}

// keyModel is an object that is executed at most once: every answer for a key is
// the answer of its only execution.
var keyModel = porcupine.Model{
	Init: func() any { return "" },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(keyInput).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Step: func(state, _, output any) (bool, any) {
		executed, out := state.(string), output.(keyOutput)
		if out.outcome != core.OutcomeRan {
			return true, executed
		}
		return executed == "" || executed == out.body, out.body
	},
}

// TestKeysAreExecutedAtMostOnce checks that the answers that callers received for
// each key are linearizable.
func TestKeysAreExecutedAtMostOnce(t *testing.T) {
	var ops []porcupine.Operation
	var c *Cluster
	c = NewCluster(Options{Seed: 6, Response: func(r *sim.Response) {
		if r.IsEnd || r.ConnectionLost || r.AnswerLost || r.Call.Key == "" || len(r.Call.Body) > 0 {
			return
		}
		out := keyOutput{outcome: r.Finish.Outcome, body: string(r.Finish.Answer)}
		if r.Answer != nil {
			out.body = string(r.Answer.Finish.Answer)
		}
		in := keyInput{key: string(r.Call.Program) + " " + r.Call.Key}
		ops = append(ops, porcupine.Operation{Input: in, Output: out, Call: int64(r.SentAt), Return: int64(c.sim.Now())})
	}})
	c.Start()
	c.sim.RunEvents(100_000)
	require.Greater(t, len(ops), 100)
	require.True(t, porcupine.CheckOperations(keyModel, ops))
}
