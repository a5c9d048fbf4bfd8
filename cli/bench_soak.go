package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/soak"
)

func benchSoakCommand() *cli.Command {
	return &cli.Command{
		Name:        "soak",
		Usage:       "run the reducers under random faults and check the invariants",
		Description: "Example:\n  rhubarbsaddle bench soak --seed 7 --events 1000000\n\nThe exit code is 1 if an invariant is violated. Runs with equal seeds are identical.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the run", Value: 1},
			&cli.Uint64Flag{Name: "events", Usage: "number of events that the reducers process", Value: 1_000_000},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		},
		Action: runBenchSoak,
	}
}

func runBenchSoak(_ context.Context, cmd *cli.Command) error {
	report := soak.Run(soak.Options{Seed: cmd.Uint64("seed"), Events: cmd.Uint64("events")})
	if err := printSoak(cmd, report); err != nil {
		return err
	}
	if report.Violations > 0 {
		return fmt.Errorf("%d violations; replay with --seed %d --events %d", report.Violations, report.Seed, report.Events)
	}
	return nil
}

func printSoak(cmd *cli.Command, report *soak.Report) error {
	if cmd.Bool("json") {
		enc := json.NewEncoder(cmd.Root().Writer)
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	return report.Print(cmd.Root().Writer)
}
