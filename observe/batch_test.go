package observe_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// blockingWriter is an output that blocks until it is released.
type blockingWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

func TestBatchWriterDropsAndCountsLinesWhileOutputBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := observe.NewBatchWriter(out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	start := time.Now()
	for range 2000 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	assert.Less(t, time.Since(start), time.Second)
	close(out.release)
	require.NoError(t, w.Close())
	lines := strings.Count(out.written.String(), "x\n")
	assert.Less(t, lines, 2000)
	assert.Greater(t, lines, 200)
	assert.Contains(t, out.written.String(), "log_lines_dropped")
}
