package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both example deployments on loopback, with programs and failures",
		Description: "Starts stand-ins for the platform and the targets, entries and sidecars, runs scripted programs, " +
			"kills an entry and a sidecar half-way and prints what the callers saw. Exits with 1 if a promise was broken.\n\n" +
			"Example:\n  rhubarbsaddle demo\n  rhubarbsaddle demo --processes --seed 7\n  rhubarbsaddle demo --programs 120 --span 20s --kills 6",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "examples", Usage: "`FOLDER` of the example sets", Value: "examples"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the programs; 0 draws one"},
			&cli.IntFlag{Name: "programs", Usage: "number of programs of each deployment", Value: 80},
			&cli.DurationFlag{Name: "span", Usage: "time over which the programs arrive", Value: 12 * time.Second},
			&cli.IntFlag{Name: "kills", Usage: "rounds of failures, each an entry and a sidecar", Value: 1},
			&cli.BoolFlag{Name: "processes", Usage: "run each daemon as a process of its own"},
			&cli.StringFlag{Name: "data", Usage: "`FOLDER` for the processes' event logs, for report burn and explain"},
			&cli.StringFlag{Name: "observations", Usage: "`FILE` to write the observations to, for report burn"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	options := demo.Options{
		ExamplesDir: cmd.String("examples"),
		Seed:        cmd.Uint64("seed"),
		Programs:    cmd.Int("programs"),
		ArrivalSpan: cmd.Duration("span"),
		FaultRounds: cmd.Int("kills"),
		DataDir:     cmd.String("data"),
		Out:         cmd.Root().Writer,
		Terminal:    isTerminal(cmd),
	}
	if options.Programs < 2 || options.ArrivalSpan <= 0 || options.FaultRounds < 0 {
		return &UsageError{Err: errors.New("demo: needs at least 2 programs, a span above zero and no negative kills")}
	}
	if options.Seed == 0 {
		options.Seed = uint64(time.Now().UnixNano())
	}
	if cmd.Bool("processes") {
		binary, err := os.Executable()
		if err != nil {
			return err
		}
		folder, err := os.MkdirTemp("", "rhubarbsaddle-demo-")
		if err != nil {
			return err
		}
		options.Binary = binary
		options.ProcessDir = folder
		fmt.Fprintf(options.Out, "settings and logs of the processes: %s\n", filepath.ToSlash(folder))
	}
	results, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := demo.WriteObservations(cmd.String("observations"), results); err != nil {
		return err
	}
	return demo.Check(results)
}

// isTerminal reports whether the command prints to a terminal.
func isTerminal(cmd *cli.Command) bool {
	file, ok := cmd.Root().Writer.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
