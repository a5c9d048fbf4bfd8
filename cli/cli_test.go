package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/standin/kv"
)

// run executes one command line and returns its exit code and output.
func run(args ...string) (int, string) {
	var out bytes.Buffer
	code := Run(context.Background(), append([]string{"rhubarbsaddle"}, args...), &out, &out)
	return code, out.String()
}

const example = "../examples/bancarella"

// copyExampleWith copies the example set and replaces a text in pools.yaml.
func copyExampleWith(t *testing.T, old, new string) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(example)))
	file := filepath.Join(dir, "pools.yaml")
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Contains(t, string(data), old)
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(data), old, new, 1)), 0o600))
	return dir
}

func TestCheckExitCodes(t *testing.T) {
	code, out := run("check", example)
	require.Equal(t, ExitOK, code, out)
	code, out = run("check", copyExampleWith(t, "max_batch", "max_bach"))
	require.Equal(t, ExitUsage, code)
	require.Contains(t, out, "pools.yaml:9: max_bach")
	code, _ = run("check")
	require.Equal(t, ExitUsage, code)
	code, _ = run("check", "--no-such-flag", example)
	require.Equal(t, ExitUsage, code)
}

func TestApplyDiffAndHistory(t *testing.T) {
	server := kv.NewServer(kv.Options{})
	at, err := server.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()

	code, out := run("apply", "--store", at, "--by", "anna", example)
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "applied generation 1")

	changed := copyExampleWith(t, "max_batch: 32", "max_batch: 24")
	code, out = run("diff", "--store", at, changed)
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "~ pools[assistant].engine.max_batch: 32 -> 24\n1 changes")

	code, out = run("apply", "--store", at, "--by", "bruno", changed)
	require.Equal(t, ExitOK, code, out)
	code, out = run("history", "--store", at)
	require.Equal(t, ExitOK, code, out)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 3)
	require.Contains(t, lines[1], "bruno")
	require.Contains(t, lines[2], "anna")
}
