// Package netopt sets the TCP options with which connections notice that their
// other end can no longer be reached.
package netopt

import (
	"net"
	"syscall"
	"time"
)

const (
	// UnackedTimeout ends a connection whose bytes are not acknowledged. Links
	// have delays of a few milliseconds, so only a cut lasts that long.
	UnackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find idle connections that something
	// between the two ends has lost track of, within two seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 18
)

var probes = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Dialer returns a dialer whose connections notice a silent peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: probes, Control: setUserTimeout}
}

// ListenConfig returns the options of a listener whose connections notice a
// silent peer.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: probes, Control: setUserTimeout}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UnackedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
