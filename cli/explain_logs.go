package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/report/timeline"
)

// stdinName is the name of a log file that stands for standard input.
const stdinName = "-"

// runExplainLogs explains a request or program from the logs of the processes that
// run on the users' platform.
func runExplainLogs(cmd *cli.Command, id string) error {
	lines, err := readLogs(cmd)
	if err != nil {
		return err
	}
	t := timeline.New(id, lines)
	if len(t.Lines) == 0 {
		return fmt.Errorf("explain %s: none of %d log lines mentions this request or program; lines of answered requests are dropped under load, and a killed process writes none for its requests in progress", id, len(lines))
	}
	return t.Write(cmd.Root().Writer)
}

// runExplainRestart shows how long the processes took to return to service after each of
// their starts.
func runExplainRestart(cmd *cli.Command) error {
	lines, err := readLogs(cmd)
	if err != nil {
		return err
	}
	restarts := timeline.Restarts(lines)
	if len(restarts) == 0 {
		return fmt.Errorf("explain --restart: none of %d log lines is about the start of a process", len(lines))
	}
	return timeline.WriteRestarts(cmd.Root().Writer, restarts)
}

func readLogs(cmd *cli.Command) ([]timeline.Line, error) {
	var lines []timeline.Line
	for _, name := range cmd.StringSlice("logs") {
		fileLines, err := readLog(cmd, name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
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
	lines, skipped, err := timeline.Read(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if skipped > 0 {
		fmt.Fprintf(warnings, "%s: skipped %d lines that are not log lines of rhubarbsaddled\n", name, skipped)
	}
	return lines, nil
}
