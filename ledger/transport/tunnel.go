package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
)

// connectFrameTimeout bounds the wait for the first frame of a connection to a tunnel.
const connectFrameTimeout = time.Second

// DialTunnel connects to the member at addr through the tunnel of an entry that can still
// reach it.
func DialTunnel(ctx context.Context, tunnel, addr string) (*Conn, error) {
	nc, err := netopt.Dialer(dialTimeout).DialContext(ctx, "tcp", tunnel)
	if err != nil {
		return nil, &Error{Step: "dial", Peer: tunnel, Err: err}
	}
	if _, err := protodelim.MarshalTo(nc, &ledgerpb.Connect{Member: addr}); err != nil {
		// The connection is unusable in any case; a failure to close changes nothing.
		_ = nc.Close()
		return nil, &Error{Step: "dial", Peer: tunnel, Err: err}
	}
	return newConn(nc, addr), nil
}

// Tunnel forwards connections to members, for other entries that cannot reach the
// members themselves.
type Tunnel struct {
	// Allowed reports whether an address is that of a member.
	Allowed func(addr string) bool
	// MaxConns bounds the connections; further ones are closed. Zero means no bound.
	MaxConns int
	Log      *log.Logger

	conns atomic.Int64
}

// Serve forwards connections until the listener is closed.
func (t *Tunnel) Serve(listener net.Listener) error {
	for {
		nc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return &Error{Step: "accept", Peer: listener.Addr().String(), Err: err}
		}
		if n := t.conns.Add(1); t.MaxConns > 0 && n > int64(t.MaxConns) {
			t.conns.Add(-1)
			// The entry tries another tunnel; a failure to close changes nothing.
			_ = nc.Close()
			continue
		}
		go func() {
			defer t.conns.Add(-1)
			t.forward(nc)
		}()
	}
}

// forward copies in both directions until either side closes. A failure to close changes
// nothing, since both connections are discarded.
func (t *Tunnel) forward(from net.Conn) {
	defer from.Close()
	in := bufio.NewReaderSize(from, bufferBytes)
	var connect ledgerpb.Connect
	if err := from.SetReadDeadline(time.Now().Add(connectFrameTimeout)); err != nil {
		return
	}
	if err := protodelim.UnmarshalFrom(in, &connect); err != nil || !t.Allowed(connect.GetMember()) {
		t.Log.Warn().Str("event", "tunnel_refused").Str("peer", from.RemoteAddr().String()).
			Str("member", connect.GetMember()).Err(err).Msg("")
		return
	}
	if err := from.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	to, err := netopt.Dialer(dialTimeout).Dial("tcp", connect.GetMember())
	if err != nil {
		return
	}
	defer to.Close()
	t.Log.Info().Str("event", "tunnel_opened").Str("peer", from.RemoteAddr().String()).Str("member", connect.GetMember()).Msg("")
	done := make(chan struct{}, 2)
	copyDirection := func(dst io.Writer, src io.Reader) {
		// The end of one direction ends both, whatever the cause.
		_, _ = io.Copy(dst, src)
		done <- struct{}{}
	}
	go copyDirection(to, in)
	go copyDirection(from, to)
	<-done
}
