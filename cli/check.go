package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check a set of configuration files, or the settings of one process",
		ArgsUsage:   "DIR|FILE",
		Description: "Example:\n  rhubarbsaddle check examples/bancarella\n  rhubarbsaddle check --settings node.yaml",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "settings", Usage: "check the settings file of one process"},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	path, err := oneArgument(cmd, "DIR")
	if err != nil {
		return err
	}
	if cmd.Bool("settings") {
		node, err := load.Node(path)
		if err != nil {
			return &UsageError{Err: err}
		}
		fmt.Fprintf(cmd.Root().Writer, "%s: ok, %s %s in %s\n", path, node.Role, node.VM, node.Domain)
		return nil
	}
	set, err := loadSet(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s: ok, deployment %s: %d pools, %d program kinds, %d accounts, %d tools\n",
		path, set.Deployment, len(set.Pools), len(set.Programs), len(set.Accounts), len(set.Tools))
	return nil
}

// loadSet reads a set. Every error is a UsageError.
func loadSet(dir string) (*config.Set, error) {
	set, err := load.Set(dir)
	if err != nil {
		return nil, &UsageError{Err: err}
	}
	return set, nil
}

// oneArgument returns the only argument of a command.
func oneArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", &UsageError{Err: errors.New(cmd.Name + ": needs exactly one argument, " + name)}
	}
	return cmd.Args().First(), nil
}
