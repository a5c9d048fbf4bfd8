package policy

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestGeneratorIsDeterministicAndHeavyTailed(t *testing.T) {
	d, err := FindDeployment("bancarella")
	require.NoError(t, err)
	a, b := newGenerator(d.Kinds, 3), newGenerator(d.Kinds, 3)
	longest, children, turns := 0, 0, 0
	for range 2000 {
		s := a.next()
		require.Equal(t, s, b.next())
		longest = max(longest, len(s.Turns))
		turns += len(s.Turns)
		for _, turn := range s.Turns {
			if turn.Child != nil {
				children++
			}
		}
	}
	require.GreaterOrEqual(t, longest, 6*turns/2000)
	require.Positive(t, children)
}

func TestFindDeployment(t *testing.T) {
	engines := map[string][2]int{"bancarella": {20, 10}, "manizales": {10, 8}}
	for name, want := range engines {
		d, err := FindDeployment(name)
		require.NoError(t, err)
		require.Equal(t, want, [2]int{d.Pools[0].Engines, d.Pools[1].Engines})
		require.Positive(t, d.Capacity())
	}
	_, err := FindDeployment("siena")
	var unknown *UnknownDeploymentError
	require.ErrorAs(t, err, &unknown)
}

// smallDeployment returns a deployment with few engines, so that runs are short.
func smallDeployment(t *testing.T) *Deployment {
	d, err := FindDeployment("bancarella")
	require.NoError(t, err)
	d.WarmUp, d.Window = 5*core.Second, 10*core.Second
	for i := range d.Pools {
		d.Pools[i].Engines /= 10
	}
	return d
}

func TestRunIsDeterministicAndCountsEveryProgram(t *testing.T) {
	d := smallDeployment(t)
	for _, v := range Variants(d)[:2] {
		spec := Spec{Deployment: d, Variant: v, Seed: 5, Load: 0.5, Rate: 0.5 * d.Capacity()}
		r := Run(spec)
		require.Equal(t, r, Run(spec))
		require.Equal(t, r.Programs, r.Finished+r.Failed+r.Unfinished)
		require.Positive(t, r.Finished)
		require.LessOrEqual(t, r.P50, r.P95)
		require.LessOrEqual(t, r.P95, r.P99)
	}
}

func TestSweepReportsGoalsAndPlots(t *testing.T) {
	d := smallDeployment(t)
	s := Sweep{Deployment: d, Variants: Variants(d), Loads: []float64{goalLoad}, Seeds: []uint64{2}}
	results, err := s.Run(context.Background())
	require.NoError(t, err)
	r := NewReport(s, results)
	require.Len(t, r.Rows, len(s.Variants))
	require.Len(t, r.Goals, 3)
	var text bytes.Buffer
	require.NoError(t, r.WriteTable(&text))
	require.Contains(t, text.String(), productName)
	file := filepath.Join(t.TempDir(), "p.svg")
	require.NoError(t, r.Plot(file))
	info, err := os.Stat(file)
	require.NoError(t, err)
	require.Positive(t, info.Size())
}

func TestGoalsCompareWithBestBaseline(t *testing.T) {
	d := &Deployment{PrioritizesWaste: true}
	variants := []Variant{{Name: productName}, {Name: "a", Baseline: true}, {Name: "b", Baseline: true}}
	all := []Row{
		{Variant: productName, Load: 0.9, P95: 10, WastedTokenSeconds: 5},
		{Variant: "a", Load: 0.9, P95: 9, WastedTokenSeconds: 50},
		{Variant: "b", Load: 0.9, P95: 30, WastedTokenSeconds: 14},
		{Variant: "b", Load: 0.9, P95: 1, WastedTokenSeconds: 1, Faults: true},
	}
	got := goals(d, variants, all)
	require.Len(t, got, 2)
	require.InDelta(t, 0.9, got[0].Value, 1e-9)
	require.False(t, got[0].Met)
	require.InDelta(t, 2.8, got[1].Value, 1e-9)
	require.False(t, got[1].Met)
	require.Equal(t, "b", got[1].Against)
}

func TestQuantile(t *testing.T) {
	require.Zero(t, quantile(nil, 0.5))
	require.EqualValues(t, 3, quantile([]float64{5, 1, 3, 2, 4}, 0.5))
	require.EqualValues(t, 5, quantile([]float64{5, 1, 3, 2, 4}, 0.99))
	require.EqualValues(t, 2, seconds(2*core.Second))
}
