package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "shut processes down gracefully",
		Description: "A draining process accepts no new work, finishes its calls in progress and exits.\n\n" +
			"Example:\n  rhubarbsaddle drain --node 10.0.0.1:9000",
		Flags:  []cli.Flag{nodeFlag()},
		Action: runDrain,
	}
}

func runDrain(ctx context.Context, cmd *cli.Command) error {
	var failed error
	for _, addr := range cmd.StringSlice("node") {
		err := operatorCall(ctx, cmd, "drain", http.MethodPost, addr, "/drain", nil)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		fmt.Fprintf(cmd.Root().Writer, "%s: draining\n", addr)
	}
	return failed
}
