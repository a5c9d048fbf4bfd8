package ownership

import (
	"fmt"
	"testing"

	"github.com/rhubarbsaddle/rhubarbsaddle/spec/search"
)

// small is the size at which most mutants violate an invariant. A mutant is the
// protocol without one of its rules.
var small = Bounds{Nodes: 3, Members: 2, Targets: 1, Calls: 1, Budget: 1, Versions: 2, Crashes: 1, TargetCrashes: 1, Claims: 1}

// smallWith returns a copy of small to which change was applied.
func smallWith(change func(*Bounds)) Bounds {
	b := small
	change(&b)
	return b
}

// Limits and seed of the search for one mutant's counterexample.
const (
	exploreLimit = 200_000
	walkPaths    = 400_000
	walkDepth    = 60
	walkSeed     = 1
)

// counterexample explores the states near the initial one exhaustively and then
// follows random paths. how describes the search.
func counterexample(rules Rules, bounds Bounds) (v *search.Violation[state], how string) {
	report := search.Explore(NewModel(rules, bounds), exploreLimit)
	if report.Violation != nil {
		return report.Violation, fmt.Sprintf("%d states", report.States)
	}
	v, paths := search.RandomWalk(NewModel(rules, bounds), walkSeed, walkPaths, walkDepth)
	return v, fmt.Sprintf("%d states and %d random paths", report.States, paths)
}

func TestRemovingAnyRuleViolatesAnInvariant(t *testing.T) {
	threeMembers := Bounds{Nodes: 3, Members: 3, Targets: 2, Calls: 1, Budget: 1, Versions: 1, Claims: 2}
	tests := []struct {
		name   string
		remove func(*Rules)
		bounds Bounds
	}{
		{"no fence at the replica", func(r *Rules) { r.ReplicaFence = false }, small},
		{"no fence at the sidecar and no tombstone", func(r *Rules) { r.TargetFence, r.Tombstone = false, false }, small},
		{"dispatch record bound to no incarnation", func(r *Rules) { r.BindIncarnation = false }, small},
		{"no tombstone", func(r *Rules) { r.Tombstone = false }, small},
		{"resend after a possible send", func(r *Rules) { r.NoResend = false }, small},
		{"dispatch before its record is replicated", func(r *Rules) { r.ReplicateFirst = false }, small},
		{"write without a second member", func(r *Rules) { r.SecondMember = false }, smallWith(func(b *Bounds) { b.Crashes = 2 })},
		{"takeover from a member not confirmed dead", func(r *Rules) { r.ConfirmedDead = false }, threeMembers},
		{"lost compare-and-swap response taken as success", func(r *Rules) { r.ReadBackSwap = false }, small},
		{"takeover by a member with an old snapshot", func(r *Rules) { r.Eligible = false }, smallWith(func(b *Bounds) { b.Versions = 4 })},
		{"budget reserved when the call ends", func(r *Rules) { r.ReserveBudget = false }, smallWith(func(b *Bounds) { b.Calls = 2 })},
		{"not_run without querying the sidecar", func(r *Rules) { r.QueryOutcome = false }, small},
		{"owner that lost its state begins old calls", func(r *Rules) { r.TrackStateLoss = false }, smallWith(func(b *Bounds) { b.Crashes = 2 })},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rules := AllRules()
			tt.remove(&rules)
			v, how := counterexample(rules, tt.bounds)
			if v == nil {
				t.Fatalf("the mutant survives %s", how)
			}
			t.Logf("caught in %d steps after %s:\n%s", len(v.Actions), how, v)
		})
	}
}

// deepMutant is a mutant whose counterexample is too long for a search from the
// initial state. A script leads to a state near the violation, and the search
// continues from there.
type deepMutant struct {
	name   string
	remove func(*Rules)
	bounds Bounds
	script []string
}

