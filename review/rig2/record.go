package rig2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Add adds a line.
func (r *Record) Add(event string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%.3f %s", time.Since(r.start).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(r.out, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(r.out)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
