package peer

import (
	"sync"

	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/tlsfile"
)

// connSlot holds the connection in use to one VM and replaces it on demand.
type connSlot struct {
	files *tlsfile.Files

	mu   sync.Mutex
	addr string
	conn *conn
}

// get returns the connection to addr; a connection to an old address is closed.
func (s *connSlot) get(addr string) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.addr == addr {
		return s.conn
	}
	if s.conn != nil {
		s.conn.close()
	}
	s.addr = addr
	s.conn = newConn(addr, s.files)
	return s.conn
}

// discard closes c, so that the next get dials. It does nothing if c has been
// replaced already.
func (s *connSlot) discard(c *conn) {
	s.mu.Lock()
	if s.conn == c {
		s.conn = nil
	}
	s.mu.Unlock()
	c.close()
}

func (s *connSlot) close() {
	s.mu.Lock()
	c := s.conn
	s.conn = nil
	s.mu.Unlock()
	if c != nil {
		c.close()
	}
}
