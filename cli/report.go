package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
	"github.com/rhubarbsaddle/rhubarbsaddle/report/burn"
)

// eventsPath is the path of the event log at a daemon's operators' port.
const eventsPath = "/events"

// errNoEvents is the cause when no flag names a source of events.
var errNoEvents = errors.New("name event logs with --data FILE, or daemons with --from URL")

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:     "report",
		Usage:    "report on the service-level objectives",
		Commands: []*cli.Command{burnCommand()},
	}
}

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "report how fast the error budgets are spent",
		Description: "Examples:\n" +
			"  rhubarbsaddle report burn --config examples/bancarella --data events.jsonl\n" +
			"  rhubarbsaddle report burn --config examples/bancarella --from http://127.0.0.1:9100 --html burn.html",
		Flags: append(eventFlags(),
			&cli.StringFlag{Name: "config", Usage: "`DIR` of the configuration with the objectives", Required: true},
			&cli.DurationFlag{Name: "period", Usage: "period of the error budgets; the windows scale with it", Value: burn.DefaultPeriod},
			&cli.TimestampFlag{
				Name:   "end",
				Usage:  "end of the report; defaults to the last event",
				Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}},
			},
			&cli.BoolFlag{Name: "json", Usage: "write JSON instead of a table"},
			&cli.StringFlag{Name: "html", Usage: "also write a page to `FILE`"},
		),
		Action: runBurn,
	}
}

// eventFlags returns the flags that name the sources of events.
func eventFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "data", Usage: "read the event log in `FILE`, or all logs of a directory; may be repeated"},
		&cli.StringSliceFlag{Name: "from", Usage: "read the event log of the daemon at `URL`; may be repeated"},
	}
}

// readEvents reads all event logs that the flags name and calls fn for every line.
func readEvents(ctx context.Context, cmd *cli.Command, fn func(observe.Line)) error {
	paths, urls := cmd.StringSlice("data"), cmd.StringSlice("from")
	if len(paths)+len(urls) == 0 {
		return &UsageError{Err: errNoEvents}
	}
	files, err := observe.Files(paths)
	if err != nil {
		return err
	}
	for _, path := range files {
		if err := observe.ReadFile(path, fn); err != nil {
			return err
		}
	}
	client, _, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	for _, url := range urls {
		if err := observe.Fetch(ctx, client, url+eventsPath, fn); err != nil {
			return err
		}
	}
	return nil
}

func runBurn(ctx context.Context, cmd *cli.Command) error {
	set, err := loadSet(cmd.String("config"))
	if err != nil {
		return err
	}
	var observations []observe.Observation
	err = readEvents(ctx, cmd, func(l observe.Line) {
		if l.Observation != nil {
			observations = append(observations, *l.Observation)
		}
	})
	if err != nil {
		return err
	}
	report := burn.New(set, observations, burn.Options{Period: cmd.Duration("period"), End: cmd.Timestamp("end")})
	if path := cmd.String("html"); path != "" {
		if err := writeFile(path, report.WriteHTML); err != nil {
			return err
		}
	}
	if cmd.Bool("json") {
		return report.WriteJSON(cmd.Root().Writer)
	}
	return report.WriteTable(cmd.Root().Writer)
}

// writeFile creates a file and writes its content with fn.
func writeFile(path string, fn func(w io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := fn(file); err != nil {
		return errors.Join(fmt.Errorf("write report %s: %w", path, err), file.Close())
	}
	return file.Close()
}
