package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

var start = time.Unix(1000, 0)

func key(i int) catalog.TargetKey { return catalog.TargetKey{ID: fmt.Sprintf("i%d", i)} }

// newFleet returns a fleet of n model engines with four slots each, which are spread
// over the failure domains d0 to d2.
func newFleet(n int) *fleet.Fleet {
	f := fleet.New(0, 0)
	f.Update(engines(n), services)
	return f
}

var services = map[string]catalog.Service{"llm": {Engine: &catalog.Engine{Slots: 4, CacheTokens: 50_000, TokensPerEvent: 20}}}

func engines(n int) []catalog.Target {
	var targets []catalog.Target
	for i := range n {
		targets = append(targets, catalog.Target{TargetKey: key(i), Service: "llm", Domain: fmt.Sprintf("d%d", i%3), Slots: 4})
	}
	return targets
}

func query(parts ...fleet.Part) fleet.Query {
	return fleet.Query{Service: "llm", Domain: "d0", Prompt: parts}
}

func sharedPrefix(n int) fleet.Part {
	return fleet.Part{ID: fmt.Sprintf("shared%d", n), Tokens: 12_600}
}
func sessionPart(session string) fleet.Part { return fleet.Part{ID: session, Tokens: 1_680} }

// send picks a target and records the start of a call there.
func send(t *testing.T, f *fleet.Fleet, q fleet.Query, now time.Time) catalog.TargetKey {
	t.Helper()
	choice, ok := f.Pick(q, now)
	require.True(t, ok)
	f.RecordStart(choice.Target.TargetKey, q.Prompt, now)
	return choice.Target.TargetKey
}

// If all engines are idle, the turns of a conversation must go to the engine that has
// the conversation's prompt cached.
func TestTurnsGoToEngineWithCachedPrompt(t *testing.T) {
	f := newFleet(6)
	first := send(t, f, query(sharedPrefix(1), sessionPart("a")), start)
	f.RecordEnd(first, fleet.Answered, 400*time.Millisecond, start)
	for turn := range 5 {
		q := query(sharedPrefix(1), sessionPart("a"), sessionPart(fmt.Sprintf("turn%d", turn)))
		again := send(t, f, q, start)
		assert.Equal(t, first, again)
		f.RecordEnd(again, fleet.Answered, 400*time.Millisecond, start)
	}
}

// In a burst of programs whose prompts have the same shared prefix, the engine that has
// the prefix cached must not get all of them.
func TestBurstWithSharedPrefixSpreadsOverEngines(t *testing.T) {
	f := newFleet(6)
	counts := map[catalog.TargetKey]int{}
	for i := range 24 {
		counts[send(t, f, query(sharedPrefix(1), sessionPart(fmt.Sprint(i))), start)]++
	}
	for i := range 6 {
		assert.InDelta(t, 4, counts[key(i)], 1, "engine %d", i)
	}
}

// Other processes send calls to the same engines. This process receives their load only
// in load reports.
func TestLoadFromOtherProcessesCounts(t *testing.T) {
	f := newFleet(2)
	first := send(t, f, query(sessionPart("a")), start)
	f.RecordLoad(first, fleet.Load{Running: 4, Waiting: 3, Slots: 4}, start)
	f.RecordEnd(first, fleet.Answered, time.Second, start)
	for i := range 3 {
		assert.NotEqual(t, first, send(t, f, query(sessionPart(fmt.Sprint(i))), start))
	}
	// The load of other processes is assumed to have ended some seconds after the
	// report.
	f = newFleet(1)
	f.RecordLoad(key(0), fleet.Load{Running: 4, Waiting: 8, Slots: 4}, start)
	_, ok := f.Pick(query(), start)
	assert.False(t, ok)
	_, ok = f.Pick(query(), start.Add(2*time.Second))
	assert.True(t, ok)
}

