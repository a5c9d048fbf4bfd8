// Package relay stands for what lies between two ends of a connection and may
// lose track of it: open connections go silent for good while new ones work.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// bufferBytes is the size of one read.
const bufferBytes = 64 << 10

// Relay passes bytes between clients and a target.
type Relay struct {
	listener net.Listener
	target   string
	accepted atomic.Int64

	mu    sync.Mutex
	pairs []*pair
}

// pair is the two connections of one client.
type pair struct {
	silent atomic.Bool
	client net.Conn
	target net.Conn
}

// Start listens on an address and passes connections on to the target.
func Start(addr, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target}
	go r.serve()
	return r, nil
}

// Addr returns the address that clients use.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Accepted returns the number of connections so far.
func (r *Relay) Accepted() int64 { return r.accepted.Load() }

// MakeUnresponsive makes the open connections lose all that is sent on them.
func (r *Relay) MakeUnresponsive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.silent.Store(true)
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
		p := &pair{client: client, target: target}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		r.accepted.Add(1)
		go p.copy(client, target)
		go p.copy(target, client)
	}
}

func (p *pair) close() {
	p.client.Close()
	p.target.Close()
}

// copy passes bytes on until an end closes; a silent pair reads them and loses
// them, and hides the closing of one end from the other.
func (p *pair) copy(from, to net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if p.silent.Load() {
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
