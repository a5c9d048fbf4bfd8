// Package netopt sets the TCP options by which connections detect that their peer has
// become unreachable.
package netopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UnackedTimeout is how long sent data may stay unacknowledged before the connection
	// is closed. Round trips take a few milliseconds, so this only happens in a partition.
	UnackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount are the keep-alive settings. They detect,
	// within two seconds, idle connections that a middlebox has dropped.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// errNoSocket means that a connection has no socket of its own.
var errNoSocket = errors.New("the connection has no socket")

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Dialer returns a dialer whose connections detect an unreachable peer. Timeout bounds a
// connection attempt.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
}

// ListenConfig returns a listener configuration whose connections detect an unreachable
// peer. A peer that leaves data unread for longer than UnackedTimeout, with a full window, counts
// as unreachable, though it acknowledges the probes of its window.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
}

// CallerListenConfig returns a listener configuration for peers that may leave data unread for as
// long as they like. An unreachable one is detected only while no data is on the way to it, so
// writes need deadlines. ReceiveBytes is the size of the kernel's receive buffer of each
// connection: without a size it grows to megabytes for a peer that sends ahead.
func CallerListenConfig(receiveBytes int) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: func(_, _ string, raw syscall.RawConn) error {
		return setOption(raw, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	}}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout/time.Millisecond))
}

// SetUnackedTimeout changes how long sent data may stay unacknowledged, and a full window closed,
// before the connection is closed. Zero means that the kernel decides.
func SetUnackedTimeout(nc net.Conn, timeout time.Duration) error {
	raw, err := rawConn(nc)
	if err != nil {
		return err
	}
	return setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
}

// SendState describes the data that a connection has accepted and its peer has not read yet.
type SendState struct {
	// UnackedSegments were sent and not acknowledged.
	UnackedSegments int
	// UnsentBytes wait, most likely for the peer to open its window.
	UnsentBytes int
	// SinceAck is the time since the peer last acknowledged anything, also a probe of its window.
	SinceAck time.Duration
}

// ReadSendState returns the state of a connection's sent data.
func ReadSendState(nc net.Conn) (SendState, error) {
	raw, err := rawConn(nc)
	if err != nil {
		return SendState{}, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err = errors.Join(err, infoErr); err != nil {
		return SendState{}, err
	}
	return SendState{
		UnackedSegments: int(info.Unacked), UnsentBytes: int(info.Notsent_bytes),
		SinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

func rawConn(nc net.Conn) (syscall.RawConn, error) {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

func setOption(raw syscall.RawConn, level, option, value int) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = syscall.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return optErr
}
