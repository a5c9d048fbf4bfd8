package cli

import (
	"context"
	"encoding/json"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/placement"
)

// defaultPlacementDuration covers several hundred turns of each engine.
const defaultPlacementDuration = 30 * time.Second

func benchPlacementCommand() *cli.Command {
	return &cli.Command{
		Name:        "placement",
		Usage:       "measure how evenly entries load the engines, by the number of entries and by what they know of each other",
		Description: "Example:\n  rhubarbsaddle bench placement --entries 5 --entries 60 --seed 1",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "entries", Usage: "number of entries and of engines", Value: []int{5, 13, 60}},
			&cli.FloatFlag{Name: "utilization", Usage: "share of the engines' slots that are used on average", Value: 0.35},
			&cli.DurationFlag{Name: "duration", Usage: "length of the run in virtual time", Value: defaultPlacementDuration},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the programs", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print the results as JSON"},
		},
		Action: runBenchPlacement,
	}
}

func runBenchPlacement(_ context.Context, cmd *cli.Command) error {
	var results []placement.Result
	for _, entries := range cmd.IntSlice("entries") {
		for _, knowledge := range placement.All {
			results = append(results, placement.Run(placement.Config{
				Entries: entries, Knowledge: knowledge, Utilization: cmd.Float("utilization"),
				Duration: cmd.Duration("duration"), Seed: cmd.Uint64("seed"),
			}))
		}
	}
	if !cmd.Bool("json") {
		return placement.Print(cmd.Root().Writer, results)
	}
	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")
	return enc.Encode(results)
}
