package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// relay is a toy entry: it dispatches each call to one sidecar and replies
// with the result.
type relay struct {
	self    core.Node
	sidecar core.Node
	n       uint64
	reqs    map[core.AttemptID]core.RequestID
	ticks   int
	last    core.Instant
}

func (r *relay) Step(ev core.Event, now core.Instant) []core.Effect {
	r.last = now
	switch ev := ev.(type) {
	case core.Tick:
		r.ticks++
	case core.CallArrived:
		r.n++
		a := core.AttemptID{N: r.n, Epoch: core.Epoch{Version: uint64(r.self.Inc)}}
		r.reqs[a] = ev.Req
		return []core.Effect{
			core.Send{To: r.sidecar, Msg: core.Dispatch{Attempt: a, Target: r.sidecar, Call: ev.Call}},
			core.AttachStream{Req: ev.Req, Attempt: a, Sidecar: r.sidecar},
		}
	case core.Recv:
		if m, ok := ev.Msg.(core.Result); ok {
			f := core.Finish{Outcome: core.OutcomeRan, Attempt: m.Attempt, Sidecar: ev.From, Length: m.Length}
			return []core.Effect{core.Reply{Req: r.reqs[m.Attempt], Finish: f}}
		}
	}
	return nil
}

// worker is a toy sidecar: it starts what it is sent.
type worker struct{ from map[core.AttemptID]core.Node }

func (w *worker) Step(ev core.Event, _ core.Instant) []core.Effect {
	switch ev := ev.(type) {
	case core.Recv:
		if m, ok := ev.Msg.(core.Dispatch); ok {
			w.from[m.Attempt] = ev.From
			return []core.Effect{core.StartTarget{Attempt: m.Attempt, Call: m.Call}}
		}
	case core.TargetFinished:
		res := core.Result{Attempt: ev.Attempt, State: core.AttemptDone, Length: ev.Length}
		return []core.Effect{core.Send{To: w.from[ev.Attempt], Msg: res}}
	}
	return nil
}

type bench struct {
	*Sim
	entry, sidecar *Node
	tool           *Tool
	executed       int
}

func newBench(opts Options, tool ToolOptions) *bench {
	b := &bench{Sim: New(opts), tool: NewTool(tool)}
	b.tool.OnExecution = func(Execution) { b.executed++ }
	b.sidecar = b.AddSidecar("s", "d1", "tools", b.tool, func(core.Node) core.Reducer {
		return &worker{from: map[core.AttemptID]core.Node{}}
	})
	b.entry = b.AddEntry("e", "d2", func(self core.Node) core.Reducer {
		return &relay{self: self, sidecar: b.sidecar.ID(), reqs: map[core.AttemptID]core.RequestID{}}
	})
	return b
}

func (b *bench) call(seq uint64) *Response {
	res := &Response{}
	c := core.Call{Program: "p", Seq: seq, Key: "k", Timeout: 10 * core.Second}
	b.Call("e", c, func(r *Response) { *res = *r })
	return res
}

func TestCallRunsThroughBothReducers(t *testing.T) {
	b := newBench(Options{Seed: 1}, ToolOptions{})
	res := b.call(1)
	b.Run(b.Now().Add(core.Second))
	require.Equal(t, core.OutcomeRan, res.Finish.Outcome)
	require.Equal(t, core.ProgramID("p"), res.Answer.Call.Program)
	require.Equal(t, 1, b.executed)
}

func TestDuplicateDeliveryReachesTheReducerTwice(t *testing.T) {
	b := newBench(Options{Seed: 1, Network: Network{Duplicate: 1}}, ToolOptions{})
	b.call(1)
	b.Run(b.Now().Add(core.Second))
	require.Equal(t, 2, b.executed)
}

func TestKilledEdgeBreaksItsRequests(t *testing.T) {
	b := newBench(Options{Seed: 1}, ToolOptions{ServiceTime: core.Second})
	res := b.call(1)
	b.Run(b.Now().Add(100 * core.Millisecond))
	b.entry.Kill()
	b.Run(b.Now().Add(core.Second))
	require.True(t, res.ConnectionLost)
	b.entry.Start()
	require.Equal(t, core.Incarnation(2), b.entry.ID().Inc)
}

func TestHungToolNeverAnswers(t *testing.T) {
	b := newBench(Options{Seed: 1}, ToolOptions{Hang: 1})
	res := b.call(1)
	b.Run(b.Now().Add(20 * core.Second))
	require.True(t, res.ConnectionLost)
	require.Equal(t, uint64(1), b.tool.Hangs)
}

func TestPauseHoldsEventsAndReplaysThem(t *testing.T) {
	b := newBench(Options{Seed: 1}, ToolOptions{})
	b.Run(b.Now().Add(core.Second))
	b.sidecar.Pause(2 * core.Second)
	res := b.call(1)
	b.Run(b.Now().Add(core.Second))
	require.Zero(t, b.executed)
	b.Run(b.Now().Add(2 * core.Second))
	require.Equal(t, 1, b.executed)
	require.Equal(t, core.OutcomeRan, res.Finish.Outcome)
}

func TestMessagesDoNotReachAnotherLife(t *testing.T) {
	b := newBench(Options{Seed: 1}, ToolOptions{})
	b.sidecar.Kill()
	b.sidecar.Start()
	b.call(1)
	b.Run(b.Now().Add(core.Second))
	require.Zero(t, b.executed)
}

func TestCutAndSilenceStopMessages(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*bench)
	}{
		{"domain cut", func(b *bench) { b.PartitionDomain("d1") }},
		{"silent connection", func(b *bench) { b.BlackholeConnection(b.entry, b.sidecar, core.Minute) }},
		{"all silent", func(b *bench) { b.BlackholeAllConnections(core.Minute) }},
		{"loss", func(b *bench) { b.SetLoss(1, 0, 0) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(Options{Seed: 1}, ToolOptions{})
			tt.fault(b)
			b.call(1)
			b.Run(b.Now().Add(core.Second))
			require.Zero(t, b.executed)
		})
	}
}

func TestRunIsDeterministic(t *testing.T) {
	run := func(seed uint64) uint64 {
		b := newBench(Options{Seed: seed, Network: Network{Loss: 0.1, Duplicate: 0.1, Delay: 0.1}}, ToolOptions{Seed: seed})
		for i := range uint64(50) {
			b.call(i)
		}
		b.Run(b.Now().Add(10 * core.Second))
		b.AddToDigest(uint64(b.executed))
		return b.Digest()
	}
	require.Equal(t, run(3), run(3))
	require.NotEqual(t, run(3), run(4))
}

func BenchmarkEvents(b *testing.B) {
	bench := newBench(Options{Seed: 1}, ToolOptions{})
	bench.RunEvents(uint64(b.N))
}
