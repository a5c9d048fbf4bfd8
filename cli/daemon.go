package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon"
)

// flagSettings is the name of the flag for a process's settings file.
const flagSettings = "settings"

func entryCommand() *cli.Command {
	return daemonCommand("entry", "run an entry: the process that callers connect to",
		"A SIGTERM or SIGINT shuts it down gracefully.\n\nExample:\n  rhubarbsaddle entry --settings entry.yaml")
}

func sidecarCommand() *cli.Command {
	return daemonCommand("sidecar", "run a sidecar: the process beside one target",
		"A SIGTERM or SIGINT shuts it down gracefully.\n\nExample:\n  rhubarbsaddle sidecar --settings sidecar.yaml")
}

func daemonCommand(role, usage, description string) *cli.Command {
	return &cli.Command{
		Name:        role,
		Usage:       usage,
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` of the process", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runDaemon(ctx, cmd, role) },
	}
}

func runDaemon(ctx context.Context, cmd *cli.Command, role string) error {
	settings, err := load.Node(cmd.String(flagSettings))
	if err != nil {
		return &UsageError{Err: err}
	}
	if settings.Role != role {
		return &UsageError{Err: fmt.Errorf("%s: role is %s; run the subcommand %s",
			cmd.String(flagSettings), settings.Role, settings.Role)}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return daemon.Run(ctx, settings, daemon.NewLogger(settings, cmd.Root().ErrWriter))
}
