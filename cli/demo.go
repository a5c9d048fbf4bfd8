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
			"kills an entry and a sidecar half-way and prints the results that callers received. The exit code is 1 if an invariant was violated.\n\n" +
			"Example:\n  rhubarbsaddle demo\n  rhubarbsaddle demo --processes --seed 7\n  rhubarbsaddle demo --programs 120 --span 20s --kills 6",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "examples", Usage: "`DIR` of the example sets", Value: "examples"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the programs; 0 chooses a random one"},
			&cli.IntFlag{Name: "programs", Usage: "number of programs of each deployment", Value: 80},
			&cli.DurationFlag{Name: "span", Usage: "time over which the programs arrive", Value: 12 * time.Second},
			&cli.IntFlag{Name: "kills", Usage: "rounds of failures; each kills an entry and a sidecar", Value: 1},
			&cli.BoolFlag{Name: "processes", Usage: "run each daemon as a process of its own"},
			&cli.StringFlag{Name: "data", Usage: "`DIR` for the processes' event logs, for report burn and explain"},
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
		return &UsageError{Err: errors.New("demo: programs must be at least 2, span above zero and kills not negative")}
	}
	if options.Seed == 0 {
		options.Seed = uint64(time.Now().UnixNano())
	}
	if cmd.Bool("processes") {
		binary, err := os.Executable()
		if err != nil {
			return err
		}
		dir, err := os.MkdirTemp("", "rhubarbsaddle-demo-")
		if err != nil {
			return err
		}
		options.Binary = binary
		options.ProcessDir = dir
		fmt.Fprintf(options.Out, "settings and logs of the processes: %s\n", filepath.ToSlash(dir))
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
