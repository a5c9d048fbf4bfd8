package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/publish"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "put a set of configuration files in force in one step",
		ArgsUsage:   "DIR",
		Description: "Example:\n  rhubarbsaddle apply --store 10.0.0.2:2379 examples/bancarella",
		Flags:       append(storeFlags(), &cli.StringFlag{Name: "by", Usage: "name of the operator, for the history"}),
		Action:      runApply,
	}
}

func runApply(ctx context.Context, cmd *cli.Command) error {
	set, store, err := setAndStore(cmd)
	if err != nil {
		return err
	}
	result, err := publish.Apply(ctx, store, set, operatorName(cmd))
	var configErrs load.Errors
	if errors.As(err, &configErrs) {
		return &UsageError{Err: err}
	}
	if err != nil {
		return err
	}
	verb := "applied"
	if result.Unchanged {
		verb = "unchanged,"
	}
	fmt.Fprintf(cmd.Root().Writer, "%s generation %d digest %.12s\n", verb, result.Head.Generation, result.Head.Digest)
	return nil
}
