package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/config/publish"
)

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list the applied generations, newest first",
		Description: "Example:\n  rhubarbsaddle history --store 10.0.0.2:2379",
		Flags:       append(storeFlags(), jsonFlag()),
		Action:      runHistory,
	}
}

func runHistory(ctx context.Context, cmd *cli.Command) error {
	store, err := openStore(cmd)
	if err != nil {
		return err
	}
	heads, err := publish.History(ctx, store)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return json.NewEncoder(cmd.Root().Writer).Encode(heads)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GENERATION\tDIGEST\tBY\tAT")
	for _, h := range heads {
		fmt.Fprintf(w, "%d\t%.12s\t%s\t%s\n", h.Generation, h.Digest, h.By, h.At.Format(time.RFC3339))
	}
	return w.Flush()
}
