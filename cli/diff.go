package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/publish"
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "show what an apply would change",
		ArgsUsage:   "DIR",
		Description: "Example:\n  rhubarbsaddle diff --store 10.0.0.2:2379 examples/bancarella",
		Flags:       append(storeFlags(), jsonFlag()),
		Action:      runDiff,
	}
}

// jsonFlag is the flag that selects JSON instead of a table.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

func runDiff(ctx context.Context, cmd *cli.Command) error {
	set, store, err := setAndStore(cmd)
	if err != nil {
		return err
	}
	old, err := appliedSet(ctx, store)
	if err != nil {
		return err
	}
	changes, err := publish.Diff(old, set)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return json.NewEncoder(cmd.Root().Writer).Encode(changes)
	}
	for _, c := range changes {
		fmt.Fprintln(cmd.Root().Writer, c)
	}
	fmt.Fprintf(cmd.Root().Writer, "%d changes\n", len(changes))
	return nil
}

// appliedSet returns the set in force, or nil if none was applied yet.
func appliedSet(ctx context.Context, store publish.Store) (*config.Set, error) {
	head, _, err := publish.ReadHead(ctx, store)
	if err != nil || head.Generation == 0 {
		return nil, err
	}
	return publish.ReadSet(ctx, store, head)
}
