package load

import (
	"fmt"
	"strings"
)

// Error is an error in a configuration or settings file.
type Error struct {
	File string
	// Line counts from 1; zero means that the error does not concern one line.
	Line  int
	Field string
	Text  string
	Fix   string
}

// Error returns file, line, field, text and fix.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Field != "" {
		fmt.Fprintf(&b, ": %s", e.Field)
	}
	fmt.Fprintf(&b, ": %s", e.Text)
	if e.Fix != "" {
		fmt.Fprintf(&b, " (%s)", e.Fix)
	}
	return b.String()
}

// Errors holds all errors of a set or of a process's settings.
type Errors []*Error

// Error returns one error per line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