// A burst exceeds the capacity of all targets.
func TestFullServiceRefusesCallsAndRaisesRetryAfter(t *testing.T) {
	f := newFleet(2)
	sent := 0
	for {
		choice, ok := f.Pick(query(), start)
		if !ok {
			break
		}
		f.RecordStart(choice.Target.TargetKey, nil, start)
		sent++
		require.Less(t, sent, 100)
	}
	assert.Equal(t, 20, sent, "each target has four calls running and six waiting")
	short := newFleet(2).RetryAfter("llm", start)
	long := f.RetryAfter("llm", start)
	assert.Greater(t, long, short)
	assert.LessOrEqual(t, long, time.Second)
	f.RecordEnd(key(0), fleet.Answered, time.Second, start)
	_, ok := f.Pick(query(), start)
	assert.True(t, ok, "an answered call frees a slot")
}

func TestDrainingTargetGetsNoCalls(t *testing.T) {
	f := newFleet(2)
	list := engines(2)
	list[0].Draining = true
	f.Update(list, services)
	for range 5 {
		assert.Equal(t, key(1), send(t, f, query(), start))
	}
	assert.False(t, f.IsServing(key(0)))
}

// An engine restarts under its old id with an empty cache.
func TestRestartedTargetHasNoCachedPrompt(t *testing.T) {
	f := newFleet(2)
	first := send(t, f, query(sharedPrefix(1), sessionPart("a")), start)
	f.RecordEnd(first, fleet.Answered, time.Second, start)
	list := engines(2)
	for i := range list {
		list[i].Started = 99
	}
	f.Update(list, services)
	choice, ok := f.Pick(query(sharedPrefix(1), sessionPart("a")), start)
	require.True(t, ok)
	assert.Zero(t, choice.CachedTokens)
	assert.EqualValues(t, 99, choice.Target.Started)
	f.RecordEnd(first, fleet.ConnectionLost, time.Second, start)
	assert.False(t, f.IsServing(first))
}

// An engine fails all requests while it looks idle (gray failure).
func TestFailedTargetIsEjectedAndProbed(t *testing.T) {
	f := newFleet(3)
	f.RecordEnd(key(0), fleet.ConnectionLost, 0, start)
	for i := range 8 {
		assert.NotEqual(t, key(0), send(t, f, query(sessionPart(fmt.Sprint(i))), start))
	}
	later := start.Add(3 * time.Second)
	found := false
	for i := range 12 {
		found = found || send(t, f, query(sessionPart(fmt.Sprint("later", i))), later) == key(0)
	}
	assert.True(t, found)
	f.RecordEnd(key(0), fleet.Answered, time.Second, later)
}

// If all targets fail at once, the cause is probably elsewhere, and calls must still be
// sent to them.
func TestEjectionIsIgnoredIfAllTargetsFail(t *testing.T) {
	f := newFleet(2)
	for i := range 2 {
		for range 3 {
			f.RecordEnd(key(i), fleet.ConnectionLost, 0, start)
		}
	}
	_, ok := f.Pick(query(), start)
	assert.True(t, ok)
}

func TestTriedTargetsAreExcluded(t *testing.T) {
	f := newFleet(2)
	q := query()
	q.Exclude = []catalog.TargetKey{key(0), key(1)}
	_, ok := f.Pick(q, start)
	assert.False(t, ok)
	_, ok = f.Pick(fleet.Query{Service: "unknown"}, start)
	assert.False(t, ok)
	assert.Equal(t, time.Second, f.RetryAfter("unknown", start))
}

// More shared prefixes are in use than fit into an engine's cache.
func TestLeastRecentlyUsedPrefixIsEvicted(t *testing.T) {
	f := newFleet(1)
	for i := range 5 {
		f.RecordEnd(send(t, f, query(sharedPrefix(i)), start), fleet.Answered, time.Second, start)
	}
	oldest, _ := f.Pick(query(sharedPrefix(0)), start)
	newest, _ := f.Pick(query(sharedPrefix(4)), start)
	assert.Zero(t, oldest.CachedTokens)
	assert.Equal(t, 12_600, newest.CachedTokens)
}

