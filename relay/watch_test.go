package relay

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A watch that is stopped while its timer runs must leave the connection alone: it
// may serve another request by then.
func TestStoppedWatchLeavesTheConnection(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	asked, answer := make(chan struct{}), make(chan bool)
	s := watch(&conn{nc: near}, time.Millisecond, func() bool { close(asked); return <-answer })
	<-asked
	assert.False(t, s.stop())
	answer <- true
	time.Sleep(10 * time.Millisecond)
	go func() { _, _ = far.Write([]byte("x")) }()
	_, err := near.Read(make([]byte, 1))
	require.NoError(t, err)
}
