package relay_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// longBodyBytes is the size of a request that does not fit into the buffers of a connection.
const longBodyBytes = 16 << 20

// The kernel adds up the times for which the window of a connection was full, so a later request on it
// must not be cut because earlier ones were left unread.
func TestTargetMayLeaveOneLongRequestAfterAnotherUnread(t *testing.T) {
	const bodyBytes, unread = 3 << 20, 500 * time.Millisecond
	var runs atomic.Int32
	target := platformtest.NewUnreadTarget("i1", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
			return
		}
		time.Sleep(unread)
		w.Header().Set(platformtest.RequestID, r.Header.Get(platformtest.RequestID))
		w.Header().Set(platformtest.Signature, "s")
		w.Header().Set("Content-Length", "4")
		_, _ = w.Write([]byte("done"))
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	b := newTestbed(t)
	b.edit = func(c *catalog.Config) { c.Limits.BodyBytes = bodyBytes }
	b.update(target)
	for range 4 {
		got := b.call(nonIdempotentPath, strings.Repeat("x", bodyBytes))
		require.NoError(t, got.err)
		assert.Equal(t, "done", got.body)
		time.Sleep(netopt.UnackedTimeout - unread)
	}
	assert.EqualValues(t, 4, runs.Load())
}

// callLong sends a long request that is not idempotent.
func callLong(t *testing.T, targets ...*platformtest.Target) callResult {
	t.Helper()
	b := newTestbed(t)
	b.edit = func(c *catalog.Config) {
		c.Limits.BodyBytes = longBodyBytes
		c.Routes[1].Timeout = 8 * time.Second
	}
	b.update(targets...)
	return b.call(nonIdempotentPath, strings.Repeat("x", longBodyBytes), platformtest.Deadline, "8000")
}

// A target worked on a request before it had read it, and its answer was lost. The request was sent
// to another target or, if there was none, answered as one that has not run (review/13: TWICE,
// REFUSED).
func TestLongRequestWhoseAnswerIsLostIsNotSentAgain(t *testing.T) {
	var runs atomic.Int32
	lost := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = r.Body.Read(make([]byte, 1024))
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = nc.Close()
	}
	for _, targets := range [][]*platformtest.Target{
		{platformtest.NewUnreadTarget("i1", lost)},
		{platformtest.NewUnreadTarget("i1", lost), platformtest.NewUnreadTarget("i2", lost)},
	} {
		runs.Store(0)
		got := callLong(t, targets...)
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusBadGateway, got.status)
		assert.EqualValues(t, 1, runs.Load())
	}
}

// A target that worked for long with the rest of a request unread counted as unreachable, and the
// request ran at another one as well (review/11: TWICE).
func TestTargetMayLeaveLongRequestUnreadWhileItWorks(t *testing.T) {
	var runs atomic.Int32
	slow := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		time.Sleep(netopt.UnackedTimeout + time.Second)
		w.Header().Set(platformtest.RequestID, r.Header.Get(platformtest.RequestID))
		w.Header().Set(platformtest.Signature, "s")
		_, _ = w.Write([]byte("done"))
	}
	got := callLong(t, platformtest.NewUnreadTarget("i1", slow), platformtest.NewUnreadTarget("i2", slow))
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "done", got.body)
	assert.EqualValues(t, 1, runs.Load())
}
