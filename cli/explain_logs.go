package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/report/timeline"
)

// stdinName names standard input among the log files.
const stdinName = "-"

// runExplainLogs explains a request or program from the logs of the processes on
// the platform.
func runExplainLogs(cmd *cli.Command, id string) error {
	var all []timeline.Line
	for _, name := range cmd.StringSlice("logs") {
		lines, err := readLog(cmd, name)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	t := timeline.New(id, all)
	if len(t.Lines) == 0 {
		return fmt.Errorf("explain %s: %d log lines tell of no such request or program; lines of answered ones are left out under load, and a process that is killed writes none for what it had under way", id, len(all))
	}
	return t.Write(cmd.Root().Writer)
}

func readLog(cmd *cli.Command, name string) ([]timeline.Line, error) {
	in := cmd.Root().Reader
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	return parseLog(cmd.Root().ErrWriter, name, in)
}

func parseLog(warnings io.Writer, name string, in io.Reader) ([]timeline.Line, error) {
	lines, other, err := timeline.Read(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if other > 0 {
		fmt.Fprintf(warnings, "%s: %d lines are not of this log\n", name, other)
	}
	return lines, nil
}