var deepMutants = []deepMutant{
	{
		// Node 1 acknowledges a write and dies. Node 2, which has not received the
		// write, changes the assignment and dies too. The owner must not count node
		// 1's acknowledgement.
		name:   "member excluded at the same rank",
		remove: func(r *Rules) { r.FreshRank = false },
		bounds: Bounds{Nodes: 4, Members: 3, Targets: 2, Calls: 1, Budget: 1, Versions: 2, Crashes: 2, Claims: 1},
		script: []string{
			"owner 0 epoch {1 0} begins call 0 at target {0 0}",
			"node 1 receives write 1",
			"owner 0 receives ack of write 1 from {1 0}",
			"node 1 restarts",
			"node 2 proposes version 2",
			"node 2 sends the compare-and-swap to version 2 with replicas [1 3]",
			"the store applies",
			"node 2 reads version 2 back",
			"node 1 receives write 1 of epoch {2 0}",
			"node 3 receives write 1 of epoch {2 0}",
			"owner 2 receives ack of write 1 from {1 1}",
			"owner 2 receives ack of write 1 from {3 0}",
			"owner 2 epoch {2 0} completes write 1",
			"owner 2 epoch {2 0} begins call 0 at target {1 0}",
			"node 1 receives write 2 of epoch {2 0}",
			"node 3 receives write 2 of epoch {2 0}",
			"owner 2 receives ack of write 2 from {1 1}",
			"owner 2 receives ack of write 2 from {3 0}",
		},
	},
	{
		// Node 1 changes the assignment to one without nodes 0 and 2 and dies. Nodes
		// 0 and 2 have not received the change and continue at the old version.
		name:   "compare-and-swap without promises of others",
		remove: func(r *Rules) { r.OthersPromise = false },
		bounds: Bounds{Nodes: 5, Members: 3, Targets: 2, Calls: 1, Budget: 1, Versions: 2, Crashes: 1, Claims: 1},
		script: []string{
			"node 1 proposes version 2",
			"node 1 sends the compare-and-swap to version 2 with replicas [3 4]",
			"the store applies",
			"node 1 reads version 2 back",
			"node 3 receives write 1 of epoch {2 0}",
			"node 4 receives write 1 of epoch {2 0}",
			"owner 1 receives ack of write 1 from {3 0}",
			"owner 1 receives ack of write 1 from {4 0}",
			"owner 1 epoch {2 0} completes write 1",
			"owner 1 epoch {2 0} begins call 0 at target {1 0}",
			"node 3 receives write 2 of epoch {2 0}",
			"node 4 receives write 2 of epoch {2 0}",
			"owner 1 receives ack of write 2 from {3 0}",
			"owner 1 receives ack of write 2 from {4 0}",
			"owner 1 epoch {2 0} completes write 2",
			"target {1 0} receives dispatch of call 0",
			"node 1 restarts",
		},
	},
}

func TestRemovingDeepRulesViolatesAnInvariant(t *testing.T) {
	for _, tt := range deepMutants {
		t.Run(tt.name, func(t *testing.T) {
			rules := AllRules()
			tt.remove(&rules)
			m := NewModel(rules, tt.bounds)
			start, err := search.Follow(m, tt.script)
			if err != nil {
				t.Fatal(err)
			}
			report := search.Explore(search.From(m, start), exploreLimit)
			if report.Violation == nil {
				t.Fatalf("the mutant survives %d states after the script", report.States)
			}
			t.Logf("caught %d steps after the script's %d, %d states:\n%s",
				len(report.Violation.Actions), len(tt.script), report.States, report.Violation)
		})
	}
}

// TestAllRulesPreventDeepMutants follows the same scripts under all rules. Either
// a script cannot be followed, or no violation is found after it.
func TestAllRulesPreventDeepMutants(t *testing.T) {
	for _, tt := range deepMutants {
		t.Run(tt.name, func(t *testing.T) {
			m := NewModel(AllRules(), tt.bounds)
			start, err := search.Follow(m, tt.script)
			if err != nil {
				t.Log(err)
				return
			}
			report := search.Explore(search.From(m, start), exploreLimit)
			if report.Violation != nil {
				t.Fatal(report.Violation)
			}
			t.Logf("no violation in %d states, complete %v", report.States, report.Complete)
		})
	}
}
