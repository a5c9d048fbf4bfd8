package direct

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// standard is the usual size: one slot with all three entries as members, two
// sidecars, and calls of one program whose budget does not pay for all of them.
var standard = Options{Entries: 3, Sidecars: 2, Calls: 5, Steps: 1500, Restarts: 3}

// Sizes of the searches.
const (
	searchSeed  = 1
	searchPaths = 600
	mutantPaths = 4000
)

func TestReducersKeepInvariants(t *testing.T) {
	for _, o := range []Options{
		standard,
		{Entries: 4, Sidecars: 2, Calls: 5, Steps: 2000, Restarts: 4},
		{Entries: 3, Sidecars: 2, Calls: 5, Steps: 1500, Restarts: 6, DeliverToAnyIncarnation: true},
	} {
		report := Search(o, searchSeed, searchPaths)
		if report.Violation != nil {
			t.Fatal(report.Violation)
		}
		t.Logf("%d paths, %d choices: %d calls executed, %d refused as not run, %d changes of owner",
			report.Paths, report.Choices, report.Executed, report.Refused, report.Takeovers)
		require.NotZero(t, report.Executed)
		require.NotZero(t, report.Refused)
		require.NotZero(t, report.Takeovers)
	}
}

func TestSameSeedGivesSamePath(t *testing.T) {
	a, b := runPath(standard, 7), runPath(standard, 7)
	require.Equal(t, a.trace, b.trace)
	require.NotEmpty(t, a.trace)
}

func TestMutantsAreCaught(t *testing.T) {
	tests := []struct {
		name  string
		alter func() MessageMutation
	}{
		{"dispatch record bound to no incarnation", func() MessageMutation {
			return func(to core.Node, m core.Message) core.Message {
				if d, ok := m.(core.Dispatch); ok {
					d.Target = to
					return d
				}
				return m
			}
		}},
		{"repeated dispatch is another attempt", func() MessageMutation {
			n := uint64(1 << 20)
			return func(_ core.Node, m core.Message) core.Message {
				if d, ok := m.(core.Dispatch); ok {
					n++
					d.Attempt.N = n
					return d
				}
				return m
			}
		}},
		{"rejected writes acknowledged", func() MessageMutation {
			return func(_ core.Node, m core.Message) core.Message {
				if a, ok := m.(core.ReplicaAck); ok && !a.OK {
					a.OK, a.NeedsSnapshot, a.Promised = true, false, core.Epoch{}
					return a
				}
				return m
			}
		}},
		{"executed attempt reported as refused", func() MessageMutation {
			return func(_ core.Node, m core.Message) core.Message {
				if r, ok := m.(core.Result); ok && r.State == core.AttemptDone {
					r.State = core.AttemptRefused
					return r
				}
				return m
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := standard
			o.DeliverToAnyIncarnation = true
			for seed := uint64(searchSeed); seed < searchSeed+mutantPaths; seed++ {
				o.Mutate = tt.alter()
				if w := runPath(o, seed); w.violation != nil {
					t.Logf("caught at seed %d: %v", seed, w.violation)
					return
				}
			}
			t.Fatal("the mutant survives")
		})
	}
}
