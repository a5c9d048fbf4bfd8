package resident

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbsaddle/rhubarbsaddle/resource"
)

const (
	// connBytes is what a connection makes the process hold without a request: its goroutine
	// and two buffers.
	connBytes = 16 << 10
	// headCopies is how many times the process holds a request's head: as it arrived and as
	// parsed fields.
	headCopies = 2
	// lingerTime is how long a connection that is closed with unread bytes stays open, since
	// closing it at once would reset it and could take the answer with it. lingerBytes is how
	// much is read of what arrives meanwhile: callers that read no answer before they have sent
	// their body send as much as the usual limit of bodies.
	lingerTime  = 2 * time.Second
	lingerBytes = 4 << 20
	// lingerBufferBytes is part of connBytes.
	lingerBufferBytes = 2 << 10
)

// headRefusal is the answer to a request for whose head there is no memory.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// errNoRoom ends the reading of a head for which there is no memory.
var errNoRoom = errors.New("no memory for the request's head")

// connKey is the context key of a request's connection.
type connKey struct{}

// callerConn is a connection of a caller. It is the holder of what the caller's requests make the
// process hold.
type callerConn struct {
	net.Conn
	conns  *callerConns
	holder *resource.Holder
	// dropped is closed once the holder is dropped.
	dropped chan struct{}

	// headSince is when the first byte of the head arrived that is being read, in Unix
	// nanoseconds; 0 if none has.
	headSince atomic.Int64
	// isReadingHead is set while what arrives is part of a head, and headBytes is charged for
	// it until the request ends.
	isReadingHead atomic.Bool
	headBytes     atomic.Int64
	// isOutOfRoom is set once there was no room for a part of a head. That part is lost, so
	// nothing may be read any more.
	isOutOfRoom atomic.Bool
	// hasUnreadBody is set once a request was answered without having been read to its end.
	hasUnreadBody atomic.Bool
	closing       sync.Once
}

// Read implements net.Conn. It charges the holder for the heads of requests.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.isOutOfRoom.Load() {
		return 0, errNoRoom
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.isReadingHead.Load() {
		now := time.Now()
		c.headSince.CompareAndSwap(0, now.UnixNano())
		if !c.holder.Grow(headCopies*int64(n), now) {
			c.refuseHead(now)
			return 0, errNoRoom
		}
		c.headBytes.Add(headCopies * int64(n))
	}
	return n, err
}

// refuseHead answers a request whose head is not read to its end. The server itself would answer
// with status 400, after which no caller tries again.
func (c *callerConn) refuseHead(now time.Time) {
	c.isOutOfRoom.Store(true)
	c.hasUnreadBody.Store(true)
	// A caller that cannot be answered is closed all the same.
	if c.SetWriteDeadline(now.Add(lingerTime)) == nil {
		_, _ = io.WriteString(c.Conn, headRefusal)
	}
	_ = c.endAnswer()
}

// Close implements net.Conn. A connection with an unread body lingers.
func (c *callerConn) Close() error {
	var err error
	c.closing.Do(func() {
		switch isDropped := c.holder.Dropped(); {
		case !c.hasUnreadBody.Load():
			err = c.end()
		case !isDropped:
			go c.linger(isDropped)
		case c.conns.beginUnaccountedLinger():
			go func() {
				defer c.conns.unaccounted.Add(-1)
				c.linger(isDropped)
			}()
		default:
			err = c.end()
		}
	})
	return err
}

// CloseWrite closes the connection. The server calls it when it has answered a request that it does
// not read to its end, and closes the connection some time later.
func (c *callerConn) CloseWrite() error {
	c.hasUnreadBody.Store(true)
	return c.Close()
}

// endAnswer closes the connection for writing and lets the caller go on sending.
func (c *callerConn) endAnswer() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// end closes the connection and gives back what it holds.
func (c *callerConn) end() error {
	err := c.Conn.Close()
	c.holder.Close()
	return err
}

