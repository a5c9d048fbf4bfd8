package peer

import (
	"sync"

	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/tlsfile"
)

// connHolder holds the current connection to one VM and replaces it on demand.
type connHolder struct {
	files *tlsfile.Files

	mu   sync.Mutex
	addr string
	conn *conn
}

// get returns the connection to addr. It creates it if needed, and closes a
// connection to another address.
func (h *connHolder) get(addr string) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conn != nil && h.addr == addr {
		return h.conn
	}
	if h.conn != nil {
		h.conn.close()
	}
	h.addr = addr
	h.conn = newConn(addr, h.files)
	return h.conn
}

// discard closes cc. If cc is still the current connection, discard also removes it,
// so that the next get creates another one.
func (h *connHolder) discard(cc *conn) {
	h.mu.Lock()
	if h.conn == cc {
		h.conn = nil
	}
	h.mu.Unlock()
	cc.close()
}

func (h *connHolder) close() {
	h.mu.Lock()
	cc := h.conn
	h.conn = nil
	h.mu.Unlock()
	if cc != nil {
		cc.close()
	}
}
