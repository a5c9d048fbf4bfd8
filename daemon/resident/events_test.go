package resident

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// loggingDirs are the directories whose packages log events in the entry and ledger
// daemons on the platform.
var loggingDirs = []string{"../../relay", "../../discovery", "../../ledger", "../../daemon/resident", "../../observe"}

// loggedEvents returns the event names in a file: NAME of each call Str("event",
// "NAME").
func loggedEvents(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	var events []string
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 2 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || method.Sel.Name != "Str" || stringLiteral(call.Args[0]) != "event" {
			return true
		}
		events = append(events, stringLiteral(call.Args[1]))
		return true
	})
	return events
}

// stringLiteral returns the value of a string literal, or "" for any other
// expression.
func stringLiteral(e ast.Expr) string {
	literal, ok := e.(*ast.BasicLit)
	if !ok {
		return ""
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return ""
	}
	return value
}

func TestEveryLogEventIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	found := 0
	for _, dir := range loggingDirs {
		require.NoError(t, filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			for _, event := range loggedEvents(t, path) {
				found++
				assert.Contains(t, string(page), "`"+event+"`", "%s: not in docs/OPERATIONS.md", path)
			}
			return nil
		}))
	}
	assert.Greater(t, found, 40)
}
