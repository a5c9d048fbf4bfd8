package relay

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
)

const (
	// unreadWatchDelay is the time after which a request that its target has not read yet is
	// checked for the first time. An unreachable target is not noticed before.
	unreadWatchDelay = netopt.UnackedTimeout / 2
	// unreadCheckPeriod is the time between two checks.
	unreadCheckPeriod = 250 * time.Millisecond
)

// watchUnread keeps the connection to a target that leaves a large request unread: a target may work
// before it has read a request, and read on later. The kernel would close the connection when its
// window has been full for netopt.UnackedTimeout, which may include the time of an earlier request.
// The connection is still closed if the target becomes unreachable. The errors of the socket's options
// mean that it is closed already.
func (c *conn) watchUnread(p *pool, key poolKey) {
	if c.isWatched.Swap(true) {
		return
	}
	began := time.Now()
	_ = netopt.SetUnackedTimeout(c.nc, 0)
	time.AfterFunc(unreadWatchDelay, func() {
		if c.awaitRead(p, key, began) {
			_ = netopt.SetUnackedTimeout(c.nc, netopt.UnackedTimeout)
		}
		c.isWatched.Store(false)
		if c.hasUnread() {
			// Another request began meanwhile.
			c.watchUnread(p, key)
		}
	})
}

// awaitRead waits until the target has received what was sent since began, or the connection is
// closed. It closes the connection itself, and returns false, if the target becomes unreachable.
func (c *conn) awaitRead(p *pool, key poolKey, began time.Time) bool {
	w := unreadWatch{conn: c, unackedSince: began}
	for c.hasUnread() {
		if !w.isReachable(p, key) {
			p.metrics.unreachable.Inc()
			c.close()
			return false
		}
		time.Sleep(unreadCheckPeriod)
	}
	return true
}

// hasUnread reports whether the connection is open and has data that the target has not received.
func (c *conn) hasUnread() bool {
	state, err := netopt.ReadSendState(c.nc)
	return err == nil && (c.writes.Load() > 0 || state.UnackedSegments > 0 || state.UnsentBytes > 0)
}

// unreadWatch is the state of a watch.
type unreadWatch struct {
	conn *conn
	// unackedSince is the time since which the connection may have had unacknowledged data, and
	// probedAt when the target last accepted a connection.
	unackedSince, probedAt time.Time
}

// isReachable reports whether the target still acknowledges what is sent. While its window is full
// nothing is sent but probes, which get rarer, so the target is then asked for another connection.
func (w *unreadWatch) isReachable(p *pool, key poolKey) bool {
	state, err := netopt.ReadSendState(w.conn.nc)
	if err != nil {
		// The connection is closed.
		return true
	}
	now := time.Now()
	if state.UnackedSegments > 0 {
		return min(state.SinceAck, now.Sub(w.unackedSince)) < netopt.UnackedTimeout
	}
	w.unackedSince = now
	if state.UnsentBytes == 0 || state.SinceAck < unreadWatchDelay || now.Sub(w.probedAt) < netopt.UnackedTimeout {
		return true
	}
	w.probedAt = now
	return p.isReachable(key)
}

// isReachable reports whether a target's VM responds to a connection attempt, also if it refuses it.
func (p *pool) isReachable(key poolKey) bool {
	nc, err := netopt.Dialer(connectTimeout).DialContext(context.Background(), "tcp", key.addr)
	if err == nil {
		// Only the accept matters, so an error of the close changes nothing.
		_ = nc.Close()
		return true
	}
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}
