package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
	"github.com/rhubarbsaddle/rhubarbsaddle/report/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show where a program's time went and why its calls ran where they did",
		ArgsUsage: "PROGRAM or, with --logs, REQUEST",
		Description: "Examples:\n" +
			"  rhubarbsaddle explain --data events.jsonl haggle-1\n" +
			"  rhubarbsaddle explain --from http://127.0.0.1:9100 --json haggle-1\n" +
			"  rhubarbsaddle explain --logs entry-1.log --logs ledger-1.log 9c568acb405c068a\n" +
			"  rhubarbsaddle explain --restart --logs entry-1.log --logs ledger-1.log",
		Flags: append(eventFlags(),
			&cli.BoolFlag{Name: "json", Usage: "write JSON instead of a table"},
			&cli.StringSliceFlag{Name: "logs", Usage: "`FILE` of rhubarbsaddled log lines, or - for standard input, to explain a request or program from; may be repeated"},
			&cli.BoolFlag{Name: "restart", Usage: "with --logs, show the steps of each process from its start to its first turn"}),
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("restart") {
		if !cmd.IsSet("logs") || cmd.Args().Present() {
			return &UsageError{Err: errors.New("--restart needs --logs and no other argument")}
		}
		return runExplainRestart(cmd)
	}
	program, err := oneArgument(cmd, "PROGRAM")
	if err != nil {
		return err
	}
	if cmd.IsSet("logs") {
		return runExplainLogs(cmd, program)
	}
	var decisions []observe.Decision
	err = readEvents(ctx, cmd, func(l observe.Line) {
		if l.Decision != nil {
			decisions = append(decisions, *l.Decision)
		}
	})
	if err != nil {
		return err
	}
	report, err := explainProgram(program, decisions)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return report.WriteJSON(cmd.Root().Writer)
	}
	return report.WriteTable(cmd.Root().Writer)
}

// explainProgram returns the report about the only program that name may refer to.
func explainProgram(name string, decisions []observe.Decision) (*explain.Report, error) {
	ids := explain.Resolve(name, decisions)
	switch len(ids) {
	case 0:
		return nil, fmt.Errorf("explain %s: the event logs do not mention this program", name)
	case 1:
	default:
		return nil, fmt.Errorf("explain %s: several accounts have this program, give one of %v", name, ids)
	}
	report := explain.New(ids[0], decisions)
	if len(report.Calls) == 0 {
		return nil, fmt.Errorf("explain %s: the event logs contain no finished call of this program", ids[0])
	}
	return report, nil
}
