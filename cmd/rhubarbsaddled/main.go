// Command rhubarbsaddled contains the daemons that run on the users' platform.
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
			role(config.ResidentEntry, "serve callers and place their calls on targets"),
			role(config.ResidentLedger, "store programs' spending and turns"),
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
		Description: "Reads the settings file that is named by the environment variable " + resident.SettingsVariable + ".",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "experiment", Usage: "accept settings that disable mechanisms; not for service"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return resident.Run(ctx, name, c.Bool("experiment"))
		},
	}
}
