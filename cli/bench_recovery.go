package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/recovery"
)

func benchRecoveryCommand() *cli.Command {
	return &cli.Command{
		Name:        "recovery",
		Usage:       "measure the time until programs continue after each kind of failure",
		Description: "Example:\n  rhubarbsaddle bench recovery --seed 1 --json\n\nThe exit code is 1 if an invariant is violated.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first trial", Value: 1},
			&cli.IntFlag{Name: "trials", Usage: "number of trials of each failure", Value: recovery.DefaultTrials},
			&cli.BoolFlag{Name: "json", Usage: "print the results as JSON"},
		},
		Action: runBenchRecovery,
	}
}

func runBenchRecovery(_ context.Context, cmd *cli.Command) error {
	results := recovery.Run(cmd.Uint64("seed"), cmd.Int("trials"))
	if err := printRecovery(cmd, results); err != nil {
		return err
	}
	var violations uint64
	for _, r := range results {
		violations += r.InvariantViolations
	}
	if violations > 0 {
		return fmt.Errorf("%d invariant violations", violations)
	}
	return nil
}

func printRecovery(cmd *cli.Command, results []recovery.Result) error {
	if !cmd.Bool("json") {
		return recovery.Print(cmd.Root().Writer, results)
	}
	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")
	return enc.Encode(results)
}
