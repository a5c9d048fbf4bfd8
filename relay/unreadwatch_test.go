package relay

import (
	"bytes"
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
)

// stuckListener listens on loopback, accepts nothing, and has room for one connection.
func stuckListener(t *testing.T) (addr string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, syscall.Close(fd)) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	bound, ok := name.(*syscall.SockaddrInet4)
	require.True(t, ok)
	return (&net.TCPAddr{IP: net.IP(bound.Addr[:]), Port: bound.Port}).String()
}

// writeUnread writes more than the buffers of a connection hold. It returns the connection and a
// channel that receives the error with which the write ends.
func writeUnread(t *testing.T, addr string) (*pool, <-chan error) {
	t.Helper()
	p := newPool(NewMetrics(prometheus.NewRegistry()), 0)
	c, err := p.get(context.Background(), poolKey{addr: addr})
	require.NoError(t, err)
	t.Cleanup(c.close)
	c.watchUnread(p, poolKey{addr: addr})
	written := make(chan error, 1)
	c.writes.Add(1)
	go func() {
		_, err := c.nc.Write(bytes.Repeat([]byte("x"), 32<<20))
		c.writes.Add(-1)
		written <- err
	}()
	return p, written
}

// untilUnreachable is the time in which an unreachable target must be noticed: as much more as a
// connection attempt, a check and the growing delay between the probes of a full window take.
const untilUnreachable = 3 * netopt.UnackedTimeout

// Without the kernel's time-out a target that became unreachable would hold its requests until their
// deadlines.
func TestUnreachableTargetIsNoticedWhileItsWindowIsFull(t *testing.T) {
	addr := stuckListener(t)
	p, written := writeUnread(t, addr)
	// With its queue full, the listener answers no connection attempts, like a VM that is cut off.
	for p.isReachable(poolKey{addr: addr}) {
		nc, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = nc.Close() })
	}
	select {
	case err := <-written:
		assert.Error(t, err)
	case <-time.After(untilUnreachable):
		assert.Fail(t, "the connection is still open")
	}
}

func TestReachableTargetKeepsConnectionWhileItsWindowIsFull(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	_, written := writeUnread(t, listener.Addr().String())
	select {
	case err := <-written:
		assert.Fail(t, "the connection was closed", "%v", err)
	case <-time.After(untilUnreachable):
	}
}

// The end of a head may arrive in parts.
func TestHeadWriterFindsEndOfHead(t *testing.T) {
	message := "POST / HTTP/1.1\r\nA: b\r\n\r\nbody"
	end := strings.Index(message, "\r\n\r\n") + len("\r\n\r\n")
	for part := 1; part <= len(message); part++ {
		w := &headWriter{Writer: &bytes.Buffer{}}
		for at := 0; at < len(message); at += part {
			n, err := w.Write([]byte(message[at:min(at+part, len(message))]))
			require.NoError(t, err)
			assert.Equal(t, at+n >= end, w.hasHead, "parts of %d bytes, after %d", part, at+n)
		}
	}
}
