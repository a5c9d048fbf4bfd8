package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

// serveConn returns a handler that takes over the connection of its first request and passes both to
// answer, with what follows on the connection.
func serveConn(answer func(nc *net.TCPConn, first *http.Request, rest *bufio.Reader)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		nc, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		answer(nc.(*net.TCPConn), r, buffered.Reader)
	}
}

func idLine(r *http.Request) string {
	return platformtest.RequestID + ": " + r.Header.Get(platformtest.RequestID) + "\r\n" + platformtest.Signature + ": s\r\n"
}

// A target answered a long upload at once without a length, sent a part of its body, and reset the
// connection while the upload was written. Callers got the part as the whole answer (MIXED).
func TestUnframedAnswerIsWholeOnlyOnceRequestIsWritten(t *testing.T) {
	upload := strings.Repeat("x", 12<<20)
	for _, isRead := range []bool{true, false} {
		for path, part := range map[string]string{nonIdempotentPath: "half", resumablePath: events(1, 2)} {
			b := newUnconfiguredTestbed(t, relay.Options{Permits: newSharedBoard()}, newMemoryLedger())
			b.edit = func(config *catalog.Config) { config.Limits.BodyBytes = 16 << 20 }
			b.update(platformtest.NewUnreadTarget("i1", serveConn(func(nc *net.TCPConn, r *http.Request, rest *bufio.Reader) {
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s\r\n%s", idLine(r), part)
				_ = nc.CloseWrite()
				if isRead {
					_, _ = io.CopyN(io.Discard, rest, int64(len(upload)))
					return
				}
				_ = nc.SetLinger(0)
			})))
			got := b.call(path, upload)
			switch {
			case isRead:
				require.NoError(t, got.err)
				assert.Equal(t, part, got.body, "the target answers before it reads the upload")
			case path == nonIdempotentPath:
				assert.Equal(t, http.StatusBadGateway, got.status)
			default:
				assert.Error(t, got.err, "the answer must not look complete")
			}
		}
	}
}

// Callers got answers with a status that no answer has, or none at all for a status under 100 (MIXED).
func TestStatusOfNoAnswerIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000", "042", "101", "600", "999"} {
		bad := platformtest.NewTarget("i1", serveConn(func(nc *net.TCPConn, r *http.Request, _ *bufio.Reader) {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 %s Odd\r\n%sContent-Length: 1\r\n\r\nx", status, idLine(r))
		}))
		b := newTestbed(t, bad)
		for _, path := range []string{nonIdempotentPath, storedTurnsPath} {
			got := b.call(path, "x")
			require.NoError(t, got.err, status)
			assert.Equal(t, http.StatusBadGateway, got.status, status)
		}
		b.update(bad, platformtest.NewTarget("i2", platformtest.Respond(http.StatusOK, "yes")))
		assert.Equal(t, "yes", b.call(idempotentPath, "x").body, status)
	}
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	b := newTestbed(t, platformtest.NewTarget("i1", serveConn(func(nc *net.TCPConn, r *http.Request, _ *bufio.Reader) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 103 Early Hints\r\n%s\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nyes", idLine(r), idLine(r))
	})))
	assert.Equal(t, "yes", b.call(nonIdempotentPath, "x").body)
}

// A target wrote an earlier refusal once more on a kept connection. Callers of requests that it ran
// were told that these had not run (REFUSED), or another target ran them, too (TWICE).
func TestRefusalThatIsRepeatedBelongsToNoOtherRequest(t *testing.T) {
	for _, withID := range []bool{false, true} {
		b := newTestbed(t, platformtest.NewTarget("i1", serveConn(func(nc *net.TCPConn, r *http.Request, rest *bufio.Reader) {
			refusal := "HTTP/1.1 503 Busy\r\n" + platformtest.NotExecuted + ": 1\r\nContent-Length: 0\r\n"
			if withID {
				refusal += idLine(r)
			}
			_, _ = io.WriteString(nc, refusal+"\r\n")
			for {
				r, err := http.ReadRequest(rest)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(nc, "%s\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nran", refusal, idLine(r))
			}
		})))
		assert.Equal(t, http.StatusServiceUnavailable, b.call(nonIdempotentPath, "x").status, "the first refusal on a connection is that of its request")
		for range 3 {
			got := b.call(nonIdempotentPath, "x")
			assert.Equal(t, http.StatusOK, got.status)
			assert.Equal(t, "ran", got.body)
		}
	}
}
