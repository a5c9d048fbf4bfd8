package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay passes bytes between clients and a server. A connection that was open
// at silence goes silent for good; new ones work.
type relay struct {
	listener net.Listener
	target   string
	accepted atomic.Int64

	mu    sync.Mutex
	pairs []*pair
}

type pair struct {
	silent atomic.Bool
	socks  [2]net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target}
	go r.serve()
	t.Cleanup(r.close)
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		p := &pair{socks: [2]net.Conn{in, out}}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		r.accepted.Add(1)
		go p.copy(in, out)
		go p.copy(out, in)
	}
}

// silence makes the open connections lose all that is sent on them.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.silent.Store(true)
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.socks[0].Close()
		p.socks[1].Close()
	}
}

func (p *pair) copy(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if p.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, writeErr := to.Write(buf[:n]); writeErr != nil || err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}
