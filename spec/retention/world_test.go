package retention_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/spec/retention"
)

const steps = 300

var sizes = []struct{ members, disksLost int }{{3, 1}, {4, 1}, {5, 2}}

// A member that had missed the later records of a program dropped those that it had acknowledged,
// and the loss of one disk then lost them (review/12: LOST, BUDGET).
func TestAcknowledgedRecordsAreRetained(t *testing.T) {
	const seeds = 1000
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d members, %d disks lost", size.members, size.disksLost), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				require.NoError(t, retention.NewWorld(seed, size.members, size.disksLost, retention.AllRules()).Play(steps), "seed %d", seed)
			}
		})
	}
}

func TestRetentionDependsOnEachRule(t *testing.T) {
	const maxSeeds = 60000
	for name, rule := range map[string]struct {
		// firstSeed is the one from which to search.
		firstSeed uint64
		disable   func(*retention.Rules)
	}{
		"AskQuorum":       {0, func(r *retention.Rules) { r.AskQuorum = false }},
		"OnlyReadyAnswer": {1500, func(r *retention.Rules) { r.OnlyReadyAnswer = false }},
		"MergeRetentions": {300, func(r *retention.Rules) { r.MergeRetentions = false }},
		"BoundAttempts":   {300, func(r *retention.Rules) { r.BoundAttempts = false }},
		"JudgeAtAsking":   {6000, func(r *retention.Rules) { r.JudgeAtAsking = false }},
		"AwaitChain":      {200, func(r *retention.Rules) { r.AwaitChain = false }},
		"CopyAll":         {35000, func(r *retention.Rules) { r.CopyAll = false }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rules := retention.AllRules()
			rule.disable(&rules)
			for seed := rule.firstSeed; seed < maxSeeds; seed++ {
				if err := retention.NewWorld(seed, 3, 1, rules).Play(steps); err != nil {
					t.Logf("caught with seed %d", seed)
					return
				}
			}
			assert.Fail(t, "nothing is lost without the rule")
		})
	}
}
