// Package relay is a TCP proxy that simulates a middlebox that loses track of
// its connections: open connections become permanently unresponsive, while new
// connections work.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// bufferBytes is the size of the read buffer.
const bufferBytes = 64 << 10

// Relay forwards bytes between clients and a target address.
type Relay struct {
	listener net.Listener
	target   string
	accepted atomic.Int64

	mu    sync.Mutex
	pairs []*connPair
}

// connPair is a client's connection and the matching connection to the target.
type connPair struct {
	unresponsive atomic.Bool
	client       net.Conn
	target       net.Conn
}

// Start listens on an address and forwards its connections to the target.
func Start(addr, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target}
	go r.serve()
	return r, nil
}

// Addr returns the listener's address.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Accepted returns the number of connections forwarded so far.
func (r *Relay) Accepted() int64 { return r.accepted.Load() }

// MakeUnresponsive discards all further data on the open connections, which stay
// open.
func (r *Relay) MakeUnresponsive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.unresponsive.Store(true)
	}
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.close()
	}
}

func (r *Relay) serve() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		p := &connPair{client: client, target: target}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		r.accepted.Add(1)
		go p.copy(client, target)
		go p.copy(target, client)
	}
}

func (p *connPair) close() {
	p.client.Close()
	p.target.Close()
}

// copy forwards bytes until either end closes, then closes both. An unresponsive
// pair discards what it reads and does not close the other end.
func (p *connPair) copy(from, to net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if p.unresponsive.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				p.close()
				return
			}
		}
		if err != nil {
			p.close()
			return
		}
	}
}
