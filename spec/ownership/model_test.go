package ownership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/spec/search"
)

// stateLimit bounds an exploration. Every size below completes well within it.
const stateLimit = 8_000_000

// TestProtocolKeepsInvariants explores every reachable state of each size. Pauses,
// losses, delays and duplicates are not bounded in the model; the sizes bound
// nodes, members, targets, calls and restarts.
func TestProtocolKeepsInvariants(t *testing.T) {
	tests := []struct {
		name   string
		bounds Bounds
		// long marks a size that is skipped with -short and under the race
		// detector, which makes the search more than ten times slower.
		long bool
	}{
		{"one call", Bounds{Nodes: 3, Members: 2, Targets: 1, Calls: 1, Budget: 1, Versions: 2, Crashes: 1, TargetCrashes: 1, Claims: 1}, false},
		{"two targets", Bounds{Nodes: 3, Members: 2, Targets: 2, Calls: 1, Budget: 1, Versions: 2, Crashes: 1, TargetCrashes: 1, Claims: 1}, true},
		{"two calls, two targets, budget for one", Bounds{Nodes: 3, Members: 2, Targets: 2, Calls: 2, Budget: 1, Versions: 2, Crashes: 1, TargetCrashes: 1, Claims: 1}, true},
		{"two calls, two targets", Bounds{Nodes: 3, Members: 2, Targets: 2, Calls: 2, Budget: 2, Versions: 2, Crashes: 1, Claims: 1}, true},
		{"takeovers without the store", Bounds{Nodes: 3, Members: 3, Targets: 2, Calls: 1, Budget: 1, Versions: 1, Crashes: 2, TargetCrashes: 1, Claims: 3}, false},
		{"three members", Bounds{Nodes: 3, Members: 3, Targets: 1, Calls: 1, Budget: 1, Versions: 2, Crashes: 1, Claims: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.long && (testing.Short() || raceEnabled) {
				t.Skip("a long exploration")
			}
			m := NewModel(AllRules(), tt.bounds)
			report := search.Explore(m, stateLimit)
			t.Logf("%d states, %d transitions, depth %d", report.States, report.Transitions, report.Depth)
			if report.Violation != nil {
				t.Fatal(report.Violation)
			}
			require.True(t, report.Complete)
			require.Zero(t, m.Overflows())
		})
	}
}
