package ownership

import (
	"fmt"
	"testing"

	"github.com/rhubarbsaddle/rhubarbsaddle/spec/search"
)

// small is the size at which most mutants fail.
var small = Bounds{Nodes: 3, Members: 2, Targets: 1, Calls: 1, Budget: 1, Versions: 2, Crashes: 1, TargetCrashes: 1, Claims: 1}

// with returns small after a change.
func with(change func(*Bounds)) Bounds {
	b := small
	change(&b)
	return b
}

// Limits of the search for one mutant's counterexample.
const (
	exploreLimit = 200_000
	walkPaths    = 400_000
	walkDepth    = 60
	walkSeed     = 1
)

// counterexample explores the shallow states, then walks into the deep ones.
func counterexample(rules Rules, bounds Bounds) (v *search.Violation[state], how string) {
	report := search.Explore(NewModel(rules, bounds), exploreLimit)
	if report.Violation != nil {
		return report.Violation, fmt.Sprintf("%d states", report.States)
	}
	v, paths := search.RandomWalk(NewModel(rules, bounds), walkSeed, walkPaths, walkDepth)
	return v, fmt.Sprintf("%d states and %d random paths", report.States, paths)
}

func TestEveryRuleIsNeeded(t *testing.T) {
	silent := Bounds{Nodes: 3, Members: 3, Targets: 2, Calls: 1, Budget: 1, Versions: 1, Claims: 2}
	tests := []struct {
		name   string
		remove func(*Rules)
		bounds Bounds
	}{
		{"no fence at the mirror", func(r *Rules) { r.ReplicaFence = false }, small},
		{"no fence at the sidecar and no tombstone", func(r *Rules) { r.TargetFence, r.Tombstone = false, false }, small},
		{"ticket bound to no life", func(r *Rules) { r.BindIncarnation = false }, small},
		{"no tombstone", func(r *Rules) { r.Tombstone = false }, small},
		{"resend after a possible send", func(r *Rules) { r.NoResend = false }, small},
		{"dispatch before the mirrors have the ticket", func(r *Rules) { r.ReplicateFirst = false }, small},
		{"write without a second member", func(r *Rules) { r.SecondMember = false }, with(func(b *Bounds) { b.Crashes = 2 })},
		{"takeover without evidence", func(r *Rules) { r.ConfirmedDead = false }, silent},
		{"lost swap answer taken as success", func(r *Rules) { r.ReadBackSwap = false }, small},
		{"takeover by a member with an old image", func(r *Rules) { r.Eligible = false }, with(func(b *Bounds) { b.Versions = 4 })},
		{"budget reserved when the call ends", func(r *Rules) { r.ReserveBudget = false }, with(func(b *Bounds) { b.Calls = 2 })},
		{"not_run without asking the sidecar", func(r *Rules) { r.QueryOutcome = false }, small},
		{"forgotten owner begins old calls", func(r *Rules) { r.TrackStateLoss = false }, with(func(b *Bounds) { b.Crashes = 2 })},
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

// deep is a counterexample that lies too deep for a search from the initial
// state: a script leads near it, the search finds the rest.
type deep struct {
	name   string
	remove func(*Rules)
	bounds Bounds
	script []string
}

var deepMutants = []deep{
	{
		// Node 1 acknowledges a write and dies; node 2, which has not got it, swaps
		// and dies too. The home may not count node 1's acknowledgement.
		name:   "member left out at the same rank",
		remove: func(r *Rules) { r.FreshRank = false },
		bounds: Bounds{Nodes: 4, Members: 3, Targets: 2, Calls: 1, Budget: 1, Versions: 2, Crashes: 2, Claims: 1},
		script: []string{
			"home 0 epoch {1 0} begins call 0 at target {0 0}",
			"node 1 gets write 1",
			"home 0 gets ack of write 1 from {1 0}",
			"node 1 restarts",
			"node 2 proposes version 2",
			"node 2 sends the swap to version 2 with mirrors [1 3]",
			"the store applies",
			"node 2 reads version 2 back",
			"node 1 gets write 1 of epoch {2 0}",
			"node 3 gets write 1 of epoch {2 0}",
			"home 2 gets ack of write 1 from {1 1}",
			"home 2 gets ack of write 1 from {3 0}",
			"home 2 epoch {2 0} completes write 1",
			"home 2 epoch {2 0} begins call 0 at target {1 0}",
			"node 1 gets write 2 of epoch {2 0}",
			"node 3 gets write 2 of epoch {2 0}",
			"home 2 gets ack of write 2 from {1 1}",
			"home 2 gets ack of write 2 from {3 0}",
		},
	},
	{
		// Node 1 swaps to a set without nodes 0 and 2 and dies; they do not know of
		// it and go on at the old version.
		name:   "swap without promises of others",
		remove: func(r *Rules) { r.OthersPromise = false },
		bounds: Bounds{Nodes: 5, Members: 3, Targets: 2, Calls: 1, Budget: 1, Versions: 2, Crashes: 1, Claims: 1},
		script: []string{
			"node 1 proposes version 2",
			"node 1 sends the swap to version 2 with mirrors [3 4]",
			"the store applies",
			"node 1 reads version 2 back",
			"node 3 gets write 1 of epoch {2 0}",
			"node 4 gets write 1 of epoch {2 0}",
			"home 1 gets ack of write 1 from {3 0}",
			"home 1 gets ack of write 1 from {4 0}",
			"home 1 epoch {2 0} completes write 1",
			"home 1 epoch {2 0} begins call 0 at target {1 0}",
			"node 3 gets write 2 of epoch {2 0}",
			"node 4 gets write 2 of epoch {2 0}",
			"home 1 gets ack of write 2 from {3 0}",
			"home 1 gets ack of write 2 from {4 0}",
			"home 1 epoch {2 0} completes write 2",
			"target {1 0} gets dispatch of call 0",
			"node 1 restarts",
		},
	},
}

func TestEveryRuleIsNeededDeep(t *testing.T) {
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

// TestRulesStopDeepMutants follows the same scripts under all rules: either the
// script cannot be followed, or no violation lies behind it.
func TestRulesStopDeepMutants(t *testing.T) {
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
