package ports

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReservedPortIsForItsListenerOnly(t *testing.T) {
	p, err := Reserve()
	require.NoError(t, err)
	for range 2 { // also after a restart
		_, err = reserve(p.number)
		require.ErrorIs(t, err, syscall.EADDRINUSE)
		l, err := net.Listen("tcp", p.Addr())
		require.NoError(t, err)
		_, err = reserve(p.number)
		require.ErrorIs(t, err, syscall.EADDRINUSE)
		require.NoError(t, l.Close())
	}
	require.NoError(t, p.Close())
	again, err := reserve(p.number)
	require.NoError(t, err)
	require.NoError(t, again.Close())
}
