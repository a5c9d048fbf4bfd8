package engine

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// testParams returns parameters with simple times: a step takes 10 ms, and 100
// prompt tokens another 10 ms.
func testParams() Params {
	return Params{
		MaxBatch:     2,
		CacheTokens:  1000,
		PrefillRate:  10_000,
		PrefillChunk: 100,
		StepTime:     10 * core.Millisecond,
		TransferRate: 100_000,
	}
}

func id(n uint64) core.AttemptID { return core.AttemptID{N: n} }

// blocks returns blocks of 100 tokens with the given digests.
func blocks(digests ...uint64) []core.Block {
	var out []core.Block
	for _, d := range digests {
		out = append(out, core.Block{Digest: d, Tokens: 100})
	}
	return out
}

const ms = core.Instant(core.Millisecond)

// runUntilIdle advances the model until it is idle and returns all events.
func runUntilIdle(m *Model) []Event {
	var all []Event
	for {
		at, busy := m.Next()
		if !busy {
			return all
		}
		all = append(all, m.Advance(at)...)
	}
}

func eventsOf[T Event](events []Event) []T {
	var out []T
	for _, h := range events {
		if v, ok := h.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func TestPrefillThenDecodeTakesStepTimes(t *testing.T) {
	m := NewModel(testParams())
	m.Submit(Job{ID: id(1), Blocks: blocks(1, 2), OutputTokens: 5}, 0)
	all := runUntilIdle(m)
	// Two prefill chunks of 100 tokens take 20 ms each. The second one generates
	// the first token; the other four tokens take 10 ms each.
	require.Equal(t, Tokens{ID: id(1), N: 1, At: 40 * ms}, eventsOf[Tokens](all)[0])
	want := Finished{ID: id(1), Usage: core.Usage{PromptTokens: 200, OutputTokens: 5}, At: 80 * ms}
	require.Equal(t, []Finished{want}, eventsOf[Finished](all))
}

func TestPrefixIsReused(t *testing.T) {
	m := NewModel(testParams())
	m.Submit(Job{ID: id(1), Blocks: blocks(1, 2), OutputTokens: 5, AnswerDigest: 3}, 0)
	runUntilIdle(m)
	require.Equal(t, []uint64{1, 2, 3}, m.Listing())
	next := append(blocks(1, 2), core.Block{Digest: 3, Tokens: 5}, core.Block{Digest: 4, Tokens: 100})
	m.Submit(Job{ID: id(2), Blocks: next, OutputTokens: 1}, 1080*ms)
	all := runUntilIdle(m)
	want := Finished{ID: id(2), Usage: core.Usage{PromptTokens: 305, CachedTokens: 205, OutputTokens: 1}, At: 1100 * ms}
	require.Equal(t, []Finished{want}, eventsOf[Finished](all))
	require.EqualValues(t, 205, m.Waste().ReusedTokens)
	require.InDelta(t, 205.0, m.Waste().ReusedTokenSeconds, 1e-6)
}

func TestEvictionRemovesLeastRecentlyUsedLeafFirst(t *testing.T) {
	m := NewModel(testParams())
	m.Submit(Job{ID: id(1), Blocks: blocks(1, 2, 3, 4, 5), OutputTokens: 1}, 0)
	runUntilIdle(m)
	m.Submit(Job{ID: id(2), Blocks: blocks(11, 12, 13, 14, 15, 16), OutputTokens: 1}, 2000*ms)
	all := runUntilIdle(m)
	require.Equal(t, []uint64{5, 4}, eventsOf[Evicted](all)[0].Digests)
	m.Submit(Job{ID: id(3), Blocks: blocks(1, 2, 3, 4), OutputTokens: 1}, 4000*ms)
	runUntilIdle(m)
	w := m.Waste()
	require.EqualValues(t, 100, w.RecomputedTokens)
	require.GreaterOrEqual(t, w.EvictedTokens, uint64(200))
	require.Greater(t, w.IdleTokenSeconds, 0.0)
}

func TestWaitingJobsStartInOrderOfArrival(t *testing.T) {
	m := NewModel(testParams())
	for n := range uint64(4) {
		m.Submit(Job{ID: id(n), Blocks: blocks(n), OutputTokens: 10}, 0)
	}
	all := slices.Clone(m.Advance(20 * ms))
	require.EqualValues(t, 2, m.Load().Waiting)
	all = append(all, runUntilIdle(m)...)
	var order []uint64
	for _, s := range eventsOf[Started](all) {
		order = append(order, s.ID.N)
	}
	require.Equal(t, []uint64{0, 1, 2, 3}, order)
}

func TestPreemptedJobIsRecomputedAndFinishes(t *testing.T) {
	m := NewModel(testParams())
	m.Submit(Job{ID: id(1), Blocks: blocks(1, 2, 3), OutputTokens: 400}, 0)
	m.Submit(Job{ID: id(2), Blocks: blocks(4, 5, 6), OutputTokens: 400}, 0)
	all := runUntilIdle(m)
	require.Len(t, eventsOf[Preempted](all), 1)
	require.Equal(t, id(2), eventsOf[Preempted](all)[0].ID)
	require.Len(t, eventsOf[Finished](all), 2)
	require.Greater(t, m.Waste().PreemptedTokens, uint64(0))
	var second uint32
	for _, h := range eventsOf[Tokens](all) {
		if h.ID == id(2) {
			second += h.N
		}
	}
	require.EqualValues(t, 400, second)
}

func TestJobLargerThanMemoryIsRejected(t *testing.T) {
	m := NewModel(testParams())
	m.Submit(Job{ID: id(1), Blocks: blocks(1, 2), OutputTokens: 801}, 5*ms)
	require.Equal(t, []Event{Rejected{ID: id(1), At: 5 * ms}}, m.Advance(5*ms))
}

func TestCancelFreesMemory(t *testing.T) {
	m := NewModel(testParams())
	m.Submit(Job{ID: id(1), Blocks: blocks(1), OutputTokens: 100}, 0)
	m.Submit(Job{ID: id(2), Blocks: blocks(2), OutputTokens: 100}, 0)
	m.Submit(Job{ID: id(3), Blocks: blocks(3), OutputTokens: 1}, 0)
	require.True(t, m.Cancel(id(1), 100*ms))
	require.False(t, m.Cancel(id(1), 100*ms))
	all := runUntilIdle(m)
	require.Len(t, eventsOf[Finished](all), 2)
	load := m.Load()
	require.Equal(t, load.CachedTokens, load.CacheUsed, "sequences must hold no memory")
}

func TestReleaseKeepsParentsOfCachedBlocks(t *testing.T) {
	m := NewModel(testParams())
	m.Submit(Job{ID: id(1), Blocks: blocks(1, 2), OutputTokens: 1}, 0)
	m.Submit(Job{ID: id(2), Blocks: blocks(1, 3), OutputTokens: 1}, 0)
	runUntilIdle(m)
	require.EqualValues(t, 100, m.Release([]uint64{1, 2}, 1000*ms))
	require.Equal(t, []uint64{1, 3}, m.Listing())
}

func TestExportedPrefixIsImportedOnce(t *testing.T) {
	from, to := NewModel(testParams()), NewModel(testParams())
	from.Submit(Job{ID: id(1), Blocks: blocks(1, 2), OutputTokens: 1}, 0)
	runUntilIdle(from)
	found, cost := from.Export(blocks(1, 2, 3), 1000*ms)
	require.Len(t, found, 2)
	require.Equal(t, 2*core.Millisecond, cost)
	stored, _ := to.Import(found, 1000*ms)
	require.EqualValues(t, 200, stored)
	require.Equal(t, []uint64{1, 2}, to.Listing())
	stored, _ = to.Import(found, 1001*ms)
	require.Zero(t, stored)
}

// runRandomLoad submits and cancels jobs at random and calls Advance at least
// once per period of virtual time. It returns the Finished events of all jobs.
func runRandomLoad(t *testing.T, m *Model, seed uint64, period core.Duration) []Finished {
	r := rand.New(rand.NewPCG(seed, 1))
	var ends []Finished
	now := core.Instant(0)
	advance := func(to core.Instant) {
		for now < to {
			now = min(now.Add(period), to)
			ends = append(ends, eventsOf[Finished](m.Advance(now))...)
			l := m.Load()
			require.LessOrEqual(t, l.CacheUsed, l.CacheTokens)
		}
	}
	for n := range uint64(300) {
		advance(now.Add(r.Int64N(100 * core.Millisecond)))
		program := r.Uint64N(8)
		var prompt []core.Block
		for i := range 1 + r.Uint64N(4) {
			prompt = append(prompt, core.Block{Digest: program<<8 | i, Tokens: 20 + uint32(i)*7})
		}
		m.Submit(Job{ID: id(n), Blocks: prompt, OutputTokens: 1 + r.Uint32N(60)}, now)
		if r.IntN(6) == 0 {
			m.Cancel(id(r.Uint64N(n+1)), now)
		}
	}
	for {
		at, busy := m.Next()
		if !busy {
			break
		}
		advance(max(at, now.Add(period)))
	}
	require.Equal(t, m.privateTokens, uint64(0))
	require.Equal(t, m.cache.idleTokens, m.cache.tokens)
	return ends
}

func TestAdvancePeriodDoesNotChangeResults(t *testing.T) {
	for seed := range uint64(5) {
		p := testParams()
		p.StepPerSequence = core.Millisecond
		p.MaxBatch = 6
		p.CacheTokens = 400
		shortPeriod := runRandomLoad(t, NewModel(p), seed, 3*core.Millisecond)
		longPeriod := runRandomLoad(t, NewModel(p), seed, 7*core.Second)
		require.NotEmpty(t, shortPeriod)
		require.Equal(t, shortPeriod, longPeriod, "seed %d", seed)
	}
}

func BenchmarkModel(b *testing.B) {
	m := NewModel(DefaultParams())
	now := core.Instant(0)
	r := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	var steps float64
	for n := 0; b.Loop(); n++ {
		program := r.Uint64N(40)
		prompt := []core.Block{{Digest: program << 20, Tokens: 2000}, {Digest: program<<20 | uint64(n), Tokens: 500}}
		m.Submit(Job{ID: id(uint64(n)), Blocks: prompt, OutputTokens: 300}, now)
		now = now.Add(200 * core.Millisecond)
		m.Advance(now)
		steps += float64(200*core.Millisecond) / float64(m.Load().StepTime)
	}
	b.ReportMetric(steps/float64(b.N), "steps/op")
}
