// Package timeline explains from the processes' log lines what became of a request
// or a program.
package timeline

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one line of a log; that of a membership with many seats is
// some kilobytes.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event string    `json:"event"`
	// Request and Program are what the line is about; empty if it is about the
	// process.
	Request string `json:"request"`
	Program string `json:"program"`
	// Status, Reason and Cause say how a request ended. Status 0 is an answer that
	// was cut off.
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Cause  string `json:"cause"`
	// Fields are all further fields, as text.
	Fields map[string]string `json:"-"`
}

// shown are the fields of a Line that have a place of their own.
var shown = []string{"time", "level", "vm", "event", "request", "program", "status", "reason", "cause", "message"}

// Read returns the lines of a log, and how many it left out because they are not
// of this format. What stands before a line's first brace is dropped, such as the
// time that a supervisor adds.
func Read(in io.Reader) (lines []Line, other int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := find(scanner.Bytes())
		if !ok {
			other++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log: %w", err)
	}
	return lines, other, nil
}

// find parses the log line that a text ends with. A supervisor may join the
// beginning of one process's line with another's whole line.
func find(text []byte) (Line, bool) {
	for begin := bytes.IndexByte(text, '{'); begin >= 0; {
		text = text[begin:]
		if line, ok := parse(text); ok {
			return line, true
		}
		begin = bytes.IndexByte(text[1:], '{') + 1
		if begin == 0 {
			break
		}
	}
	return Line{}, false
}

func parse(text []byte) (Line, bool) {
	var line Line
	var all map[string]any
	if json.Unmarshal(text, &line) != nil || json.Unmarshal(text, &all) != nil || line.Event == "" || line.Time.IsZero() {
		return Line{}, false
	}
	line.Fields = make(map[string]string, len(all))
	for name, value := range all {
		if value != nil && !slices.Contains(shown, name) {
			line.Fields[name] = fmt.Sprint(value)
		}
	}
	if message, ok := all["message"].(string); ok && message != "" {
		line.Fields["message"] = message
	}
	return line, true
}

// about says whether the line is about a request or program.
func (l *Line) about(id string) bool { return l.Request == id || l.Program == id }

// String returns the line as it stands in a timeline.
func (l *Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s  %s  %s", l.Time.UTC().Format("15:04:05.000"), l.VM, l.Event)
	if l.Event == eventEnd {
		fmt.Fprintf(&out, " status=%d reason=%s", l.Status, l.Reason)
	}
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[name]; value != "" && value != "0" {
			fmt.Fprintf(&out, " %s=%s", name, value)
		}
	}
	if l.Cause != "" {
		fmt.Fprintf(&out, " cause=%q", l.Cause)
	}
	return out.String()
}

// byTime orders lines of several processes.
func byTime(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
}
