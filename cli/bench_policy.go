package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/policy"
)

const (
	// benchGCPercent makes garbage collection less frequent. A run takes a few
	// seconds, so its memory matters less than its time.
	benchGCPercent = 400
	// faultLoad is the load of the runs with faults, as a share of capacity.
	faultLoad = 0.9
	// maxSeeds bounds the number of seeds that one command runs.
	maxSeeds = 100
)

func benchPolicyCommand() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "measure placement, order, admission and limits under load in virtual time",
		Description: "Runs the entry and sidecar reducers with the deployment's policies and with four\n" +
			"baselines against a model of an engine, at several loads and with faults.\n\n" +
			"Example:\n  rhubarbsaddle bench policy --deployment bancarella --seed 1 --json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "bancarella", Usage: "bancarella or manizales"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, counted up from the first"},
			&cli.FloatSliceFlag{Name: "load", Value: []float64{0.5, 0.9, 1.0, 1.3}, Usage: "loads, each as a share of capacity"},
			&cli.BoolFlag{Name: "ways", Usage: "replace one of the deployment's policies at a time, instead of running the baselines"},
			&cli.BoolFlag{Name: "no-faults", Usage: "skip the runs with faults"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot to this file (.svg or .png)"},
		},
		Action: runBenchPolicy,
	}
}

func runBenchPolicy(ctx context.Context, c *cli.Command) error {
	sweep, err := sweepFromFlags(c)
	if err != nil {
		return &UsageError{Err: err}
	}
	defer debug.SetGCPercent(debug.SetGCPercent(benchGCPercent))
	results, err := sweep.Run(ctx)
	if err != nil {
		return err
	}
	report := policy.NewReport(sweep, results)
	if file := c.String("plot"); file != "" {
		if err := report.Plot(file); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		enc := json.NewEncoder(c.Root().Writer)
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	return report.WriteTable(c.Root().Writer)
}

// sweepFromFlags returns the sweep that the flags describe.
func sweepFromFlags(c *cli.Command) (policy.Sweep, error) {
	d, err := policy.FindDeployment(c.String("deployment"))
	if err != nil {
		return policy.Sweep{}, err
	}
	s := policy.Sweep{Deployment: d, Variants: policy.Variants(d), Loads: c.FloatSlice("load"), FaultLoad: faultLoad}
	if c.Bool("ways") {
		s.Variants = policy.Ablations(d)
	}
	if c.Bool("no-faults") {
		s.FaultLoad = 0
	}
	n := c.Int("seeds")
	if n < 1 || n > maxSeeds {
		return s, fmt.Errorf("--seeds %d: give a number from 1 to %d", n, maxSeeds)
	}
	for _, load := range s.Loads {
		if load <= 0 || load > 3 {
			return s, fmt.Errorf("--load %g: give a load above 0 and at most 3", load)
		}
	}
	for i := range uint64(n) {
		s.Seeds = append(s.Seeds, c.Uint64("seed")+i)
	}
	return s, nil
}
