package observe

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
)

const (
	// DefaultMemoryBytes bounds the lines that are kept in memory.
	DefaultMemoryBytes = 4 << 20
	// DefaultFileBytes bounds the file; a full one is renamed to FILE.1.
	DefaultFileBytes = 256 << 20
)

// LogError is a failure to open, write or rotate the file of a log. A line that could
// not be written to the file is still kept in memory.
type LogError struct {
	// Step is open, write or rotate.
	Step string
	// Path is the path of the file.
	Path string
	Err  error
}

// Error returns the step, the path and the cause.
func (e *LogError) Error() string { return fmt.Sprintf("%s event log %s: %v", e.Step, e.Path, e.Err) }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Err }

// LogOptions configures a Log. Zero sizes mean the defaults.
type LogOptions struct {
	// Path is the file; if empty, lines are kept in memory only.
	Path        string
	MemoryBytes int
	FileBytes   int64
}

// Log appends lines to a file. It also keeps the latest lines in memory and serves
// them over HTTP. It is safe for concurrent use.
type Log struct {
	options LogOptions

	mu   sync.Mutex
	file *os.File
	size int64
	// recent holds the latest lines, oldest first.
	recent      [][]byte
	recentBytes int
}

// NewLog opens a log.
func NewLog(o LogOptions) (*Log, error) {
	if o.MemoryBytes <= 0 {
		o.MemoryBytes = DefaultMemoryBytes
	}
	if o.FileBytes <= 0 {
		o.FileBytes = DefaultFileBytes
	}
	l := &Log{options: o}
	if o.Path == "" {
		return l, nil
	}
	if err := l.open(); err != nil {
		return nil, err
	}
	return l, nil
}

// open opens the file for appending.
func (l *Log) open() error {
	file, err := os.OpenFile(l.options.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return &LogError{Step: "open", Path: l.options.Path, Err: err}
	}
	info, err := file.Stat()
	if err != nil {
		_ = file.Close()
		return &LogError{Step: "open", Path: l.options.Path, Err: err}
	}
	l.file = file
	l.size = info.Size()
	return nil
}

// AppendObservation appends an observation.
func (l *Log) AppendObservation(o Observation) error { return l.appendLine(Line{Observation: &o}) }

// AppendDecision appends a decision.
func (l *Log) AppendDecision(d Decision) error { return l.appendLine(Line{Decision: &d}) }

func (l *Log) appendLine(line Line) error {
	data, err := json.Marshal(line)
	if err != nil {
		return &LogError{Step: "write", Path: l.options.Path, Err: err}
	}
	data = append(data, '\n')
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addRecent(data)
	if l.options.Path == "" {
		return nil
	}
	return l.write(data)
}

// addRecent adds a line to those in memory and drops the oldest ones beyond the
// limit.
func (l *Log) addRecent(data []byte) {
	l.recent = append(l.recent, data)
	l.recentBytes += len(data)
	for l.recentBytes > l.options.MemoryBytes && len(l.recent) > 1 {
		l.recentBytes -= len(l.recent[0])
		l.recent[0] = nil
		l.recent = l.recent[1:]
	}
}

// write writes a line to the file. It rotates the file if the file is full.
func (l *Log) write(data []byte) error {
	if l.file == nil {
		if err := l.open(); err != nil {
			return err
		}
	}
	n, err := l.file.Write(data)
	l.size += int64(n)
	if err != nil {
		return &LogError{Step: "write", Path: l.options.Path, Err: err}
	}
	if l.size < l.options.FileBytes {
		return nil
	}
	return l.rotate()
}

// rotate renames the full file and opens a new one.
func (l *Log) rotate() error {
	_ = l.file.Close()
	l.file = nil
	if err := os.Rename(l.options.Path, l.options.Path+".1"); err != nil {
		return &LogError{Step: "rotate", Path: l.options.Path, Err: err}
	}
	return l.open()
}

// ServeHTTP responds with the lines in memory.
func (l *Log) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	lines := append([][]byte(nil), l.recent...)
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/jsonl")
	for _, line := range lines {
		if _, err := w.Write(line); err != nil {
			return
		}
	}
}

// Close closes the file.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return err
}
