package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/path"
)

func benchPathCommand() *cli.Command {
	return &cli.Command{
		Name:  "path",
		Usage: "measure the overhead of the path through entry and sidecar",
		Description: "Compares calls through the system with direct calls to the stand-in targets, on loopback.\n\n" +
			"Example:\n  rhubarbsaddle bench path --rate 1000 --duration 5s\n  rhubarbsaddle bench path --json --seed 7",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "rate", Usage: "calls per second", Value: 1000},
			&cli.DurationFlag{Name: "duration", Usage: "length of each of the four measurements", Value: 5 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrivals", Value: 1},
			&cli.BoolFlag{Name: "in-process", Usage: "run the daemons in this process, for profiling; memory and CPU time are not measured"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: runBenchPath,
	}
}

func runBenchPath(ctx context.Context, cmd *cli.Command) error {
	o := path.Options{
		Rate:     cmd.Float("rate"),
		Duration: cmd.Duration("duration"),
		Seed:     cmd.Uint64("seed"),
		Progress: cmd.Root().ErrWriter,
	}
	if o.Rate <= 0 || o.Duration <= 0 {
		return &UsageError{Err: errors.New("bench path: rate and duration must be above zero")}
	}
	if !cmd.Bool("in-process") {
		binary, err := os.Executable()
		if err != nil {
			return err
		}
		dir, err := os.MkdirTemp("", "rhubarbsaddle-bench-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		o.Binary = binary
		o.Dir = dir
	}
	result, err := path.Run(ctx, o)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		encoder := json.NewEncoder(cmd.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return printPath(cmd.Root().Writer, result)
}

func printPath(out io.Writer, r *path.Result) error {
	fmt.Fprintf(out, "%.0f calls per second, seed %d\n", r.Rate, r.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEASURE\tCALLS\tFAILED\tDIRECT P50\tDIRECT P99\tTHROUGH P50\tTHROUGH P99\tADDED P50\tADDED P99")
	rows := []struct {
		name string
		c    path.Comparison
	}{{"service call", r.Service}, {"model call", r.Model}, {"first token", r.FirstToken}}
	for _, row := range rows {
		c := row.c
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", row.name,
			c.Proxied.Calls, c.Proxied.Failed, micros(c.Direct.P50), micros(c.Direct.P99),
			micros(c.Proxied.P50), micros(c.Proxied.P99), micros(c.AddedP50), micros(c.AddedP99))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if r.CallsPerCore == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "service calls per second and core of entries and sidecars: %.0f\nidle memory: entry %.1f MB, sidecar %.1f MB\n",
		r.CallsPerCore, megabytes(r.EntryIdleBytes), megabytes(r.SidecarIdleBytes))
	return err
}

func micros(d time.Duration) time.Duration { return d.Round(time.Microsecond) }

// bytesPerMegabyte converts memory sizes to the printed unit.
const bytesPerMegabyte = 1e6

func megabytes(n int64) float64 { return float64(n) / bytesPerMegabyte }
