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
	// idleTimeout closes connections that no call has used.
	idleTimeout = 2 * time.Minute
	// maxMessageBytes bounds one batch or chunk.
	maxMessageBytes = 64 << 20
)

// conn is the connection to one address. It is replaced as a whole when a call
// over it got no answer.
type conn struct {
	client    peerpbconnect.PeerServiceClient
	transport *http.Transport

	mu     sync.Mutex
	closed bool
	socks  map[net.Conn]struct{}
}

func newConn(addr string, files *tlsfile.Files) *conn {
	c := &conn{socks: make(map[net.Conn]struct{})}
	c.transport = &http.Transport{
		DialContext:     c.dial,
		IdleConnTimeout: idleTimeout,
		Protocols:       new(http.Protocols),
	}
	scheme := "http://"
	if files == nil {
		c.transport.Protocols.SetUnencryptedHTTP2(true)
	} else {
		scheme = "https://"
		c.transport.Protocols.SetHTTP2(true)
		c.transport.TLSClientConfig = files.Client()
	}
	c.client = peerpbconnect.NewPeerServiceClient(
		&http.Client{Transport: c.transport},
		scheme+addr,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	return c
}

func (c *conn) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	sock, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		sock.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedSock{Conn: sock, owner: c}
	c.socks[tracked] = struct{}{}
	return tracked, nil
}

// close closes the sockets at once, also those with calls under way.
func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	socks := c.socks
	c.socks = make(map[net.Conn]struct{})
	c.mu.Unlock()
	for s := range socks {
		s.Close()
	}
	c.transport.CloseIdleConnections()
}

// trackedSock removes itself from its conn when it is closed.
type trackedSock struct {
	net.Conn
	owner *conn
}

// Close closes the socket.
func (s *trackedSock) Close() error {
	s.owner.mu.Lock()
	delete(s.owner.socks, s)
	s.owner.mu.Unlock()
	return s.Conn.Close()
}
