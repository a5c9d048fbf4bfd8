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
	self  = core.Node{VM: "t1", Inc: 7}
	home1 = core.Node{VM: "e1", Inc: 1}
	home2 = core.Node{VM: "e2", Inc: 1}
	one   = core.Epoch{Version: 1}
	two   = core.Epoch{Version: 2}
)

// bench drives a sidecar and keeps its effects.
type bench struct {
	t   *testing.T
	s   *Sidecar
	now core.Instant
	// ran counts the starts of each attempt.
	ran map[core.AttemptID]int
	out []core.Effect
}

func newBench(t *testing.T, batch uint32) *bench {
	b := &bench{t: t, ran: map[core.AttemptID]int{}}
	b.s = New(Options{Self: self, Domain: "d1", Pool: "p", Invariants: &invariant.Recorder{Panic: true}})
	set := &config.Set{
		Ownership: config.Ownership{AnswerRetention: config.Duration(time.Minute)},
		Pools: []config.Pool{{
			Name: "p", Kind: config.PoolModel,
			Policy: config.Policy{Order: "fifo", Admission: "cache", Concurrency: "fixed", Retention: "always"},
			Engine: config.Engine{MaxBatch: batch, CacheTokens: 10_000, PrefillRate: 10_000},
		}},
		Programs: []config.ProgramKind{{Name: "k", MaxIdle: config.Duration(5 * time.Minute)}},
	}
	b.step(core.ConfigApplied{Generation: 1, Set: set})
	return b
}

func (b *bench) step(ev core.Event) []core.Effect {
	b.out = b.s.Step(ev, b.now)
	for _, e := range b.out {
		if start, ok := e.(core.StartTarget); ok {
			b.ran[start.Attempt]++
		}
	}
	return b.out
}

func (b *bench) recv(from core.Node, msg core.Message) []core.Effect {
	return b.step(core.Recv{From: from, Msg: msg})
}

func (b *bench) after(d core.Duration) []core.Effect {
	b.now = b.now.Add(d)
	return b.step(core.Tick{})
}

// result returns the last result sent in the latest step.
func (b *bench) result() core.Result {
	for i := len(b.out) - 1; i >= 0; i-- {
		if send, ok := b.out[i].(core.Send); ok {
			if r, ok := send.Msg.(core.Result); ok {
				return r
			}
		}
	}
	require.Fail(b.t, "no result was sent")
	return core.Result{}
}

func (b *bench) finish(id core.AttemptID) core.Result {
	b.step(core.TargetFinished{Attempt: id, Usage: core.Usage{OutputTokens: 10}, Digest: 1000 + id.N, Length: 2, Answer: []byte("ok")})
	return b.result()
}

func attemptID(n uint64) core.AttemptID { return core.AttemptID{Slot: 3, Epoch: one, N: n} }

func dispatch(n uint64, program core.ProgramID, tokens uint32) core.Dispatch {
	call := core.Call{Program: program, ProgramKind: "k", Seq: 1, Kind: core.CallModel, MaxTokens: 10}
	call.Blocks = []core.Block{{Digest: n, Tokens: tokens}}
	return core.Dispatch{Slot: 3, Epoch: one, Attempt: attemptID(n), Target: self, Call: call}
}

// effects returns the effects of one type in the order they came.
func effects[T core.Effect](out []core.Effect) []T {
	var all []T
	for _, e := range out {
		if v, ok := e.(T); ok {
			all = append(all, v)
		}
	}
	return all
}
