package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

const exchangePeriod = 40 * time.Millisecond

// withoutPrediction disables the choice by predicted work.
func withoutPrediction(t *testing.T) mechanism.Set {
	t.Helper()
	set, err := mechanism.Parse([]string{"work_prediction"})
	require.NoError(t, err)
	return set
}

func chatTurn() *simCall {
	return &simCall{route: "chat", work: 250 * time.Millisecond, events: 10}
}

// playHeavyTail plays single-slot targets at 80% load, half of which comes from one call in
// fifty that is fifty times as long as the others.
func playHeavyTail(entries, targets int, disabled mechanism.Set) *simulation {
	const short, heavy, heavyShare, load = 10 * time.Millisecond, 500 * time.Millisecond, 0.02, 0.8
	const meanSeconds = (1-heavyShare)*0.010 + heavyShare*0.500
	s := newSimulation(entries, targets, 1, false, exchangePeriod, disabled)
	s.arrivals(0, 30*time.Second, load*float64(targets)/meanSeconds, func() *simCall {
		if s.random.Float64() < heavyShare {
			return &simCall{route: "heavy", work: heavy}
		}
		return &simCall{route: "short", work: short}
	})
	s.run(30 * time.Second)
	return s
}

// Heavy-tailed work: short calls must not wait behind long ones while another target would
// serve them. By the number of calls, a target with a long call looks like one with a short one.
func TestShortCallsDoNotWaitBehindHeavyOnes(t *testing.T) {
	byCount, byWork := playHeavyTail(1, 12, withoutPrediction(t)), playHeavyTail(1, 12, 0)
	t.Logf("one entry: 99th percentile of the short calls' wait %.0f ms by count, %.0f ms by work", quantile(byCount.waits["short"], 0.99), quantile(byWork.waits["short"], 0.99))
	assert.LessOrEqual(t, quantile(byWork.waits["short"], 0.99), 0.5*quantile(byCount.waits["short"], 0.99))
	assert.LessOrEqual(t, quantile(byWork.took["heavy"], 0.99), quantile(byCount.took["heavy"], 0.99))
}

// Several entries learn of each other's long calls only by the exchange, when short ones may
// already wait behind them. Once the entries know the work, most short calls must not meet any.
func TestShortCallsOfSeveralEntriesDoNotWaitBehindHeavyOnes(t *testing.T) {
	for _, size := range []struct{ entries, targets int }{{4, 12}, {4, 24}, {12, 24}, {20, 40}} {
		byCount, byWork := playHeavyTail(size.entries, size.targets, withoutPrediction(t)), playHeavyTail(size.entries, size.targets, 0)
		waitByCount, waitByWork := afterLearning(byCount.waits["short"]), afterLearning(byWork.waits["short"])
		t.Logf("%d entries, %d targets: wait of short calls by count, by work: mean %.0f, %.0f ms, 99th percentile %.0f, %.0f ms; duration of heavy ones: mean %.0f, %.0f ms, 99th percentile %.0f, %.0f ms",
			size.entries, size.targets, mean(waitByCount), mean(waitByWork), quantile(waitByCount, 0.99), quantile(waitByWork, 0.99),
			mean(byCount.took["heavy"]), mean(byWork.took["heavy"]), quantile(byCount.took["heavy"], 0.99), quantile(byWork.took["heavy"], 0.99))
		assert.LessOrEqual(t, quantile(waitByWork, 0.99), 0.5*quantile(waitByCount, 0.99))
	}
}

// afterLearning leaves out the first third of the values, while entries learn the work.
func afterLearning(values []float64) []float64 { return values[len(values)/3:] }

// Two speeds in a fleet: a third of the engines takes 1.8 times as long.
func TestSlowEnginesGetFewerCalls(t *testing.T) {
	play := func(disabled mechanism.Set) *simulation {
		s := newSimulation(10, 24, 12, true, exchangePeriod, disabled)
		for i := range 8 {
			s.targets[i].pace = func(time.Duration) float64 { return 1.8 }
		}
		s.arrivals(0, 20*time.Second, 400, chatTurn)
		s.run(20 * time.Second)
		return s
	}
	byCount, byWork := play(withoutPrediction(t)), play(0)
	t.Logf("mean duration %.0f ms by count, %.0f ms by work; 99th percentile %.0f, %.0f", mean(byCount.took["chat"]), mean(byWork.took["chat"]),
		quantile(byCount.took["chat"], 0.99), quantile(byWork.took["chat"], 0.99))
	assert.Less(t, mean(byWork.took["chat"]), mean(byCount.took["chat"]))
	assert.LessOrEqual(t, quantile(byWork.took["chat"], 0.99), quantile(byCount.took["chat"], 0.99))
	assert.Greater(t, byWork.targets[0].started, 20, "slow engines are used")
}

