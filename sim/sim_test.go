package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// toyEntry is an entry that dispatches each call to one sidecar and replies with
// the result.
type toyEntry struct {
	self    core.Node
	sidecar core.Node
	n       uint64
	reqs    map[core.AttemptID]core.RequestID
	ticks   int
	last    core.Instant
}

func (r *toyEntry) Step(ev core.Event, now core.Instant) []core.Effect {
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

// toySidecar is a sidecar that starts every attempt it receives.
type toySidecar struct{ from map[core.AttemptID]core.Node }

func (w *toySidecar) Step(ev core.Event, _ core.Instant) []core.Effect {
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

type fixture struct {
	*Sim
	entry, sidecar *Node
	tool           *Tool
	executed       int
}

func newFixture(opts Options, tool ToolOptions) *fixture {
	b := &fixture{Sim: New(opts), tool: NewTool(tool)}
	b.tool.OnExecution = func(Execution) { b.executed++ }
	b.sidecar = b.AddSidecar("s", "d1", "tools", b.tool, func(core.Node) core.Reducer {
		return &toySidecar{from: map[core.AttemptID]core.Node{}}
	})
	b.entry = b.AddEntry("e", "d2", func(self core.Node) core.Reducer {
		return &toyEntry{self: self, sidecar: b.sidecar.ID(), reqs: map[core.AttemptID]core.RequestID{}}
	})
	return b
}

func (b *fixture) call(seq uint64) *Response {
	res := &Response{}
	c := core.Call{Program: "p", Seq: seq, Key: "k", Timeout: 10 * core.Second}
	b.Call("e", c, func(r *Response) { *res = *r })
	return res
}

func TestCallPassesThroughEntryAndSidecar(t *testing.T) {
	b := newFixture(Options{Seed: 1}, ToolOptions{})
	res := b.call(1)
	b.Run(b.Now().Add(core.Second))
	require.Equal(t, core.OutcomeRan, res.Finish.Outcome)
	require.Equal(t, core.ProgramID("p"), res.Answer.Call.Program)
	require.Equal(t, 1, b.executed)
}

func TestDuplicatedMessageReachesReducerTwice(t *testing.T) {
	b := newFixture(Options{Seed: 1, Network: Network{Duplicate: 1}}, ToolOptions{})
	b.call(1)
	b.Run(b.Now().Add(core.Second))
	require.Equal(t, 2, b.executed)
}

func TestKillingIngressLosesItsConnections(t *testing.T) {
	b := newFixture(Options{Seed: 1}, ToolOptions{ServiceTime: core.Second})
	res := b.call(1)
	b.Run(b.Now().Add(100 * core.Millisecond))
	b.entry.Kill()
	b.Run(b.Now().Add(core.Second))
	require.True(t, res.ConnectionLost)
	b.entry.Start()
	require.Equal(t, core.Incarnation(2), b.entry.ID().Inc)
}

func TestCallToHungToolTimesOut(t *testing.T) {
	b := newFixture(Options{Seed: 1}, ToolOptions{Hang: 1})
	res := b.call(1)
	b.Run(b.Now().Add(20 * core.Second))
	require.True(t, res.ConnectionLost)
	require.Equal(t, uint64(1), b.tool.Hangs)
}

func TestPauseQueuesEventsUntilResume(t *testing.T) {
	b := newFixture(Options{Seed: 1}, ToolOptions{})
	b.Run(b.Now().Add(core.Second))
	b.sidecar.Pause(2 * core.Second)
	res := b.call(1)
	b.Run(b.Now().Add(core.Second))
	require.Zero(t, b.executed)
	b.Run(b.Now().Add(2 * core.Second))
	require.Equal(t, 1, b.executed)
	require.Equal(t, core.OutcomeRan, res.Finish.Outcome)
}

func TestMessageToEndedIncarnationIsDropped(t *testing.T) {
	b := newFixture(Options{Seed: 1}, ToolOptions{})
	b.sidecar.Kill()
	b.sidecar.Start()
	b.call(1)
	b.Run(b.Now().Add(core.Second))
	require.Zero(t, b.executed)
}

func TestNetworkFaultsDropMessages(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*fixture)
	}{
		{"failure domain partitioned", func(b *fixture) { b.PartitionDomain("d1") }},
		{"connection blackholed", func(b *fixture) { b.BlackholeConnection(b.entry, b.sidecar, core.Minute) }},
		{"all connections blackholed", func(b *fixture) { b.BlackholeAllConnections(core.Minute) }},
		{"loss", func(b *fixture) { b.SetLoss(1, 0, 0) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(Options{Seed: 1}, ToolOptions{})
			tt.fault(b)
			b.call(1)
			b.Run(b.Now().Add(core.Second))
			require.Zero(t, b.executed)
		})
	}
}

func TestRunIsDeterministic(t *testing.T) {
	run := func(seed uint64) uint64 {
		b := newFixture(Options{Seed: seed, Network: Network{Loss: 0.1, Duplicate: 0.1, Delay: 0.1}}, ToolOptions{Seed: seed})
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
	bench := newFixture(Options{Seed: 1}, ToolOptions{})
	bench.RunEvents(uint64(b.N))
}
