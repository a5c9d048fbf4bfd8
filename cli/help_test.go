package cli

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

// leafCommands returns the command lines of the commands without subcommands.
func leafCommands(prefix []string, cmds []*cli.Command) [][]string {
	var out [][]string
	for _, c := range cmds {
		line := append(append([]string(nil), prefix...), c.Name)
		if len(c.Commands) > 0 {
			out = append(out, leafCommands(line, c.Commands)...)
			continue
		}
		out = append(out, line)
	}
	return out
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	for _, line := range leafCommands(nil, commands()) {
		code, out, _ := runCommand(append(line, "--help")...)
		require.Equal(t, ExitOK, code, "%v", line)
		require.Contains(t, out, "Example", "%v", line)
		// The command line appears in the name, in the usage and in at least one
		// example.
		require.GreaterOrEqual(t, strings.Count(out, "rhubarbsaddle "+strings.Join(line, " ")), 3, "%v", line)
	}
}

func TestVersionIsPrinted(t *testing.T) {
	code, out, _ := runCommand("version")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, Version)
}
