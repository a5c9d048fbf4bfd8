package observe

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	// maxLine bounds a line in bytes.
	maxLine = 1 << 20
	// fetchTimeout bounds the reading of one daemon's log.
	fetchTimeout = 30 * time.Second
)

// ReadError is a failure to read a log.
type ReadError struct {
	// Step is open, fetch, read or parse.
	Step string
	// Source is the file or the URL.
	Source string
	// Line is the number of the line at fault, or zero.
	Line int
	Err  error
}

// Error returns the step, the source and the cause.
func (e *ReadError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%s event log %s: line %d: %v", e.Step, e.Source, e.Line, e.Err)
	}
	return fmt.Sprintf("%s event log %s: %v", e.Step, e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Read calls fn for every line. A last line without its end is left out: its
// writer may have died while it wrote.
func Read(r io.Reader, peer string, fn func(Line)) error {
	lines := bufio.NewReaderSize(r, maxLine)
	for n := 1; ; n++ {
		data, err := lines.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &ReadError{Step: "read", Source: peer, Line: n, Err: err}
		}
		var line Line
		if err := json.Unmarshal(data, &line); err != nil {
			return &ReadError{Step: "parse", Source: peer, Line: n, Err: err}
		}
		fn(line)
	}
}

// logPattern matches the names of logs and of full logs kept beside them.
const logPattern = "*.jsonl*"

// Files returns the paths of logs, with each folder replaced by its logs.
func Files(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, &ReadError{Step: "open", Source: path, Err: err}
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		found, err := filepath.Glob(filepath.Join(path, logPattern))
		if err != nil {
			return nil, &ReadError{Step: "open", Source: path, Err: err}
		}
		files = append(files, found...)
	}
	return files, nil
}

// ReadFile reads the log in a file.
func ReadFile(path string, fn func(Line)) error {
	file, err := os.Open(path)
	if err != nil {
		return &ReadError{Step: "open", Source: path, Err: err}
	}
	defer file.Close()
	return Read(file, path, fn)
}

// Fetch reads the log that a daemon keeps in memory.
func Fetch(ctx context.Context, client *http.Client, url string, fn func(Line)) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return &ReadError{Step: "fetch", Source: url, Err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return &ReadError{Step: "fetch", Source: url, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &ReadError{Step: "fetch", Source: url, Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	return Read(resp.Body, url, fn)
}