// linger ends the answer and closes the connection once the caller has closed it or has had
// lingerTime to read the answer, or the connection has to make room for others. WasDropped means
// that it has made room before.
func (c *callerConn) linger(wasDropped bool) {
	until := time.Now().Add(lingerTime)
	c.holder.Wait(resource.Idle, time.Now())
	err := errors.Join(c.endAnswer(), c.SetReadDeadline(until))
	if err == nil && wasDropped == c.holder.Dropped() && c.dropArrivals() == nil {
		select {
		case <-c.dropped:
		case <-time.After(time.Until(until)):
		}
	}
	// The caller has the answer or is not going to get it.
	_ = c.end()
}

// dropArrivals reads lingerBytes and drops them. Many connections may linger at once, so its buffer
// is small.
func (c *callerConn) dropArrivals() error {
	buffer := make([]byte, lingerBufferBytes)
	for dropped := 0; dropped < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return err
		}
		c.holder.Arrived(int64(n), time.Now())
		dropped += n
	}
	return nil
}

// beginHead records that what arrives next is a head.
func (c *callerConn) beginHead() {
	c.holder.Shrink(c.headBytes.Swap(0))
	c.headSince.Store(0)
	c.isReadingHead.Store(true)
}

// callerConns tracks callers' connections and closes those that are idle for too long, take too
// long over a head, or are in the way of others. http.Server's own idle timeout is not used because
// the configured timeout can change while the server runs.
// Invariant: a request that was read from a connection closed here is not forwarded.
type callerConns struct {
	budget *resource.Budget
	// unaccounted counts the connections that linger after they were dropped: the budget has
	// given their descriptors to others. It is bounded by maxUnaccounted, unless that is 0.
	unaccounted    atomic.Int64
	maxUnaccounted int

	mu        sync.Mutex
	idleSince map[*callerConn]time.Time
	// reported are the statistics that newRefusals has returned.
	reported resource.Stats
	// closedIdle holds connections that were closed while idle. A request may have been
	// read from one at the same moment.
	closedIdle map[*callerConn]bool
}

func newCallerConns(limits resource.Limits) *callerConns {
	return &callerConns{budget: resource.NewBudget(limits), idleSince: make(map[*callerConn]time.Time), closedIdle: make(map[*callerConn]bool)}
}

// callerListener accepts callers' connections while the budget has room for them. Others are
// closed at once, which tells their callers that no request was read.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.open(nc); c != nil {
			return c, nil
		}
		// The connection is refused; a failure to close changes nothing.
		_ = nc.Close()
	}
}

// boundConns bounds the connections of a server that serves no callers. A connection that waits
// without a request makes room for a new one.
func boundConns(server *http.Server, listener net.Listener, n int) net.Listener {
	conns := newCallerConns(resource.Limits{Descriptors: n})
	server.ConnState = conns.trackState
	return &callerListener{Listener: listener, conns: conns}
}

// open adds a connection to the budget. It returns nil if there is no room.
func (i *callerConns) open(nc net.Conn) *callerConn {
	c := &callerConn{Conn: nc, conns: i, dropped: make(chan struct{})}
	c.holder = i.budget.Open(connBytes, time.Now(), func(p resource.Phase) { i.drop(c, p) })
	if c.holder == nil {
		return nil
	}
	c.beginHead()
	return c
}

