package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
)

// connectTimeout bounds the reading of a tunnel's first frame.
const connectTimeout = time.Second

// DialTunnel connects to a member through an entry that can still reach it.
func DialTunnel(ctx context.Context, entry, addr string) (*Conn, error) {
	nc, err := netopt.Dialer(dialTimeout).DialContext(ctx, "tcp", entry)
	if err != nil {
		return nil, &Error{Step: "dial", Peer: entry, Err: err}
	}
	if _, err := protodelim.MarshalTo(nc, &ledgerpb.Connect{Member: addr}); err != nil {
		// The connection is given up; its close changes nothing.
		_ = nc.Close()
		return nil, &Error{Step: "dial", Peer: entry, Err: err}
	}
	return newConn(nc, addr), nil
}

// Tunnel passes connections of other entries on to members, for entries that are
// cut off from them.
type Tunnel struct {
	// Allowed says whether an address is that of a member.
	Allowed func(addr string) bool
	Log     *log.Logger
}

// Serve passes connections on until the listener is closed.
func (t *Tunnel) Serve(listener net.Listener) error {
	for {
		nc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return &Error{Step: "accept", Peer: listener.Addr().String(), Err: err}
		}
		go t.pass(nc)
	}
}

// pass copies both ways until either side ends. Both ends notice a close, so its
// own failure changes nothing.
func (t *Tunnel) pass(from net.Conn) {
	defer from.Close()
	in := bufio.NewReaderSize(from, bufferBytes)
	var connect ledgerpb.Connect
	if err := from.SetReadDeadline(time.Now().Add(connectTimeout)); err != nil {
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
	copyOne := func(dst io.Writer, src io.Reader) {
		// Whatever ends one direction ends both.
		_, _ = io.Copy(dst, src)
		done <- struct{}{}
	}
	go copyOne(to, in)
	go copyOne(from, to)
	<-done
}
