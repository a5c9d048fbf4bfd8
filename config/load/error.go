package load

import (
	"fmt"
	"strings"
)

// Error is a fault of one field of a settings file.
type Error struct {
	File string
	// Line counts from 1; zero means that the fault has no line of its own.
	Line  int
	Field string
	Text  string
	Fix   string
}

// Error returns file, line, field, fault and remedy.
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

// Errors is all faults of a set or of a process's settings.
type Errors []*Error

// Error returns one fault a line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
