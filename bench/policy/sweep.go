package policy

import (
	"context"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// maxParallel bounds the number of concurrent runs.
const maxParallel = 6

// Sweep is a set of runs: every variant at every load with every seed.
type Sweep struct {
	Deployment *Deployment
	Variants   []Variant
	Loads      []float64
	Seeds      []uint64
	// FaultLoad is the load of the runs with faults; zero omits them.
	FaultLoad float64
}

// Run executes all runs, several concurrently, and returns their results in a
// fixed order. It returns an error only if ctx ends.
func (s Sweep) Run(ctx context.Context) ([]Result, error) {
	specs := s.specs()
	results := make([]Result, len(specs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(min(maxParallel, runtime.GOMAXPROCS(0)))
	for i, spec := range specs {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			results[i] = Run(spec)
			return nil
		})
	}
	return results, group.Wait()
}

func (s Sweep) specs() []Spec {
	capacity := s.Deployment.Capacity()
	var specs []Spec
	for _, seed := range s.Seeds {
		for _, load := range s.Loads {
			for _, v := range s.Variants {
				specs = append(specs, Spec{
					Deployment: s.Deployment, Variant: v, Seed: seed, Load: load, Rate: load * capacity,
				})
			}
		}
		specs = append(specs, s.faults(seed, capacity)...)
	}
	return specs
}

// faults returns the runs with faults. Placement-only variants, such as the
// clairvoyant one, have none.
func (s Sweep) faults(seed uint64, capacity float64) []Spec {
	var specs []Spec
	for _, v := range s.Variants {
		if s.FaultLoad == 0 || v.PlacementOnly {
			continue
		}
		specs = append(specs, Spec{
			Deployment: s.Deployment, Variant: v, Seed: seed,
			Load: s.FaultLoad, Rate: s.FaultLoad * capacity, Faults: true,
		})
	}
	return specs
}