// drop ends what a connection waits for in a phase: an idle one is closed, the writing of an answer
// fails, and so does the reading of a body, so that its request is refused.
func (i *callerConns) drop(c *callerConn, p resource.Phase) {
	close(c.dropped)
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, isIdle := i.idleSince[c]; isIdle {
		i.closeIdle(c)
		return
	}
	// A connection that takes no deadline is closed already.
	if p == resource.Sending {
		_ = c.SetDeadline(time.Unix(1, 0))
	} else {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginUnaccountedLinger reports whether one more connection may linger that was dropped.
func (i *callerConns) beginUnaccountedLinger() bool {
	if n := i.unaccounted.Add(1); i.maxUnaccounted > 0 && n > int64(i.maxUnaccounted) {
		i.unaccounted.Add(-1)
		return false
	}
	return true
}

// closeIdle closes an idle connection. Mu must be held.
func (i *callerConns) closeIdle(c *callerConn) {
	delete(i.idleSince, c)
	i.closedIdle[c] = true
	// The server detects the close and drops the connection.
	_ = c.Close()
}

// register registers the metrics of what callers make the process hold.
func (i *callerConns) register(reg prometheus.Registerer) {
	gauge := func(name, help string, read func(resource.Stats) int64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(read(i.budget.Stats())) }))
	}
	counter := func(name, help string, read func(resource.Stats) int64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(read(i.budget.Stats())) }))
	}
	gauge("rhubarbsaddle_caller_connections", "Connections of callers.", func(s resource.Stats) int64 { return int64(s.Connections) })
	gauge("rhubarbsaddle_caller_descriptors", "Descriptors of callers' connections and of the connections to targets for requests in flight.", func(s resource.Stats) int64 { return int64(s.Descriptors) })
	gauge("rhubarbsaddle_caller_bytes", "Memory that callers' connections and requests are charged for.", func(s resource.Stats) int64 { return s.Bytes })
	counter("rhubarbsaddle_callers_dropped_total", "Connections and requests of callers that were dropped to make room for others.", func(s resource.Stats) int64 { return s.Dropped })
	counter("rhubarbsaddle_callers_refused_total", "Connections and demands for memory that were refused for lack of room.", func(s resource.Stats) int64 { return s.Refused })
}

// newRefusals returns the present statistics, and whether callers were refused or dropped since the
// last call.
func (i *callerConns) newRefusals() (resource.Stats, bool) {
	stats := i.budget.Stats()
	i.mu.Lock()
	defer i.mu.Unlock()
	isNew := stats.Dropped != i.reported.Dropped || stats.Refused != i.reported.Refused
	i.reported = stats
	return stats, isNew
}

// addToContext makes the connection of a request and its holder available in the request's context.
func (i *callerConns) addToContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*callerConn)
	if !ok {
		return ctx
	}
	return resource.NewContext(context.WithValue(ctx, connKey{}, c), c.holder)
}

// trackState records the state of a connection; it is the server's ConnState callback.
func (i *callerConns) trackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew:
		i.idleSince[c] = now
	case http.StateIdle:
		i.idleSince[c] = now
		c.holder.Wait(resource.Idle, now)
		c.beginHead()
	case http.StateActive:
		delete(i.idleSince, c)
		c.isReadingHead.Store(false)
		c.holder.Wait(resource.Receiving, now)
	case http.StateClosed, http.StateHijacked:
		delete(i.idleSince, c)
		delete(i.closedIdle, c)
	}
}

// closeIdleBefore closes the connections that have been idle since before cutoff, and
// returns how many it has closed.
func (i *callerConns) closeIdleBefore(cutoff time.Time) int {
	return i.closeWhere(func(_ *callerConn, since time.Time) bool { return since.Before(cutoff) })
}

// closeSlowHeads closes the connections whose head began to arrive before cutoff and is not
// complete, and returns how many it has closed.
func (i *callerConns) closeSlowHeads(cutoff time.Time) int {
	return i.closeWhere(func(c *callerConn, _ time.Time) bool {
		since := c.headSince.Load()
		return since != 0 && since < cutoff.UnixNano()
	})
}

func (i *callerConns) closeWhere(isOver func(c *callerConn, idleSince time.Time) bool) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for c, since := range i.idleSince {
		if isOver(c, since) {
			i.closeIdle(c)
			n++
		}
	}
	return n
}

// rejectClosed aborts requests from connections that were closed as idle while the request
// was being read. Nothing was forwarded, so the caller may safely send it again.
func (i *callerConns) rejectClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*callerConn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		i.mu.Lock()
		closed := i.closedIdle[c]
		i.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler)
		}
		body := &trackedBody{ReadCloser: r.Body, isRead: r.ContentLength == 0}
		r.Body = body
		// The server closes the connection only after the handler has returned.
		defer func() { c.hasUnreadBody.Store(!body.isRead) }()
		next.ServeHTTP(w, r)
	})
}

// trackedBody knows whether a request's body was read to its end.
type trackedBody struct {
	io.ReadCloser
	isRead bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.isRead = true
	}
	return n, err
}
