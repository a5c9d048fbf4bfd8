package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
)

const (
	// connectTimeout bounds a connection attempt. Targets are a few milliseconds
	// away. A lost SYN would be retransmitted only after a second.
	connectTimeout = 400 * time.Millisecond
	// probeTimeout bounds the check whether a target still accepts connections.
	probeTimeout = 100 * time.Millisecond
	// defaultIdleTimeout applies to connections to targets that do not announce
	// their own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the target's idle timeout, so that no
	// request is sent while the target closes the connection.
	idleTimeoutMargin = 700 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer. Most events and
	// responses are smaller.
	readBufferBytes = 4 << 10
)

// poolKey identifies the connections to one incarnation of a target.
type poolKey struct {
	target catalog.TargetKey
	addr   string
}

// conn is one connection to a target.
type conn struct {
	nc     net.Conn
	source *boundedReader
	reader *bufio.Reader
	reused bool
	// hasResponded is set once the target has sent a response on the connection.
	hasResponded bool
	// writes is the number of requests being written.
	writes atomic.Int32
	// isWatched is set while a watch of unread data runs.
	isWatched atomic.Bool
	// usableUntil is when an idle connection expires.
	usableUntil time.Time
}

// pool keeps idle connections to targets.
type pool struct {
	metrics *Metrics
	dial    dialFunc

	// maxIdle bounds the idle connections to all targets; 0 means no bound.
	maxIdle int

	mu   sync.Mutex
	idle map[poolKey][]*conn
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func newPool(m *Metrics, maxIdle int) *pool {
	return &pool{metrics: m, maxIdle: maxIdle, dial: netopt.Dialer(connectTimeout).DialContext, idle: make(map[poolKey][]*conn)}
}

// get returns an idle connection that is still open, or a new one.
func (p *pool) get(ctx context.Context, key poolKey) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle(key)
		if c == nil {
			break
		}
		if now.Before(c.usableUntil) && c.isOpen() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	nc, err := p.dial(ctx, "tcp", key.addr)
	if err != nil {
		return nil, err
	}
	p.metrics.connects.Inc()
	source := &boundedReader{Reader: nc, left: -1}
	return &conn{nc: nc, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}, nil
}

// refusesConnections reports whether nothing listens at a target's address any
// more, which means that its process has ended. It then closes the idle
// connections to the target.
func (p *pool) refusesConnections(ctx context.Context, key poolKey) bool {
	nc, err := netopt.Dialer(probeTimeout).DialContext(ctx, "tcp", key.addr)
	if err == nil {
		// Only the accept matters, so an error of the close changes nothing.
		_ = nc.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		c.close()
	}
	delete(p.idle, key)
	return true
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *pool) popIdle(key poolKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[key] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool, or closes it if the target's idle timeout
// leaves no time to use it.
func (p *pool) put(key poolKey, c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	if idleTimeout <= idleTimeoutMargin {
		c.close()
		return
	}
	c.usableUntil = time.Now().Add(idleTimeout - idleTimeoutMargin)
	p.addIdle(key, c)
}

// putUnused returns a connection that was not used since get returned it.
func (p *pool) putUnused(key poolKey, c *conn) {
	if !c.reused {
		p.put(key, c, defaultIdleTimeout)
		return
	}
	p.addIdle(key, c)
}

func (p *pool) addIdle(key poolKey, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxIdle > 0 && p.countIdle() >= p.maxIdle {
		c.close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// countIdle returns the number of idle connections. Mu must be held.
func (p *pool) countIdle() int {
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// sweep closes idle connections that have expired.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		clear(list[len(kept):])
		p.idle[key] = kept
	}
}

// closeExcept closes the idle connections to all but the given targets.
func (p *pool) closeExcept(targets []catalog.Target) {
	wanted := make(map[poolKey]bool, len(targets))
	for _, t := range targets {
		wanted[poolKey{t.TargetKey, t.Addr}] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		if wanted[key] {
			continue
		}
		for _, c := range list {
			c.close()
		}
		delete(p.idle, key)
	}
}

// close closes the connection. The target notices it even if the close reports an
// error, so the error is ignored.
func (c *conn) close() { _ = c.nc.Close() }

// isOpen reports whether an idle connection can be used: the target has neither
// closed it nor sent bytes that belong to no request.
func (c *conn) isOpen() bool {
	raw, err := c.nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peek error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peek = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && errors.Is(peek, syscall.EAGAIN)
}
