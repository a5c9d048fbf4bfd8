package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/spec/search"
)

// stateLimit bounds an exploration; every size below has far fewer states.
const stateLimit = 20_000_000

var sizes = []struct {
	name   string
	bounds Bounds
}{
	{"three members, disks lost one after the other", Bounds{Members: 3, DisksLost: 1, Wipes: 3, Views: 1}},
	{"three members and a spare", Bounds{Members: 3, Spares: 1, DisksLost: 1, Wipes: 1, Views: 3}},
	{"three members and two spares", Bounds{Members: 3, Spares: 2, DisksLost: 1, Wipes: 0, Views: 3}},
	{"two members and a spare", Bounds{Members: 2, Spares: 1, DisksLost: 1, Wipes: 1, Views: 3}},
	{"three members and a spare that joins twice", Bounds{Members: 3, Spares: 1, DisksLost: 1, Views: 4}},
	{"four members and a spare", Bounds{Members: 4, Spares: 1, DisksLost: 1, Views: 3}},
	{"four members, disks lost one after the other", Bounds{Members: 4, DisksLost: 1, Wipes: 2, Views: 2}},
	{"five members, one removed", Bounds{Members: 5, DisksLost: 1, Wipes: 1, Views: 2}},
	{"five members, two removed", fiveWithTwoRemoved},
	{"five members, two disks at once", Bounds{Members: 5, DisksLost: 2, Wipes: 4, Views: 1}},
}

func TestAcknowledgedRecordIsKnownToEveryQuorum(t *testing.T) {
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

// fiveWithTwoRemoved is needed for mutants (protocols without one of the rules)
// whose violations do not occur at smaller sizes.
var fiveWithTwoRemoved = Bounds{Members: 5, DisksLost: 1, Views: 3}

func TestEveryRuleIsNeeded(t *testing.T) {
	small := Bounds{Members: 3, Spares: 1, DisksLost: 1, Wipes: 1, Views: 3}
	for _, mutant := range []struct {
		name   string
		remove func(*Rules)
		bounds Bounds
		// long marks an exploration that is skipped in short mode and with the race
		// detector, which slows it down more than tenfold.
		long bool
	}{
		{"no fencing of old views", func(r *Rules) { r.RejectStaleWriters = false }, small, false},
		{"recovering members count towards a quorum", func(r *Rules) { r.OnlyReadyCount = false }, small, false},
		{"copying from too few members", func(r *Rules) { r.EnoughSources = false }, small, false},
		{"copying from members with another view", func(r *Rules) { r.SameView = false }, small, false},
		{"removal without handing over records", func(r *Rules) { r.HandOverBeforeRemoval = false }, fiveWithTwoRemoved, true},
		{"removal before the others use the latest view", func(r *Rules) { r.OthersHaveLatestView = false }, fiveWithTwoRemoved, true},
		{"new members count towards a quorum at once", func(r *Rules) { r.NewMembersRecover = false }, small, false},
		{"changes of few seats before they are settled", func(r *Rules) { r.SettleFewSeats = false }, Bounds{Members: 3, Spares: 1, DisksLost: 1, Views: 3}, false},
		{"fewer sources in a settled view that is not the latest", func(r *Rules) { r.ConfirmView = false }, Bounds{Members: 4, DisksLost: 1, Wipes: 1, Views: 2}, false},
	} {
		t.Run(mutant.name, func(t *testing.T) {
			if mutant.long && (testing.Short() || raceEnabled) {
				t.Skip("a long exploration")
			}
			rules := AllRules()
			mutant.remove(&rules)
			report := search.Explore(NewModel(rules, mutant.bounds), stateLimit)
			require.NotNil(t, report.Violation, "no violation in %d states: the rule is redundant, or the model does not show its purpose", report.States)
			t.Logf("violation found after %d states:\n%v", report.States, report.Violation)
		})
	}
}

var addedWhileDiskIsLost = []Bounds{
	{Members: 3, Spares: 1, DisksLost: 1, Wipes: 1, Views: 3, WipesWhileAdding: true},
	{Members: 3, Spares: 1, DisksLost: 1, Wipes: 2, Views: 3, WipesWhileAdding: true},
}

// A disk that was lost while a seat was added left two members that each lacked the other to
// copy from (membership-under-wipes on slibplan-be: RECOVER, LOST). If a seat counts only after
// its member has copied, the others can always recover, and no acknowledged record is lost.
func TestSeatsThatCountAfterCopyingLeaveEnoughSources(t *testing.T) {
	if raceEnabled {
		t.Skip("a long exploration")
	}
	for _, bounds := range addedWhileDiskIsLost {
		report := search.Explore(NewModel(AllRules(), bounds), stateLimit)
		t.Logf("%+v: %d states, %d transitions, depth %d", bounds, report.States, report.Transitions, report.Depth)
		if report.Violation != nil {
			t.Fatal(report.Violation)
		}
		require.True(t, report.Complete)
	}
}

// With five members, one may be replaced while another one recovers, since three are left to copy
// from. The whole size has too many states, so the exploration starts after the disk was lost.
func TestReplacementWhileAnotherOfFiveRecovers(t *testing.T) {
	if testing.Short() || raceEnabled {
		t.Skip("a long exploration")
	}
	model := NewModel(AllRules(), Bounds{Members: 5, Spares: 1, DisksLost: 1, Wipes: 1, Views: 2, WipesWhileAdding: true})
	for _, script := range [][]string{
		{"m4 loses its disk"},
		{"the writer starts with view 0", "m2 stores", "m3 stores", "m4 stores", "m4 loses its disk"},
	} {
		start, err := search.Follow(model, script)
		require.NoError(t, err)
		report := search.Explore(search.From(model, start), stateLimit)
		t.Logf("%v: %d states, %d transitions, depth %d", script, report.States, report.Transitions, report.Depth)
		if report.Violation != nil {
			t.Fatal(report.Violation)
		}
		require.True(t, report.Complete)
	}
}

// A member took the seat of one that was merely down while another one recovered, and the two
// lacked each other to copy from.
func TestReplacementWithoutSourcesLeavesTooFew(t *testing.T) {
	rules := AllRules()
	rules.SourcesBeforeReplacement = false
	report := search.Explore(NewModel(rules, addedWhileDiskIsLost[0]), stateLimit)
	require.NotNil(t, report.Violation)
	t.Logf("violation found after %d states:\n%v", report.States, report.Violation)
}

// A member ended between the view in which its seat counts and the mark on its disk, and had to
// copy again, as did another one that lost its disk.
func TestMemberThatEndsUnmarkedLeavesTooFewSources(t *testing.T) {
	rules := AllRules()
	rules.MarkBeforeCounting = false
	report := search.Explore(NewModel(rules, addedWhileDiskIsLost[0]), stateLimit)
	require.NotNil(t, report.Violation)
	t.Logf("violation found after %d states:\n%v", report.States, report.Violation)
}

func TestSeatsThatCountAtOnceLeaveTooFewSources(t *testing.T) {
	rules := AllRules()
	rules.CountAfterCopying = false
	report := search.Explore(NewModel(rules, addedWhileDiskIsLost[0]), stateLimit)
	require.NotNil(t, report.Violation)
	t.Logf("violation found after %d states:\n%v", report.States, report.Violation)
}
