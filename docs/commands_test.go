// Package docs checks that the commands in the documentation pages work.
package docs

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/cli"
)

// executablePrefix begins a command that runs as written in the root directory.
const executablePrefix = "go run ./cmd/rhubarbsaddle "

// checkedPrefix begins a command that needs running daemons. It is not executed;
// its subcommand and flags are checked against the help text.
const checkedPrefix = "rhubarbsaddle "

// pages returns the paths of the pages to search for commands.
func pages(t *testing.T) []string {
	t.Helper()
	names := []string{"README.md", "CONTRIBUTING.md"}
	topPages, err := filepath.Glob("docs/*.md")
	require.NoError(t, err)
	designNotes, err := filepath.Glob("docs/design/*.md")
	require.NoError(t, err)
	return append(append(names, topPages...), designNotes...)
}

// commandsWithPrefix returns the distinct commands with a prefix, in order of
// their first occurrence.
func commandsWithPrefix(t *testing.T, prefix string) []string {
	t.Helper()
	var found []string
	seen := map[string]bool{}
	inline := regexp.MustCompile("`(" + regexp.QuoteMeta(prefix) + "[^`]*)`")
	for _, name := range pages(t) {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		for line := range strings.Lines(string(data)) {
			var lineCommands []string
			if text := strings.TrimSpace(line); strings.HasPrefix(text, prefix) {
				lineCommands = append(lineCommands, text)
			}
			for _, m := range inline.FindAllStringSubmatch(line, -1) {
				lineCommands = append(lineCommands, m[1])
			}
			for _, w := range lineCommands {
				if !seen[w] {
					seen[w] = true
					found = append(found, w)
				}
			}
		}
	}
	return found
}

func runCLI(args []string) (int, string) {
	var out bytes.Buffer
	code := cli.Run(context.Background(), append([]string{"rhubarbsaddle"}, args...), &out, &out)
	return code, out.String()
}

// TestCommandsRun executes the commands of the pages. It is skipped unless
// DOCS=1, because the commands take about two minutes.
func TestCommandsRun(t *testing.T) {
	if os.Getenv("DOCS") != "1" {
		t.Skip("set DOCS=1 to execute the commands of the pages")
	}
	t.Chdir("..")
	for _, line := range commandsWithPrefix(t, executablePrefix) {
		args, _, _ := strings.Cut(strings.TrimPrefix(line, executablePrefix), " > ")
		t.Run(args, func(t *testing.T) {
			code, out := runCLI(strings.Fields(args))
			require.Zero(t, code, out)
		})
	}
}

// TestCommandsExist checks the commands that need running daemons: the
// subcommand exists and has every flag.
func TestCommandsExist(t *testing.T) {
	t.Chdir("..")
	for _, line := range commandsWithPrefix(t, checkedPrefix) {
		t.Run(line, func(t *testing.T) {
			words := strings.Fields(strings.TrimPrefix(line, checkedPrefix))
			code, help := runCLI(append(subcommandWords(words), "--help"))
			require.Zero(t, code, help)
			require.Contains(t, help, strings.Join(subcommandWords(words), " "))
			for _, w := range words {
				if strings.HasPrefix(w, "--") {
					require.Contains(t, help, w)
				}
			}
		})
	}
}

// subcommandWords returns the words that name the subcommand: two for the groups
// bench, report and config, three for the group bench ablation, else one.
func subcommandWords(words []string) []string {
	n := 1
	switch {
	case len(words) > 1 && words[0] == "bench" && words[1] == "ablation":
		n = 3
	case words[0] == "bench" || words[0] == "report" || words[0] == "config":
		n = 2
	}
	return words[:min(n, len(words))]
}
