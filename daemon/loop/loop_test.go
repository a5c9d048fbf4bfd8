package loop

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// counter replies to each request with its number, and panics on a drain.
type counter struct {
	seen uint64
	last core.Instant
}

func (c *counter) Step(ev core.Event, now core.Instant) []core.Effect {
	if now < c.last {
		panic("time went back")
	}
	c.last = now
	switch ev.(type) {
	case core.CallerDisconnected:
		c.seen++
		return []core.Effect{core.Reply{Req: core.RequestID{N: c.seen}}}
	case core.DrainRequested:
		panic("boom")
	}
	return nil
}

func start(t *testing.T, red core.Reducer, run func(core.Effect), fatal func(error)) *Loop {
	l, err := New(Options{Reducer: red, Clock: NewClock(), RunEffect: run, Tick: time.Millisecond, OnPanic: fatal})
	require.NoError(t, err)
	l.Start()
	t.Cleanup(l.Stop)
	return l
}

func TestEffectsKeepTheOrderOfEvents(t *testing.T) {
	const n = 1000
	var got []uint64
	red := &counter{}
	l := start(t, red, func(eff core.Effect) { got = append(got, eff.(core.Reply).Req.N) }, nil)
	for range n {
		l.Post(core.CallerDisconnected{})
	}
	require.Eventually(t, func() bool {
		var seen uint64
		require.NoError(t, l.Inspect(context.Background(), func() { seen = red.seen }))
		return seen == n
	}, 10*time.Second, time.Millisecond)
	for i, v := range got {
		require.EqualValues(t, i+1, v)
	}
}

func TestPanicEndsTheLoop(t *testing.T) {
	fatal := make(chan error, 1)
	l := start(t, &counter{}, func(core.Effect) {}, func(err error) { fatal <- err })
	l.Post(core.DrainRequested{})
	var panicked *PanicError
	require.ErrorAs(t, <-fatal, &panicked)
	require.Equal(t, "boom", panicked.Reason)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, l.Inspect(ctx, func() {}), "the actor must not run on with a new state")
}