// A crashed engine fails calls immediately and so looks idle (grown scale-1). It must not
// attract the calls of the others.
func TestFastFailuresDoNotAttractCalls(t *testing.T) {
	f := newFleet(6)
	failed := 0
	now := start
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		at := send(t, f, query(sessionPart(fmt.Sprint(i))), now)
		if at == key(0) {
			failed++
			f.RecordEnd(at, fleet.ConnectionLost, time.Millisecond, now)
			continue
		}
		f.RecordEnd(at, fleet.Answered, 100*time.Millisecond, now)
	}
	assert.LessOrEqual(t, failed, 5, "failed calls out of 200 in two seconds")
}

// In a burst that exceeds the capacity, new programs of less urgent priorities are
// refused first. They may start again once the load has decayed.
func TestNewProgramsAreAdmittedBelowLoadLimit(t *testing.T) {
	f := newFleet(6)
	report := func(calls int, now time.Time) {
		for range 10 {
			for i := range 6 {
				f.RecordLoad(key(i), fleet.Load{Running: min(calls, 4), Waiting: max(calls-4, 0), Slots: 4}, now)
			}
		}
	}
	assert.Equal(t, fleet.Admitted, f.Admit(fleet.Program{Service: "llm", Priority: 1}, start).Admission)
	report(2, start)
	assert.Equal(t, fleet.Admitted, f.Admit(fleet.Program{Service: "llm", Priority: 1}, start).Admission)
	report(4, start)
	assert.Equal(t, fleet.Overloaded, f.Admit(fleet.Program{Service: "llm", Priority: 1}, start).Admission)
	assert.Equal(t, fleet.Admitted, f.Admit(fleet.Program{Service: "llm", Priority: 0}, start).Admission)
	report(6, start)
	assert.Equal(t, fleet.Overloaded, f.Admit(fleet.Program{Service: "llm", Priority: 0}, start).Admission)
	assert.Equal(t, fleet.Admitted, f.Admit(fleet.Program{Service: "llm", Priority: 1}, start.Add(3*time.Second)).Admission)
	assert.Equal(t, fleet.Admitted, f.Admit(fleet.Program{Service: "tools", Priority: 1}, start).Admission, "programs of services without engines are always admitted")
}

// Several entries place programs of several kinds, each with a shared prefix of its
// own, without communication (grown deployments). If they don't agree on the assignment,
// each engine has to cache all prefixes.
func TestEntriesAgreeOnPrefixAssignment(t *testing.T) {
	const prefixes, perEntry = 3, 120
	runsByTarget := map[string]map[int]int{}
	for entry := range 4 {
		f := fleet.New(uint64(entry), 0)
		f.Update(engines(12), services)
		for i := range perEntry {
			at := send(t, f, query(sharedPrefix(i%prefixes), sessionPart(fmt.Sprint(entry, i))), start)
			f.RecordLoad(at, fleet.Load{Running: 1, Slots: 4}, start)
			f.RecordEnd(at, fleet.Answered, 300*time.Millisecond, start)
			if i < perEntry/2 {
				continue
			}
			if runsByTarget[at.ID] == nil {
				runsByTarget[at.ID] = map[int]int{}
			}
			runsByTarget[at.ID][i%prefixes]++
		}
	}
	mixed := 0
	for _, kinds := range runsByTarget {
		if len(kinds) > 1 {
			mixed++
		}
	}
	assert.LessOrEqual(t, mixed, 2, "engines that serve several shared prefixes")
}

// The turns of a conversation arrive through different entries while its engine is
// busier than others (sonoro-mzl-grown scale-1 and scale-2). An entry that has not
// served the conversation must still choose the engine that has the conversation
// cached.
func TestTurnThroughAnotherEntryGoesToLastTarget(t *testing.T) {
	f := newFleet(6)
	for range 2 {
		f.RecordStart(key(4), nil, start)
	}
	q := query(sharedPrefix(1), sessionPart("a"))
	q.LastTarget = key(4).ID
	for range 4 {
		choice, ok := f.Pick(q, start)
		require.True(t, ok)
		assert.Equal(t, key(4), choice.Target.TargetKey)
	}
	q.Exclude = []catalog.TargetKey{key(4)}
	choice, ok := f.Pick(q, start)
	require.True(t, ok)
	assert.NotEqual(t, key(4), choice.Target.TargetKey)
}
