package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
)

const (
	// connectTimeout bounds a connection attempt. Targets are a few milliseconds
	// away; the first retransmission of a lost opening packet takes a second.
	connectTimeout = 400 * time.Millisecond
	// probeTimeout bounds the look whether a target has ended.
	probeTimeout = 100 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the target does not
	// say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the target's idle timeout, so that a request does
	// not cross the target's close.
	idleMargin = 700 * time.Millisecond
	// connBuffer is the size of a connection's read buffer, in bytes. Events and
	// answers are mostly smaller.
	connBuffer = 4 << 10
)

// poolKey names the connections to one life of a target.
type poolKey struct {
	target catalog.TargetKey
	addr   string
}

// conn is one connection to a target.
type conn struct {
	nc     net.Conn
	in     *bufio.Reader
	reused bool
	// until is when an idle connection is no longer used.
	until time.Time
}

// pool keeps idle connections to targets.
type pool struct {
	metrics *Metrics

	mu   sync.Mutex
	idle map[poolKey][]*conn
}

func newPool(m *Metrics) *pool { return &pool{metrics: m, idle: make(map[poolKey][]*conn)} }

// get returns an idle connection that is still open, or a new one.
func (p *pool) get(ctx context.Context, key poolKey) (*conn, error) {
	now := time.Now()
	for {
		c := p.take(key)
		if c == nil {
			break
		}
		if now.Before(c.until) && c.isOpen() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	nc, err := netopt.Dialer(connectTimeout).DialContext(ctx, "tcp", key.addr)
	if err != nil {
		return nil, err
	}
	p.metrics.connects.Inc()
	return &conn{nc: nc, in: bufio.NewReaderSize(nc, connBuffer)}, nil
}

// refuses says whether nothing listens at a target's address any more, as after
// the end of its process. Its idle connections are closed then.
func (p *pool) refuses(ctx context.Context, key poolKey) bool {
	nc, err := netopt.Dialer(probeTimeout).DialContext(ctx, "tcp", key.addr)
	if err == nil {
		// Only that it was accepted matters.
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

// take removes the connection that was used last.
func (p *pool) take(key poolKey) *conn {
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

// put keeps a connection for another request.
func (p *pool) put(key poolKey, c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdle
	}
	if idleTimeout <= idleMargin {
		c.close()
		return
	}
	c.until = time.Now().Add(idleTimeout - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// sweep closes connections whose time is over.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
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

// keepOnly closes the connections to targets that no longer count.
func (p *pool) keepOnly(targets []catalog.Target) {
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

// close ends the connection. The target sees it; a failure changes nothing.
func (c *conn) close() { _ = c.nc.Close() }

// isOpen looks whether the target has closed an idle connection or has sent
// bytes that belong to no request.
func (c *conn) isOpen() bool {
	raw, err := c.nc.(*net.TCPConn).SyscallConn()
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
