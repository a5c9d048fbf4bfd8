// Package cli is the operators' command line. Each command is defined in its own
// file and registered in commands.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Exit codes of the command line.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that the input was invalid and nothing was done.
	ExitUsage = 2
)

// UsageError marks invalid input; the process exits with ExitUsage.
type UsageError struct{ Err error }

// Error returns the text of the wrapped error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *UsageError) Unwrap() error { return e.Err }

// commands lists the subcommands in the order of the help text.
func commands() []*cli.Command {
	return []*cli.Command{
		checkCommand(),
		configCommand(),
		reportCommand(),
		explainCommand(),
		statusCommand(),
		drainCommand(),
		demoCommand(),
		entryCommand(),
		sidecarCommand(),
		diffCommand(),
		applyCommand(),
		historyCommand(),
		benchCommand(),
		versionCommand(),
	}
}

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:                  "rhubarbsaddle",
		Usage:                 "schedule agent programs over pools of model engines and services",
		Version:               Version,
		EnableShellCompletion: true,
		Commands:              commands(),
		Flags:                 tlsFlags(),
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	markUsageErrors(root)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "error:", err)
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}

// markUsageErrors makes an invalid flag of any command a UsageError.
func markUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Err: err}
	}
	for _, sub := range cmd.Commands {
		markUsageErrors(sub)
	}
}
