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
	v, paths := search.Walk(NewModel(rules, bounds), walkSeed, walkPaths, walkDepth)
	return v, fmt.Sprintf("%d states and %d random paths", report.States, paths)
}

func TestEveryRuleIsNeeded(t *testing.T) {
	three := with(func(b *Bounds) { b.Members = 3; b.TargetCrashes = 0; b.Nodes = 4; b.Crashes = 2; b.Claims = 2 })
	tests := []struct {
		name   string
		remove func(*Rules)
		bounds Bounds
	}{
		{"no fence at the mirror", func(r *Rules) { r.MirrorFence = false }, small},
		{"no fence at the sidecar and no tombstone", func(r *Rules) { r.TargetFence, r.Tombstone = false, false }, small},
		{"ticket bound to no life", func(r *Rules) { r.BindLife = false }, small},
		{"no tombstone", func(r *Rules) { r.Tombstone = false }, small},
		{"resend after a possible send", func(r *Rules) { r.NoResend = false }, small},
		{"dispatch before the mirrors have the ticket", func(r *Rules) { r.MirrorFirst = false }, small},
		{"write without a second member", func(r *Rules) { r.SecondMember = false }, with(func(b *Bounds) { b.Crashes = 2 })},
		{"takeover without evidence", func(r *Rules) { r.Evidence = false }, three},
		{"member left out at the same rank", func(r *Rules) { r.FreshRank = false }, three},
		{"swap without promises of others", func(r *Rules) { r.OthersPromise = false }, three},
		{"lost swap answer taken as success", func(r *Rules) { r.SettleSwap = false }, small},
		{"takeover by a member with an old image", func(r *Rules) { r.Eligible = false }, with(func(b *Bounds) { b.Versions = 4 })},
		{"budget reserved when the call ends", func(r *Rules) { r.ReserveBudget = false }, with(func(b *Bounds) { b.Calls = 2 })},
		{"not_run without asking the sidecar", func(r *Rules) { r.AskOutcome = false }, small},
		{"forgotten owner begins old calls", func(r *Rules) { r.KnowForgotten = false }, with(func(b *Bounds) { b.Crashes = 2 })},
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
