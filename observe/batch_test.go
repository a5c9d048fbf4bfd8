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

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

func TestBatchWriterNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := observe.NewBatchWriter(out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	began := time.Now()
	for range 2000 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	assert.Less(t, time.Since(began), time.Second)
	close(out.release)
	require.NoError(t, w.Close())
	lines := strings.Count(out.got.String(), "x\n")
	assert.Less(t, lines, 2000)
	assert.Greater(t, lines, 200)
	assert.Contains(t, out.got.String(), "log_lines_dropped")
}
