package observe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// batchPeriod is the time between two writes of collected lines.
	batchPeriod = 100 * time.Millisecond
	// batchBytes bounds the lines that wait to be written. At 300 bytes a line it
	// holds a second of some 800 lines.
	batchBytes = 256 << 10
)

// BatchWriter collects log lines and writes them together. Its callers never wait
// for the output: lines that find no room are dropped and counted in a line of
// their own.
type BatchWriter struct {
	out io.Writer

	mu      sync.Mutex
	lines   bytes.Buffer
	spare   bytes.Buffer
	dropped int
	stop    chan struct{}
	done    chan struct{}
}

// NewBatchWriter returns a writer to out that runs until Close.
func NewBatchWriter(out io.Writer) *BatchWriter {
	w := &BatchWriter{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails.
func (w *BatchWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lines.Len()+len(line) > batchBytes {
		w.dropped++
		return len(line), nil
	}
	return w.lines.Write(line)
}

// Close writes what is left.
func (w *BatchWriter) Close() error {
	close(w.stop)
	<-w.done
	return nil
}

func (w *BatchWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(batchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *BatchWriter) flush() {
	w.mu.Lock()
	w.lines, w.spare = w.spare, w.lines
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		fmt.Fprintf(&w.spare, "{\"level\":\"warn\",\"event\":\"log_lines_dropped\",\"lines\":%d}\n", dropped)
	}
	if w.spare.Len() > 0 {
		// There is no other place to tell of a failure to write the log.
		_, _ = w.out.Write(w.spare.Bytes())
	}
	w.spare.Reset()
}