// Two speeds near the capacity: fast engines must not get queues while slow ones have free slots,
// neither with fresh figures nor when 60 entries have old ones. Preferring the pace of an engine
// whatever the load did that.
func TestUnevenEnginesNearCapacity(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		entries   int
		period    time.Duration
		perSecond float64
	}{
		{12, exchangePeriod, 1200}, {12, exchangePeriod, 1500}, {60, 300 * time.Millisecond, 1200}, {60, 300 * time.Millisecond, 1500},
	} {
		play := func(disabled mechanism.Set) *simulation {
			s := newSimulation(c.entries, 60, 12, true, c.period, disabled)
			for i := range 20 {
				s.targets[i].pace = func(time.Duration) float64 { return 1.8 }
			}
			s.arrivals(0, 20*time.Second, c.perSecond, chatTurn)
			s.run(20 * time.Second)
			return s
		}
		byCount, byWork := play(withoutPrediction(t)), play(0)
		t.Logf("%d entries, %v, %.0f a second: mean duration %.0f ms by count, %.0f ms by work; 99th percentile %.0f, %.0f", c.entries, c.period, c.perSecond,
			mean(byCount.took["chat"]), mean(byWork.took["chat"]), quantile(byCount.took["chat"], 0.99), quantile(byWork.took["chat"], 0.99))
		assert.LessOrEqual(t, mean(byWork.took["chat"]), mean(byCount.took["chat"]))
		assert.LessOrEqual(t, quantile(byWork.took["chat"], 0.99), quantile(byCount.took["chat"], 0.99))
	}
}

// A neighbor that comes and goes: an engine takes 2.5 times as long for 5 s. It gets fewer calls
// meanwhile, and its share again within 10 s.
func TestEngineWithNeighborRecovers(t *testing.T) {
	s := newSimulation(10, 12, 12, true, exchangePeriod, 0)
	s.targets[0].pace = func(now time.Duration) float64 {
		if now > 5*time.Second && now < 10*time.Second {
			return 2.5
		}
		return 1
	}
	s.arrivals(0, 30*time.Second, 200, chatTurn)
	share := func(until time.Duration) float64 {
		before, own := 0, s.targets[0].started
		for _, target := range s.targets {
			before += target.started
		}
		s.run(until)
		all := 0
		for _, target := range s.targets {
			all += target.started
		}
		return float64(s.targets[0].started-own) / float64(all-before) * float64(len(s.targets))
	}
	assert.InDelta(t, 1, share(5*time.Second), 0.25, "before")
	assert.Less(t, share(10*time.Second), 0.75, "with the neighbor")
	share(20 * time.Second)
	assert.InDelta(t, 1, share(30*time.Second), 0.3, "after")
}

// Figures that are 300 ms old at 60 entries: the entries must not all send their calls to the
// engines that were idle then.
func TestSixtyEntriesWithOldFiguresDoNotHerd(t *testing.T) {
	play := func(disabled mechanism.Set) *simulation {
		s := newSimulation(60, 60, 12, true, 300*time.Millisecond, disabled)
		s.arrivals(0, 10*time.Second, 1200, chatTurn)
		s.run(10 * time.Second)
		return s
	}
	byCount, byWork := play(withoutPrediction(t)), play(0)
	t.Logf("99th percentile of the duration %.0f ms by count, %.0f ms by work; of the wait %.0f, %.0f", quantile(byCount.took["chat"], 0.99), quantile(byWork.took["chat"], 0.99),
		quantile(byCount.waits["chat"], 0.99), quantile(byWork.waits["chat"], 0.99))
	assert.LessOrEqual(t, quantile(byWork.took["chat"], 0.99), quantile(byCount.took["chat"], 0.99))
}

// A target that lies about its load: one that always reports to be idle must not be flooded.
func TestTargetThatReportsToBeIdleIsNotFlooded(t *testing.T) {
	s := newSimulation(10, 12, 6, false, exchangePeriod, 0)
	s.targets[0].lies = true
	s.arrivals(0, 20*time.Second, 900, func() *simCall { return &simCall{route: "short", work: 50 * time.Millisecond} })
	s.run(20 * time.Second)
	all := 0
	for _, target := range s.targets {
		all += target.started
	}
	assert.Less(t, float64(s.targets[0].started), 1.5*float64(all)/12)
}

