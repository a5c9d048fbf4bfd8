package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/spec/search"
)

// stateLimit bounds an exploration; every size below ends well before it.
const stateLimit = 6_000_000

var sizes = []struct {
	name   string
	bounds Bounds
}{
	{"three members, disks lost in turn", Bounds{Members: 3, DisksLost: 1, Wipes: 3, Views: 1}},
	{"three members and a spare", Bounds{Members: 3, Spares: 1, DisksLost: 1, Wipes: 1, Views: 3}},
	{"three members and two spares", Bounds{Members: 3, Spares: 2, DisksLost: 1, Wipes: 0, Views: 3}},
	{"four members, disks lost in turn", Bounds{Members: 4, DisksLost: 1, Wipes: 2, Views: 2}},
	{"five members, one given up", Bounds{Members: 5, DisksLost: 1, Wipes: 1, Views: 2}},
	{"five members, two given up", fiveWithTwoGivenUp},
	{"five members, two disks at once", Bounds{Members: 5, DisksLost: 2, Wipes: 4, Views: 1}},
}

func TestAcknowledgedRecordsAreNeverUnknown(t *testing.T) {
	for _, size := range sizes {
		t.Run(size.name, func(t *testing.T) {
			if raceEnabled {
				t.Skip("a long exploration")
			}
			report := search.Explore(NewModel(AllRules(), size.bounds), stateLimit)
			t.Logf("%d states, %d transitions, depth %d", report.States, report.Transitions, report.Depth)
			if report.Violation != nil {
				t.Fatal(report.Violation)
			}
			require.True(t, report.Complete)
		})
	}
}

// fiveWithTwoGivenUp is the size at which mutants fail that smaller ones don't show.
var fiveWithTwoGivenUp = Bounds{Members: 5, DisksLost: 1, Views: 3}

func TestEveryRuleIsNeeded(t *testing.T) {
	small := Bounds{Members: 3, Spares: 1, DisksLost: 1, Wipes: 1, Views: 3}
	for _, mutant := range []struct {
		name   string
		remove func(*Rules)
		bounds Bounds
		// long searches are left out with the race detector, which slows them more
		// than tenfold.
		long bool
	}{
		{"no fence", func(r *Rules) { r.Fence = false }, small, false},
		{"recovering members count", func(r *Rules) { r.OnlyReadyCount = false }, small, false},
		{"too few sources", func(r *Rules) { r.EnoughSources = false }, small, false},
		{"sources that act on another view", func(r *Rules) { r.SameView = false }, small, false},
		{"given up without handing over", func(r *Rules) { r.HandOverBeforeRemoval = false }, fiveWithTwoGivenUp, true},
		{"given up before the others know", func(r *Rules) { r.RestHasLatestView = false }, fiveWithTwoGivenUp, true},
		{"a new member counts at once", func(r *Rules) { r.NewMembersRecover = false }, small, false},
	} {
		t.Run(mutant.name, func(t *testing.T) {
			if mutant.long && (testing.Short() || raceEnabled) {
				t.Skip("a long exploration")
			}
			rules := AllRules()
			mutant.remove(&rules)
			report := search.Explore(NewModel(rules, mutant.bounds), stateLimit)
			require.NotNil(t, report.Violation, "%d states: the rule is not needed, or the model does not show why", report.States)
			t.Logf("caught after %d states:\n%v", report.States, report.Violation)
		})
	}
}
