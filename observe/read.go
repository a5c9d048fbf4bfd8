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
	// maxLineBytes bounds a line.
	maxLineBytes = 1 << 20
	// fetchTimeout bounds the time to fetch one daemon's log.
	fetchTimeout = 30 * time.Second
)

// ReadError is a failure to read a log.
type ReadError struct {
	// Step is open, fetch, read or parse.
	Step string
	// Source is the file or the URL.
	Source string
	// Line is the number of the invalid line, or zero.
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

// Read calls fn for every line. It skips a last line without a newline, because the
// process that wrote the log may have crashed within that line.
func Read(r io.Reader, source string, fn func(Line)) error {
	lines := bufio.NewReaderSize(r, maxLineBytes)
	for number := 1; ; number++ {
		data, err := lines.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &ReadError{Step: "read", Source: source, Line: number, Err: err}
		}
		var line Line
		if err := json.Unmarshal(data, &line); err != nil {
			return &ReadError{Step: "parse", Source: source, Line: number, Err: err}
		}
		fn(line)
	}
}

// logPattern matches the file names of logs and of rotated logs.
const logPattern = "*.jsonl*"

// Files returns paths with each directory replaced by the paths of the logs in it.
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
		matches, err := filepath.Glob(filepath.Join(path, logPattern))
		if err != nil {
			return nil, &ReadError{Step: "open", Source: path, Err: err}
		}
		files = append(files, matches...)
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

// Fetch reads the log that a daemon keeps in memory and serves at url.
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
