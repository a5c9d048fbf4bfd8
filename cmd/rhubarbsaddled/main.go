// Command rhubarbsaddled holds the daemons that run on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/resident"
)

func main() {
	command := &cli.Command{
		Name:  "rhubarbsaddled",
		Usage: "daemons of the scheduler for agent programs",
		Commands: []*cli.Command{
			role(config.ResidentEntry, "serves callers and places their calls"),
			role(config.ResidentLedger, "keeps programs' spending and turns"),
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func role(name, usage string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Description: "The settings file stands in " + resident.SettingsVariable + ".",
		Action:      func(ctx context.Context, _ *cli.Command) error { return resident.Run(ctx, name) },
	}
}
