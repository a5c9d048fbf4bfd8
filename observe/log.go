package observe

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
)

const (
	// DefaultMemoryBytes bounds the lines kept in memory.
	DefaultMemoryBytes = 4 << 20
	// DefaultFileBytes bounds the file; a full one is kept as FILE.1.
	DefaultFileBytes = 256 << 20
)

// LogError is a failure to write the log. The lines in memory go on.
type LogError struct {
	// Step is open, write or rotate.
	Step string
	// Path is the path of the file.
	Path string
	Err  error
}

// Error returns the step, the file and the cause.
func (e *LogError) Error() string { return fmt.Sprintf("%s event log %s: %v", e.Step, e.Path, e.Err) }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Err }

// LogOptions sets up a Log. Zero fields take defaults.
type LogOptions struct {
	// Path is the file; empty keeps the lines in memory only.
	Path        string
	MemoryBytes int
	FileBytes   int64
}

// Log appends lines to a file and keeps the latest ones for readers over HTTP.
// It is safe for concurrent use.
type Log struct {
	options LogOptions

	mu   sync.Mutex
	file *os.File
	size int64
	// kept holds the latest lines, the oldest first.
	kept  [][]byte
	bytes int
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
func (l *Log) AppendObservation(o Observation) error { return l.append(Line{Observation: &o}) }

// AppendDecision appends a decision.
func (l *Log) AppendDecision(d Decision) error { return l.append(Line{Decision: &d}) }

// append appends a line.
func (l *Log) append(line Line) error {
	data, err := json.Marshal(line)
	if err != nil {
		return &LogError{Step: "write", Path: l.options.Path, Err: err}
	}
	data = append(data, '\n')
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep(data)
	if l.options.Path == "" {
		return nil
	}
	return l.write(data)
}

// keep keeps a line in memory and drops the oldest ones.
func (l *Log) keep(data []byte) {
	l.kept = append(l.kept, data)
	l.bytes += len(data)
	for l.bytes > l.options.MemoryBytes && len(l.kept) > 1 {
		l.bytes -= len(l.kept[0])
		l.kept[0] = nil
		l.kept = l.kept[1:]
	}
}

// write writes a line to the file and replaces a full file.
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

// rotate keeps the full file under another name and begins a new one.
func (l *Log) rotate() error {
	_ = l.file.Close()
	l.file = nil
	if err := os.Rename(l.options.Path, l.options.Path+".1"); err != nil {
		return &LogError{Step: "rotate", Path: l.options.Path, Err: err}
	}
	return l.open()
}

// ServeHTTP answers with the lines in memory.
func (l *Log) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	lines := append([][]byte(nil), l.kept...)
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