// A cold start of all entries: they know nothing of each other's calls or of the work, and a
// burst arrives.
func TestColdStartSpreadsCalls(t *testing.T) {
	s := newSimulation(20, 24, 12, true, exchangePeriod, 0)
	s.arrivals(0, 500*time.Millisecond, 800, chatTurn)
	s.run(500 * time.Millisecond)
	busiest, all := 0, 0
	for _, target := range s.targets {
		busiest, all = max(busiest, target.started), all+target.started
	}
	assert.Less(t, float64(busiest), 1.6*float64(all)/24)
}

// A wave passes through the domains: each in turn gets four times the calls of the others, more
// than its own targets can serve. The others take them over, and after the wave no more calls
// cross than by count.
func TestWaveThroughDomainsIsSpread(t *testing.T) {
	byCount, crossedByCount := playWave(withoutPrediction(t))
	byWork, crossedByWork := playWave(0)
	t.Logf("99th percentile of the wait %.0f ms by count, %.0f ms by work; calls to other domains after the wave %d, %d",
		quantile(byCount.waits["short"], 0.99), quantile(byWork.waits["short"], 0.99), crossedByCount, crossedByWork)
	assert.Less(t, quantile(byWork.waits["short"], 0.99), 60.0, "milliseconds")
	assert.LessOrEqual(t, crossedByWork, crossedByCount+crossedByCount/10)
}

// playWave returns the simulation and how many calls crossed the domains after the waves.
func playWave(disabled mechanism.Set) (s *simulation, crossed int) {
	const calm, busy = 90, 400
	s = newSimulation(12, 12, 4, false, exchangePeriod, disabled)
	domains := []string{"d0", "d1", "d2"}
	for i, wave := range domains {
		from := time.Duration(i) * 4 * time.Second
		for _, domain := range domains {
			next := func() *simCall { return &simCall{route: "short", domain: domain, work: 50 * time.Millisecond} }
			perSecond := float64(calm)
			if domain == wave {
				perSecond = busy
			}
			s.arrivals(from, from+3*time.Second, perSecond, next)
			s.arrivals(from+3*time.Second, from+4*time.Second, calm, next)
		}
		s.run(from + 3200*time.Millisecond)
		before := s.crossings
		s.run(from + 4*time.Second)
		crossed += s.crossings - before
	}
	return s, crossed
}

// Bytes between failure domains: the first turn of a conversation, whose later turns follow it,
// stays in the entry's domain while the targets there are hardly more loaded, and crosses when
// they have a queue. A later turn goes where its prompt is cached.
func TestLargePromptsStayInDomainUnlessCallersWait(t *testing.T) {
	f := newFleet(6)
	now := start
	first := fleet.Query{Service: "llm", Domain: "d0", BodyBytes: 16_000, Prompt: []fleet.Part{sessionPart("a")}}
	var domains []string
	for range 6 {
		choice, ok := f.Pick(first, now)
		require.True(t, ok)
		f.StartCall(choice, first, now)
		f.RecordStart(choice.Target.TargetKey, nil, now)
		domains = append(domains, choice.Target.Domain)
	}
	assert.Equal(t, []string{"d0", "d0"}, domains[:2])
	assert.NotEqual(t, []string{"d0", "d0", "d0", "d0"}, domains[2:], "not when its engines run more calls than all others")

	later := first
	later.Class.IsLater, later.LastTarget, later.Prompt = true, "i1", []fleet.Part{sharedPrefix(1), sessionPart("a")}
	choice, _ := f.Pick(later, now)
	assert.Equal(t, key(1), choice.Target.TargetKey)
}

// A new start of a target is a new target, of whose pace nothing is known.
func TestNewIncarnationHasNoPace(t *testing.T) {
	f := fleet.New(0, 0)
	f.Update(engines(3), services)
	now := start
	for range 10 {
		playStream(f, key(0), 60*time.Millisecond, &now)
		playStream(f, key(1), 20*time.Millisecond, &now)
		playStream(f, key(2), 20*time.Millisecond, &now)
	}
	callsBefore := func(target catalog.TargetKey) (calls int) {
		for send(t, f, query(), now) != target {
			calls++
		}
		return calls
	}
	fast := callsBefore(key(0))
	for _, target := range engines(3) {
		for range fast + 1 {
			f.RecordEnd(target.TargetKey, fleet.Canceled, 0, now)
		}
	}
	restarted := engines(3)
	restarted[0].Started = 7
	f.Update(restarted, services)
	assert.Less(t, callsBefore(restarted[0].TargetKey), fast)
}

