package soak

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// requireNoViolations fails the test if a report contains violations.
func requireNoViolations(t require.TestingT, r *Report) {
	require.Empty(t, r.ViolationTexts, "seed %d, %d events", r.Seed, r.Events)
	require.Zero(t, r.Violations)
}

// TestFixedSeedsKeepInvariants runs fixed seeds under all faults.
func TestFixedSeedsKeepInvariants(t *testing.T) {
	const events = 100_000
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			r := Run(Options{Seed: seed, Events: events})
			requireNoViolations(t, r)
			require.NotZero(t, r.Outcomes.Ran)
		})
	}
}

// TestSeedReplaysExactly checks that two runs with the same seed are equal and
// that a run with another seed differs.
func TestSeedReplaysExactly(t *testing.T) {
	run := func(seed uint64) string { return Run(Options{Seed: seed, Events: 40_000}).Digest }
	require.Equal(t, run(11), run(11))
	require.NotEqual(t, run(11), run(12))
}

// TestClusterWithoutFaultsServesEverything checks the callers and the observer
// themselves: without faults there is no violation, no slot loses its state and
// no answer is lost.
func TestClusterWithoutFaultsServesEverything(t *testing.T) {
	r := Run(Options{Seed: 1, Events: 60_000, NoFaults: true})
	requireNoViolations(t, r)
	require.Zero(t, r.SlotStateLosses)
	require.Greater(t, r.Outcomes.Ran, uint64(100))
	require.Zero(t, r.Outcomes.AnswerLost)
}

// TestRandomSchedulesKeepInvariants runs schedules of faults that the library
// rapid draws. It shrinks a schedule that violates an invariant.
func TestRandomSchedulesKeepInvariants(t *testing.T) {
	require.NoError(t, flag.Set("rapid.checks", "12"))
	injection := rapid.Custom(func(t *rapid.T) Injection {
		return Injection{
			After: rapid.Int64Range(0, 20).Draw(t, "after") * core.Second,
			Fault: rapid.SampledFrom(schedulableFaults()).Draw(t, "fault"),
			Pick:  rapid.Uint64Range(0, 1000).Draw(t, "pick"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		schedule := rapid.SliceOfN(injection, 1, 12).Draw(t, "schedule")
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		requireNoViolations(t, Run(Options{Seed: seed, Events: 20_000, Schedule: schedule}))
	})
}

// schedulableFaults returns the kinds of fault that a schedule can contain.
func schedulableFaults() []Fault {
	var kinds []Fault
	for _, f := range Faults() {
		if _, ok := meanInterval[f]; ok {
			kinds = append(kinds, f)
		}
	}
	return kinds
}

// TestRecoversWhenFaultsEnd checks that no fault leaves a slot without an owner
// permanently: some time after the last fault, calls are answered and none is
// refused for lack of an owner.
func TestRecoversWhenFaultsEnd(t *testing.T) {
	const (
		recoveryTime = 60 * core.Second
		observedTime = 30 * core.Second
	)
	for seed := uint64(21); seed <= 24; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			c := NewCluster(Options{Seed: seed})
			c.Start()
			c.sim.RunEvents(60_000)
			c.inject.stopped = true
			c.sim.Run(c.sim.Now().Add(recoveryTime))
			before := c.obs.outcomes
			noOwner := c.obs.refusals(core.ReasonNoOwner)
			c.sim.Run(c.sim.Now().Add(observedTime))
			require.Greater(t, c.obs.outcomes.Ran-before.Ran, uint64(200))
			require.Equal(t, noOwner, c.obs.refusals(core.ReasonNoOwner))
		})
	}
}

func (o *observer) refusals(r core.Reason) uint64 {
	return o.reasons[ReasonCount{Outcome: core.OutcomeNotRun.String(), Reason: r}]
}
