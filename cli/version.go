package cli

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"
)

// Version is the version of the command line and the daemons.
const Version = "0.1.0"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: "Example:\n  rhubarbsaddle version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintf(cmd.Root().Writer, "rhubarbsaddle %s %s/%s %s\n",
				Version, runtime.GOOS, runtime.GOARCH, runtime.Version())
			return err
		},
	}
}
