package relay

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A timer that is stopped while its callback runs must not interrupt the connection,
// which may already serve another request.
func TestStoppedStallTimerDoesNotInterruptConnection(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	called, result := make(chan struct{}), make(chan bool)
	s := startStallTimer(&conn{nc: near}, time.Millisecond, func() bool { close(called); return <-result })
	<-called
	assert.False(t, s.stop())
	result <- true
	time.Sleep(10 * time.Millisecond)
	go func() { _, _ = far.Write([]byte("x")) }()
	_, err := near.Read(make([]byte, 1))
	require.NoError(t, err)
}
