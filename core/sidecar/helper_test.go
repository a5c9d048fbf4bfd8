package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

var (
	self   = core.Node{VM: "t1", Inc: 7}
	owner1 = core.Node{VM: "e1", Inc: 1}
	owner2 = core.Node{VM: "e2", Inc: 1}
	epoch1 = core.Epoch{Version: 1}
	epoch2 = core.Epoch{Version: 2}
)

// harness drives a sidecar in virtual time and records its effects.
type harness struct {
	t   *testing.T
	s   *Sidecar
	now core.Instant
	// starts counts the StartTarget effects of each attempt.
	starts map[core.AttemptID]int
	// out holds the effects of the latest step.
	out []core.Effect
}

func newHarness(t *testing.T, batch uint32) *harness {
	h := &harness{t: t, starts: map[core.AttemptID]int{}}
	h.s = New(Options{Self: self, Domain: "d1", Pool: "p", Invariants: &invariant.Recorder{Panic: true}})
	set := &config.Set{
		Ownership: config.Ownership{AnswerRetention: config.Duration(time.Minute)},
		Pools: []config.Pool{{
			Name: "p", Kind: config.PoolModel,
			Policy: config.Policy{Order: "fifo", Admission: "cache", Concurrency: "fixed", Retention: "always"},
			Engine: config.Engine{MaxBatch: batch, CacheTokens: 10_000, PrefillRate: 10_000},
		}},
		Programs: []config.ProgramKind{{Name: "k", MaxIdle: config.Duration(5 * time.Minute)}},
	}
	h.step(core.ConfigApplied{Generation: 1, Set: set})
	return h
}

func (h *harness) step(ev core.Event) []core.Effect {
	h.out = h.s.Step(ev, h.now)
	for _, e := range h.out {
		if start, ok := e.(core.StartTarget); ok {
			h.starts[start.Attempt]++
		}
	}
	return h.out
}

func (h *harness) receive(from core.Node, msg core.Message) []core.Effect {
	return h.step(core.Recv{From: from, Msg: msg})
}

func (h *harness) advance(d core.Duration) []core.Effect {
	h.now = h.now.Add(d)
	return h.step(core.Tick{})
}

// lastResult returns the last result that was sent in the latest step.
func (h *harness) lastResult() core.Result {
	for i := len(h.out) - 1; i >= 0; i-- {
		if send, ok := h.out[i].(core.Send); ok {
			if r, ok := send.Msg.(core.Result); ok {
				return r
			}
		}
	}
	require.Fail(h.t, "no result was sent")
	return core.Result{}
}

func (h *harness) finishAttempt(id core.AttemptID) core.Result {
	h.step(core.TargetFinished{Attempt: id, Usage: core.Usage{OutputTokens: 10}, Digest: 1000 + id.N, Length: 2, Answer: []byte("ok")})
	return h.lastResult()
}

func attemptID(n uint64) core.AttemptID { return core.AttemptID{Slot: 3, Epoch: epoch1, N: n} }

func dispatch(n uint64, program core.ProgramID, tokens uint32) core.Dispatch {
	call := core.Call{Program: program, ProgramKind: "k", Seq: 1, Kind: core.CallModel, MaxTokens: 10}
	call.Blocks = []core.Block{{Digest: n, Tokens: tokens}}
	return core.Dispatch{Slot: 3, Epoch: epoch1, Attempt: attemptID(n), Target: self, Call: call}
}

// effectsOf returns the effects of type T in order.
func effectsOf[T core.Effect](out []core.Effect) []T {
	var all []T
	for _, e := range out {
		if v, ok := e.(T); ok {
			all = append(all, v)
		}
	}
	return all
}