// Load: engines so slow that callers' deadlines pass before turns end. Only complete streams told
// the pace, so these engines seemed as fast as the few short streams that ended there.
func TestCutStreamsTellThePace(t *testing.T) {
	f := newFleet(3)
	now := start
	for range 20 {
		endStream(f, key(0), 400*time.Millisecond, fleet.Canceled, &now)
		playStream(f, key(1), 20*time.Millisecond, &now)
		playStream(f, key(2), 20*time.Millisecond, &now)
	}
	for range 3 {
		assert.NotEqual(t, key(0), send(t, f, query(), now))
	}
}

// Load: engines turn slow while turns run there (storm-on-slow-engines). The pace was learned when
// a turn had ended, seconds later at such an engine, and those sent meanwhile went there as well.
func TestRunningStreamsTellThePace(t *testing.T) {
	f := newFleet(3)
	now := start
	for range 20 {
		for i := range 3 {
			playStream(f, key(i), 20*time.Millisecond, &now)
		}
	}
	var calls []*fleet.Call
	for i := range 3 {
		f.RecordStart(key(i), nil, now)
		calls = append(calls, f.StartCall(fleet.Choice{Target: catalog.Target{TargetKey: key(i)}}, query(), now))
	}
	for event := range 24 {
		now = now.Add(20 * time.Millisecond)
		for i, call := range calls {
			if i > 0 || event%4 == 0 {
				f.RecordEvent(call, now)
			}
		}
	}
	for range 2 {
		assert.NotEqual(t, key(0), send(t, f, query(), now))
	}
}

// playStream plays a stream of five events at a target.
func playStream(f *fleet.Fleet, target catalog.TargetKey, gap time.Duration, now *time.Time) {
	endStream(f, target, gap, fleet.Answered, now)
}

// endStream plays a stream of five events that ends with an outcome.
func endStream(f *fleet.Fleet, target catalog.TargetKey, gap time.Duration, outcome fleet.Outcome, now *time.Time) {
	call := f.StartCall(fleet.Choice{Target: catalog.Target{TargetKey: target}}, fleet.Query{Class: forecast.Class{Route: "chat"}}, *now)
	f.RecordStart(target, nil, *now)
	for range 5 {
		*now = now.Add(gap)
		f.RecordEvent(call, *now)
	}
	f.EndCall(call, outcome, *now)
	f.RecordEnd(target, outcome, 5*gap, *now)
}

// Of a thousand targets not all are compared; the one with the conversation's prompt must be, and
// calls must spread over all.
func TestChoiceAmongThousandTargets(t *testing.T) {
	f := newFleet(1000)
	q := query(sharedPrefix(1), sessionPart("a"))
	q.LastTarget = "i777"
	for range 20 {
		choice, ok := f.Pick(q, start)
		require.True(t, ok)
		assert.Equal(t, key(777), choice.Target.TargetKey)
	}
	counts := map[catalog.TargetKey]int{}
	for range 2000 {
		target := send(t, f, query(), start)
		counts[target]++
		assert.LessOrEqual(t, counts[target], 4)
	}
	assert.Greater(t, len(counts), 900)
}

// The error of the prediction is reported for complete answers only, and falls as the work is
// learned.
func TestErrorOfPrediction(t *testing.T) {
	f := newFleet(1)
	now := start
	play := func(outcome fleet.Outcome) (float64, bool) {
		choice, _ := f.Pick(query(), now)
		call := f.StartCall(choice, query(), now)
		f.RecordStart(key(0), nil, now)
		for range 4 {
			now = now.Add(70 * time.Millisecond)
			f.RecordEvent(call, now)
		}
		f.RecordEnd(key(0), outcome, 280*time.Millisecond, now)
		return f.EndCall(call, outcome, now)
	}
	_, ok := play(fleet.Canceled)
	assert.False(t, ok)
	for range 30 {
		_, ok = play(fleet.Answered)
		require.True(t, ok)
	}
	relativeError, _ := play(fleet.Answered)
	assert.Less(t, relativeError, 0.1)
}
