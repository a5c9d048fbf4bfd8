package observe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushPeriod is the time between two writes to the output.
	flushPeriod = 100 * time.Millisecond
	// maxBufferedBytes bounds the buffered lines. At 300 bytes a line, it is enough for
	// one second at some 800 lines per second.
	maxBufferedBytes = 256 << 10
)

// BatchWriter buffers log lines and writes them in batches. Write never waits for
// the output: when the buffer is full it drops lines, and an extra line reports how
// many. It is safe for concurrent use.
type BatchWriter struct {
	out io.Writer

	mu      sync.Mutex
	lines   bytes.Buffer
	spare   bytes.Buffer
	dropped int
	stop    chan struct{}
	done    chan struct{}
}

// NewBatchWriter returns a writer to out and starts its goroutine, which runs until
// Close.
func NewBatchWriter(out io.Writer) *BatchWriter {
	w := &BatchWriter{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line or drops it. It never fails.
func (w *BatchWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lines.Len()+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	return w.lines.Write(line)
}

// Close writes the buffered lines and stops the goroutine.
func (w *BatchWriter) Close() error {
	close(w.stop)
	<-w.done
	return nil
}

func (w *BatchWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushPeriod)
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
		// A failure to write the log can't be reported anywhere.
		_, _ = w.out.Write(w.spare.Bytes())
	}
	w.spare.Reset()
}
