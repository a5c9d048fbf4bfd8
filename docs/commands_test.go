// Package docs checks that the commands named in the pages work.
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

// runPrefix begins a command that runs as written, from the top folder.
const runPrefix = "go run ./cmd/rhubarbsaddle "

// showPrefix begins a command that needs running daemons; its words are checked
// against the command's help.
const showPrefix = "rhubarbsaddle "

// pages returns the pages that name commands.
func pages(t *testing.T) []string {
	t.Helper()
	names := []string{"README.md", "CONTRIBUTING.md"}
	more, err := filepath.Glob("docs/*.md")
	require.NoError(t, err)
	notes, err := filepath.Glob("docs/design/*.md")
	require.NoError(t, err)
	return append(append(names, more...), notes...)
}

// commands returns the distinct commands with a prefix, in order.
func commands(t *testing.T, prefix string) []string {
	t.Helper()
	var found []string
	seen := map[string]bool{}
	inline := regexp.MustCompile("`(" + regexp.QuoteMeta(prefix) + "[^`]*)`")
	for _, name := range pages(t) {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		for line := range strings.Lines(string(data)) {
			var words []string
			if text := strings.TrimSpace(line); strings.HasPrefix(text, prefix) {
				words = append(words, text)
			}
			for _, m := range inline.FindAllStringSubmatch(line, -1) {
				words = append(words, m[1])
			}
			for _, w := range words {
				if !seen[w] {
					seen[w] = true
					found = append(found, w)
				}
			}
		}
	}
	return found
}

func execute(args []string) (int, string) {
	var out bytes.Buffer
	code := cli.Run(context.Background(), append([]string{"rhubarbsaddle"}, args...), &out, &out)
	return code, out.String()
}

// TestCommandsRun runs the commands of the pages, with DOCS=1. They take about
// two minutes.
func TestCommandsRun(t *testing.T) {
	if os.Getenv("DOCS") != "1" {
		t.Skip("set DOCS=1 to run the commands of the pages")
	}
	t.Chdir("..")
	for _, line := range commands(t, runPrefix) {
		args, _, _ := strings.Cut(strings.TrimPrefix(line, runPrefix), " > ")
		t.Run(args, func(t *testing.T) {
			code, out := execute(strings.Fields(args))
			require.Zero(t, code, out)
		})
	}
}

// TestCommandsExist checks commands that need running daemons: the subcommand
// exists and knows every flag.
func TestCommandsExist(t *testing.T) {
	t.Chdir("..")
	for _, line := range commands(t, showPrefix) {
		t.Run(line, func(t *testing.T) {
			words := strings.Fields(strings.TrimPrefix(line, showPrefix))
			code, help := execute(append(subcommand(words), "--help"))
			require.Zero(t, code, help)
			require.Contains(t, help, strings.Join(subcommand(words), " "))
			for _, w := range words {
				if strings.HasPrefix(w, "--") {
					require.Contains(t, help, w)
				}
			}
		})
	}
}

// subcommand returns the words before the first flag or argument.
func subcommand(words []string) []string {
	n := 1
	if words[0] == "bench" || words[0] == "report" {
		n = 2
	}
	return words[:min(n, len(words))]
}
