package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// unframed returns a handler that answers with neither a length nor chunks. The answer ends with
// its connection, which is reset if isReset.
func unframed(contentType, body string, isReset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		head := "HTTP/1.1 200 OK\r\n%s: %s\r\n" + platformtest.Signature + ": s\r\nContent-Type: %s\r\n\r\n"
		_, _ = fmt.Fprintf(nc, head, platformtest.RequestID, r.Header.Get(platformtest.RequestID), contentType)
		_, _ = io.WriteString(nc, body)
		if tcp, ok := nc.(*net.TCPConn); ok && isReset {
			_ = tcp.SetLinger(0)
		}
	}
}

const plainText, eventStream = "text/plain", "text/event-stream"

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	for path, handler := range map[string]http.HandlerFunc{
		idempotentPath:    unframed(plainText, "whole", false),
		nonIdempotentPath: unframed(plainText, "whole", false),
		resumablePath:     unframed(eventStream, events(1, 5), false),
		storedTurnsPath:   unframed(eventStream, events(1, 5), false),
	} {
		target := platformtest.NewTarget("i1", handler)
		b := newTestbed(t, target)
		want := "whole"
		if path == resumablePath || path == storedTurnsPath {
			want = events(1, 5)
		}
		for range 3 {
			got := b.call(path, "x")
			require.NoError(t, got.err, path)
			assert.Equal(t, http.StatusOK, got.status, path)
			assert.Equal(t, want, got.body, path)
		}
		assert.Len(t, target.Requests(), 3)
	}
}

func TestUnframedAnswerThatIsResetIsNotComplete(t *testing.T) {
	reset := platformtest.NewTarget("i1", unframed(plainText, "wh", true))
	b := newTestbed(t, reset)
	got := b.call(nonIdempotentPath, "x")
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusBadGateway, got.status)

	whole := platformtest.NewTarget("i2", unframed(plainText, "whole", false))
	b = newTestbed(t, platformtest.NewTarget("i1", unframed(plainText, "wh", true)), whole)
	for range 4 {
		assert.Equal(t, "whole", b.call(idempotentPath, "x").body)
	}
}

// A stream that ends inside an event has been broken off, however its connection ends.
func TestUnframedStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	for _, rest := range []string{"i", "id: 3", "id: 3\n", "id: 3\nda", "id: 3\ndata: event3", "id: 3\ndata: event3\n"} {
		for _, isReset := range []bool{false, true} {
			cut := unframed(eventStream, events(1, 2)+rest, isReset)
			got := newTestbed(t, platformtest.NewTarget("i1", cut)).call(storedTurnsPath, "x")
			require.Error(t, got.err, "%q: the answer must not look complete", rest)
			assert.True(t, strings.HasPrefix(events(1, 2), got.body), "%q: only whole events are delivered", rest)

			// At first, calls go to the target that is cut off.
			first := platformtest.NewTarget("i1", cut)
			b := newTestbed(t, first)
			got = b.call(resumablePath, "x")
			require.Error(t, got.err, "%q", rest)
			b.update(first, platformtest.NewTarget("i2", platformtest.StreamEvents(5, 0, 0)))
			for range 4 {
				got = b.call(resumablePath, "x")
				require.NoError(t, got.err, "%q", rest)
				assert.Equal(t, events(1, 5), got.body, "%q", rest)
			}
		}
	}
}
