package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func node(i int) core.Node { return core.Node{VM: core.VM(fmt.Sprintf("vm-%d", i)), Inc: 1} }

func targets(running ...uint32) []Target {
	var all []Target
	for i, r := range running {
		load := core.Load{Running: r, Limit: 8, PrefillRate: 10_000, StepTime: 5 * core.Millisecond}
		all = append(all, Target{Node: node(i), Load: load, SameDomain: true})
	}
	return all
}

func TestNewAcceptsKnownNames(t *testing.T) {
	for _, name := range append(Names(), "") {
		p, err := New(name, config.Policy{})
		require.NoError(t, err)
		i, _ := p.Choose(Request{Program: "a"}, targets(1), rand.New(rand.NewPCG(1, 1)))
		require.Zero(t, i)
	}
	_, err := New("nearest", config.Policy{})
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
}

func TestChooseTarget(t *testing.T) {
	last := Request{Program: "p", PromptTokens: 4000, LastTarget: node(0), LastTokens: 3900, MaxTokens: 100}
	full := targets(1, 1)
	full[0].Load.CacheTokens, full[0].Load.CachePinned = 10_000, 9_000
	full[1].Load.CacheTokens = 10_000
	restarted := targets(2, 0)
	restarted[0].Node.Inc++
	sent := targets(3, 4)
	sent[0].CallsSinceReport = 2
	queued := targets(8, 0)
	queued[0].Load.Waiting = 400
	tests := []struct {
		name    string
		policy  string
		req     Request
		targets []Target
		want    int
	}{
		{"fewest calls", LeastOutstanding, Request{}, targets(3, 1, 2), 1},
		{"the entry's own dispatches count", LeastOutstanding, Request{}, sent, 1},
		{"two choices of two", TwoChoices, Request{}, targets(3, 1), 1},
		{"a cached conversation outweighs a small difference in load", Cost, last, targets(2, 0), 0},
		{"the conversation stays cached when the sidecar restarts", Cost, last, restarted, 0},
		{"a long queue outweighs a cached conversation", Cost, last, queued, 1},
		{"a new program avoids a full cache", Cost, Request{Program: "q", PromptTokens: 4000}, full, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := New(tt.policy, config.Policy{})
			require.NoError(t, err)
			for seed := range uint64(20) {
				got, _ := p.Choose(tt.req, tt.targets, rand.New(rand.NewPCG(seed, 1)))
				require.Equal(t, tt.want, got)
			}
		})
	}
}

func TestRoundRobinCyclesThroughTargets(t *testing.T) {
	p, err := New(RoundRobin, config.Policy{})
	require.NoError(t, err)
	for i := range 7 {
		got, _ := p.Choose(Request{}, targets(9, 0, 0), nil)
		require.Equal(t, i%3, got)
	}
}

func TestPrefixHashKeepsDescendantsTogetherAndMovesFewPrograms(t *testing.T) {
	p, err := New(PrefixHash, config.Policy{})
	require.NoError(t, err)
	all := targets(0, 0, 0, 0)
	moved, used := 0, map[int]int{}
	for i := range 1000 {
		id := core.ProgramID(fmt.Sprintf("p%d", i))
		root, _ := p.Choose(Request{Program: id}, all, nil)
		child, _ := p.Choose(Request{Program: id + "/child"}, all, nil)
		require.Equal(t, root, child)
		used[root]++
		fewer, _ := p.Choose(Request{Program: id}, all[:3], nil)
		if fewer != root {
			moved++
		}
	}
	require.Equal(t, used[3], moved, "only programs of the removed target move")
	for i := range all {
		require.Greater(t, used[i], 150)
	}
}
