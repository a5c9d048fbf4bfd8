package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb/peerpbconnect"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/tlsfile"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 2 * time.Minute
	// maxMessageBytes bounds one batch of messages or one chunk of an answer.
	maxMessageBytes = 64 << 20
)

// conn is an HTTP/2 client for one address. When a call over it gets no response,
// connHolder closes and replaces it.
type conn struct {
	service   peerpbconnect.PeerServiceClient
	transport *http.Transport

	mu      sync.Mutex
	closed  bool
	sockets map[net.Conn]struct{}
}

func newConn(addr string, files *tlsfile.Files) *conn {
	cc := &conn{sockets: make(map[net.Conn]struct{})}
	cc.transport = &http.Transport{
		DialContext:     cc.dial,
		IdleConnTimeout: idleTimeout,
		Protocols:       new(http.Protocols),
	}
	scheme := "http://"
	if files == nil {
		cc.transport.Protocols.SetUnencryptedHTTP2(true)
	} else {
		scheme = "https://"
		cc.transport.Protocols.SetHTTP2(true)
		cc.transport.TLSClientConfig = files.Client()
	}
	cc.service = peerpbconnect.NewPeerServiceClient(
		&http.Client{Transport: cc.transport},
		scheme+addr,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	return cc
}

func (cc *conn) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		netConn.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedConn{Conn: netConn, owner: cc}
	cc.sockets[tracked] = struct{}{}
	return tracked, nil
}

// close closes all sockets immediately, including those with calls in flight.
func (cc *conn) close() {
	cc.mu.Lock()
	cc.closed = true
	sockets := cc.sockets
	cc.sockets = make(map[net.Conn]struct{})
	cc.mu.Unlock()
	for socket := range sockets {
		socket.Close()
	}
	cc.transport.CloseIdleConnections()
}

// trackedConn is a socket that removes itself from its conn's sockets when it is
// closed.
type trackedConn struct {
	net.Conn
	owner *conn
}

// Close closes the socket and removes it from its conn's sockets.
func (t *trackedConn) Close() error {
	t.owner.mu.Lock()
	delete(t.owner.sockets, t)
	t.owner.mu.Unlock()
	return t.Conn.Close()
}
