// Package timeline reads the log lines of the processes. It explains how a request, or
// each request of a program, ended.
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
	"strconv"
	"strings"
	"time"
)

// maxLineBytes bounds one line of a log. A line with a large membership of the ledger
// has several kilobytes.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event string    `json:"event"`
	// Request and Program are the ids that the line is about; empty if it is about
	// the process.
	Request string `json:"request"`
	Program string `json:"program"`
	// Status, Reason and Cause say how a request ended. Status 0 means that its
	// answer was interrupted.
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Cause  string `json:"cause"`
	// Received is the time that a supervisor has added in front of the line, in seconds since
	// a moment of its choice; zero if there is none. Other than Time, it is comparable
	// between VMs whose clocks differ.
	Received time.Duration `json:"-"`
	// Fields are the other fields, as text.
	Fields map[string]string `json:"-"`
}

// separateFields are the log fields that are not copied to Line.Fields. There is one
// exception: a message is copied if it is not empty.
var separateFields = []string{"time", "level", "vm", "event", "request", "program", "status", "reason", "cause", "message"}

// Read returns the lines of a log, and the number of lines that it skipped because
// they are not in this format. It ignores text before the JSON object of a line, except
// for a time in seconds that a supervisor adds.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := findLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log: %w", err)
	}
	return lines, skipped, nil
}

// at returns the time of the line by the supervisor's clock, or else by the VM's.
func (l *Line) at() time.Time {
	if l.Received > 0 {
		return time.Unix(0, 0).Add(l.Received)
	}
	return l.Time
}

// receivedTime returns the number of seconds at the beginning of a text; zero if there is
// none.
func receivedTime(text []byte) time.Duration {
	first, _, _ := bytes.Cut(bytes.TrimSpace(text), []byte(" "))
	seconds, err := strconv.ParseFloat(string(first), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// findLine parses the log line at the end of a text. A supervisor may join an
// incomplete line of one process with a complete line of another.
func findLine(text []byte) (Line, bool) {
	received := receivedTime(text)
	for begin := bytes.IndexByte(text, '{'); begin >= 0; {
		text = text[begin:]
		if line, ok := parseLine(text); ok {
			line.Received = received
			return line, true
		}
		begin = bytes.IndexByte(text[1:], '{') + 1
		if begin == 0 {
			break
		}
	}
	return Line{}, false
}

func parseLine(text []byte) (Line, bool) {
	var line Line
	var all map[string]any
	if json.Unmarshal(text, &line) != nil || json.Unmarshal(text, &all) != nil || line.Event == "" || line.Time.IsZero() {
		return Line{}, false
	}
	line.Fields = make(map[string]string, len(all))
	for name, value := range all {
		if value != nil && !slices.Contains(separateFields, name) {
			line.Fields[name] = fmt.Sprint(value)
		}
	}
	if message, ok := all["message"].(string); ok && message != "" {
		line.Fields["message"] = message
	}
	return line, true
}

// concerns reports whether the line is about the request or program.
func (l *Line) concerns(id string) bool { return l.Request == id || l.Program == id }

// String returns the line as printed in a timeline.
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

// compareLines orders lines by time, then by VM.
func compareLines(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
}
