package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// longStream is a stream of more than all buffers on the way hold.
func longStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	data := strings.Repeat("x", 64<<10)
	for id := 1; id <= 300; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data); err != nil {
			return
		}
	}
}

// sendUnread sends a request and leaves its answer unread.
func (b *testbed) sendUnread(path, deadlineMS string) *net.TCPConn {
	b.t.Helper()
	nc, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = nc.Close() })
	_, err = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: u\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx",
		path, host, platformtest.RequestID, platformtest.Deadline, deadlineMS)
	require.NoError(b.t, err)
	return nc.(*net.TCPConn)
}

// A caller left events unread for a while. Its target counted as stalled, and another one got the
// rest of the stream.
func TestCallerThatReadsLateKeepsItsTarget(t *testing.T) {
	targets := []*platformtest.Target{platformtest.NewTarget("i1", longStream), platformtest.NewTarget("i2", longStream)}
	nc := newTestbed(t, targets...).sendUnread(resumablePath, "9000")
	time.Sleep(800 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(nc), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, 300, strings.Count(string(body), "\n\n"))
	assert.Equal(t, 1, requestsOf(targets))
}

// A caller that never reads its answer holds the entry's memory no longer than it waits itself.
func TestCallerThatNeverReadsIsGivenUp(t *testing.T) {
	b := newTestbed(t, platformtest.NewTarget("i1", longStream))
	b.sendUnread(resumablePath, "300")
	require.Eventually(t, func() bool { return b.relay.Active() == 1 }, patience, time.Millisecond)
	const untilGivenUp = 300*time.Millisecond + time.Second
	require.Eventually(t, func() bool { return b.relay.Active() == 0 }, 4*untilGivenUp, 10*time.Millisecond)
}
