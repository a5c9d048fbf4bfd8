package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/slopes"
)

func benchSlopesCommand() *cli.Command {
	return &cli.Command{
		Name:        "slopes",
		Usage:       "measure how costs grow with programs, calls, peers and targets",
		Description: "Example:\n  rhubarbsaddle bench slopes --json > docs/capacity/slopes.json",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the run", Value: 1},
			jsonFlag(),
		},
		Action: runBenchSlopes,
	}
}

func runBenchSlopes(_ context.Context, cmd *cli.Command) error {
	report, err := slopes.Run(cmd.Uint64("seed"))
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		enc := json.NewEncoder(cmd.Root().Writer)
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SLOPE\tA UNIT\tFIXED\tGROWTH\tUNIT\tPER")
	for _, s := range report.Slopes {
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.2f\t%s\t%s\n", s.Name, s.PerUnit, s.Fixed, s.Growth, s.Unit, s.Per)
	}
	return w.Flush()
}
