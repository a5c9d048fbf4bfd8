package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/ablation"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/journal"
)

// defaultJournal is the directory with the records of played days.
const defaultJournal = "journal"

// defaultExperiment is the name of an experiment that is given none.
const defaultExperiment = "mechanisms"

func benchAblationCommand() *cli.Command {
	return &cli.Command{
		Name:     "ablation",
		Usage:    "measure what each mechanism of the daemons is worth",
		Commands: []*cli.Command{benchAblationRunCommand(), benchAblationTableCommand()},
	}
}

func benchAblationRunCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "play days with all mechanisms and without one of them at a time",
		Description: "Plays the last commit in clones, with an external bench. The bench must leave its\n" +
			"records in the journal directory.\n\n" +
			"Example:\n  rhubarbsaddle bench ablation run --play 'play-day {deployment} {day} --seed {seed} --comment {comment}' \\\n" +
			"    --day deployment.toml:busy --seed 1 --seed 2 --jobs 4",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "play", Required: true, Usage: "command that plays a day, with {deployment}, {day}, {seed} and {comment}"},
			&cli.StringSliceFlag{Name: "day", Required: true, Usage: "file of a deployment and name of a day, as file:day; may be repeated"},
			&cli.IntSliceFlag{Name: "seed", Value: []int{1}, Usage: "seed; may be repeated"},
			&cli.StringSliceFlag{Name: "mechanism", Value: mechanism.Names(), Usage: "mechanism to disable; may be repeated"},
			&cli.IntFlag{Name: "repeats", Value: 2, Usage: "plays of each day and seed with all mechanisms"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "days that are played at the same time"},
			&cli.StringFlag{Name: "journal", Value: defaultJournal, Usage: "directory of the bench's records, in the repository"},
			&cli.StringFlag{Name: "name", Value: defaultExperiment, Usage: "name of the experiment, without spaces"},
		},
		Action: runBenchAblation,
	}
}

func runBenchAblation(ctx context.Context, c *cli.Command) error {
	if _, err := mechanism.Parse(c.StringSlice("mechanism")); err != nil {
		return &UsageError{Err: err}
	}
	if strings.ContainsAny(c.String("name"), " \t") {
		return &UsageError{Err: errors.New("--name must not contain spaces")}
	}
	if c.Int("jobs") < 1 || c.Int("repeats") < 1 {
		return &UsageError{Err: errors.New("--jobs and --repeats must be 1 or more")}
	}
	days, err := parseDays(c.StringSlice("day"))
	if err != nil {
		return &UsageError{Err: err}
	}
	root, err := filepath.Abs(".")
	if err != nil {
		return err
	}
	experiment := ablation.Experiment{
		Name: c.String("name"), Repository: root, Play: c.String("play"), Journal: c.String("journal"), Days: days, Seeds: c.IntSlice("seed"),
		Mechanisms: c.StringSlice("mechanism"), Repeats: c.Int("repeats"), Jobs: c.Int("jobs"), Progress: c.Root().Writer,
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return experiment.Run(ctx)
}

// parseDays parses values of the form file:day. The plays run in other directories, so the
// paths are made absolute.
func parseDays(values []string) ([]ablation.Day, error) {
	var days []ablation.Day
	for _, value := range values {
		file, day, ok := strings.Cut(value, ":")
		if !ok {
			return nil, fmt.Errorf("--day %q: give the file and the name of the day, as file:day", value)
		}
		path, err := filepath.Abs(file)
		if err != nil {
			return nil, err
		}
		days = append(days, ablation.Day{File: path, Name: day})
	}
	return days, nil
}

func benchAblationTableCommand() *cli.Command {
	return &cli.Command{
		Name:        "table",
		Usage:       "print the results of an experiment from the records in a journal",
		Description: "Example:\n  rhubarbsaddle bench ablation table --journal journal",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "journal", Value: defaultJournal, Usage: "directory of the bench's records"},
			&cli.StringFlag{Name: "name", Value: defaultExperiment, Usage: "name of the experiment"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			plays, err := journal.Read(c.String("journal"))
			if err != nil {
				return err
			}
			return ablation.WriteTable(c.Root().Writer, ablation.Table(plays, c.String("name")))
		},
	}
}
