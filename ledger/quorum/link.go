package quorum

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

const (
	// minRedialDelay and maxRedialDelay bound the delay between two connection attempts,
	// before jitter of up to as much again. The delay grows by redialGrowth with each failed
	// attempt: slowly, since all processes may start within half a second of each other, and
	// callers wait until the members are connected.
	minRedialDelay = 25 * time.Millisecond
	maxRedialDelay = 400 * time.Millisecond
	redialGrowth   = 1.15
	// stalledRetryDelay is how long a member whose calls have failed without a response is asked
	// last.
	stalledRetryDelay = 500 * time.Millisecond
	// tunnelDialTimeout bounds the search for an entry whose tunnel reaches the member.
	tunnelDialTimeout = 500 * time.Millisecond
	// directProbePeriod is the time between two attempts to reach a member directly
	// while the link uses a tunnel.
	directProbePeriod = 2 * time.Second
	// maxTunnelsPerDial bounds the tunnels that are tried at once. The next attempt tries
	// others. Every entry may look for a tunnel at the same time, so trying all tunnels
	// would cost the square of the number of entries.
	maxTunnelsPerDial = 3
	// maxQueuedCalls bounds the calls of one link that wait for a connection. If there
	// are more, the link drops the oldest call, which can then only be completed by the
	// other members.
	maxQueuedCalls = 1024
)

// call is one request to one or more members. Its methods are called from the
// goroutines of the links.
type call interface {
	// request returns the frame to send to a member, or nil if the call has ended.
	request(seat ledger.Seat) *ledgerpb.Request
	// handleResponse handles a member's response.
	handleResponse(seat ledger.Seat, response *ledgerpb.Response)
}

// link maintains a connection to one member. Calls that were in flight on a lost
// connection are sent again, which is safe: records are facts, and appending one twice
// has the effect of appending it once.
type link struct {
	seat ledger.Seat
	// tunnels returns the addresses of the entries' tunnels, through which the member may
	// be reached when it cannot be reached directly.
	tunnels func() []string
	stop    context.CancelFunc

	mu   sync.Mutex
	conn *transport.Conn
	// isTunneled means that the connection goes through a tunnel.
	isTunneled bool
	queued     []call
	// hasForwarding means that the member has shown on this connection that it forwards records.
	hasForwarding bool
	// completedAt is when the member last completed a call that may be hedged, and waiting the
	// number of such calls without a response, which it has had since waitingSince.
	completedAt, waitingSince time.Time
	waiting                   int
	// failedAt is when such a call last failed without a response, zero once one has completed.
	failedAt time.Time
}

func newLink(seat ledger.Seat, tunnels func() []string) *link {
	ctx, stop := context.WithCancel(context.Background())
	l := &link{seat: seat, tunnels: tunnels, stop: stop}
	go l.run(ctx)
	return l
}

// run connects the link and reconnects it after each lost connection, until ctx ends.
func (l *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		conn, err := l.dial(ctx)
		if err != nil {
			ctxwait.Sleep(ctx, delay+rand.N(delay))
			delay = nextRedialDelay(delay)
			continue
		}
		delay = minRedialDelay
		l.setConn(conn)
		l.waitUntilClosed(ctx, conn)
		l.mu.Lock()
		l.conn, l.isTunneled = nil, false
		l.mu.Unlock()
	}
}

func nextRedialDelay(delay time.Duration) time.Duration {
	return min(time.Duration(redialGrowth*float64(delay)), maxRedialDelay)
}

// dial connects directly or, if that fails, through the first tunnel that reaches the
// member.
func (l *link) dial(ctx context.Context) (*transport.Conn, error) {
	conn, err := transport.Dial(ctx, l.seat.Addr)
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		// A VM that refuses connections is reachable, and its member is down.
		return conn, err
	}
	tunnels := sampleTunnels(l.tunnels())
	if len(tunnels) == 0 {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	dialed := make(chan *transport.Conn, len(tunnels))
	for _, tunnel := range tunnels {
		go func() {
			conn, err := dialTunnel(ctx, tunnel, l.seat.Addr)
			if err != nil {
				conn = nil
			}
			dialed <- conn
		}()
	}
	for remaining := len(tunnels); remaining > 0; remaining-- {
		if conn = <-dialed; conn != nil {
			go closeLosers(dialed, remaining-1)
			l.mu.Lock()
			l.isTunneled = true
			l.mu.Unlock()
			return conn, nil
		}
	}
	return nil, err
}

// sampleTunnels returns up to maxTunnelsPerDial random tunnels.
func sampleTunnels(all []string) []string {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxTunnelsPerDial)]
}

// closeLosers closes the connections that were established after the first one.
func closeLosers(conns <-chan *transport.Conn, remaining int) {
	for range remaining {
		if conn := <-conns; conn != nil {
			conn.Close()
		}
	}
}

// dialTunnel connects through an entry's tunnel. An entry accepts connections even for
// members that it cannot reach, so the member has to respond to a ping first.
func dialTunnel(ctx context.Context, tunnel, addr string) (*transport.Conn, error) {
	conn, err := transport.DialTunnel(ctx, tunnel, addr)
	if err != nil {
		return nil, err
	}
	if err := conn.Ping(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// waitUntilClosed blocks until the connection or ctx ends. It closes a tunneled
// connection once the member can be reached directly.
func (l *link) waitUntilClosed(ctx context.Context, conn *transport.Conn) {
	ticker := time.NewTicker(directProbePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-conn.Closed():
			return
		case <-ctx.Done():
			conn.Close()
			return
		case <-ticker.C:
			if l.usesTunnel() && l.canDialDirectly(ctx) {
				conn.Close()
			}
		}
	}
}

func (l *link) usesTunnel() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isTunneled
}

func (l *link) canDialDirectly(ctx context.Context) bool {
	conn, err := transport.Dial(ctx, l.seat.Addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func (l *link) setConn(conn *transport.Conn) {
	l.mu.Lock()
	l.conn, l.hasForwarding = conn, false
	queued := l.queued
	l.queued = nil
	l.mu.Unlock()
	for _, c := range queued {
		l.send(c)
	}
}

// isConnected reports whether the link has a connection.
func (l *link) isConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// rank orders links by preference, the best ones first.
func (l *link) rank() int {
	switch {
	case !l.isConnected():
		return 2
	case l.isStalled():
		return 1
	}
	return 0
}

// send sends the call to the member, at once or as soon as the link is connected.
func (l *link) send(c call) { l.sendExceptOn(c, nil) }

// sendExceptOn sends the call on the current connection, or queues it if there is none
// or if it is failed, the connection that the call was already sent on. The link may have
// connected again before the call's failure is handled; the call must not be queued then,
// since only the next connection sends queued calls.
func (l *link) sendExceptOn(c call, failed *transport.Conn) {
	l.mu.Lock()
	conn := l.conn
	if conn == nil || conn == failed {
		l.enqueue(c)
		conn = nil
	}
	l.mu.Unlock()
	if conn == nil {
		return
	}
	req := c.request(l.seat)
	if req == nil {
		return
	}
	l.recordSent(c)
	conn.Go(req, func(response *ledgerpb.Response, err error) {
		l.recordEnd(c, response)
		l.recordForwarding(conn, response)
		if err != nil {
			l.sendExceptOn(c, conn)
			return
		}
		c.handleResponse(l.seat, response)
	})
}

// mayBeHedged reports whether a call may be sent to another member instead. Other calls need
// neither the member's disk nor a quorum, so they do not show whether it is stalled.
func mayBeHedged(c call) bool {
	switch c.(type) {
	case *relayCall, *readCall:
		return true
	}
	return false
}

func (l *link) recordSent(c call) {
	if !mayBeHedged(c) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting++; l.waiting == 1 {
		l.waitingSince = time.Now()
	}
}

// recordEnd records the response to a call; nil if there is none.
func (l *link) recordEnd(c call, response *ledgerpb.Response) {
	if !mayBeHedged(c) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	switch response.GetStatus() {
	case ledgerpb.Status_STATUS_UNSPECIFIED:
		l.failedAt = time.Now()
	case ledgerpb.Status_STATUS_OK, ledgerpb.Status_STATUS_PARTIAL, ledgerpb.Status_STATUS_NOT_FOUND:
		l.completedAt, l.failedAt = time.Now(), time.Time{}
	}
}

// recordForwarding records whether the member at the other end of a connection forwards records.
// Earlier versions do not.
func (l *link) recordForwarding(conn *transport.Conn, response *ledgerpb.Response) {
	if !response.GetForwards() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.hasForwarding = true
	}
}

// knowsForwarding reports whether the member is connected and forwards records.
func (l *link) knowsForwarding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil && l.hasForwarding
}

// sendOnce sends a request on the current connection, if there is one. Done is called once,
// whatever becomes of the request.
func (l *link) sendOnce(req *ledgerpb.Request, done func()) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		done()
		return
	}
	conn.Go(req, func(*ledgerpb.Response, error) { done() })
}

// isStalled reports whether the member has completed none of its calls for lateHedgeDelay. After
// calls have failed, one at a time finds out whether it completes calls again.
func (l *link) isStalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failedAt.IsZero() {
		return l.waiting > 0 || time.Since(l.failedAt) < stalledRetryDelay
	}
	since := l.waitingSince
	if l.completedAt.After(since) {
		since = l.completedAt
	}
	return l.waiting > 0 && time.Since(since) > lateHedgeDelay
}

// completedSince reports whether the member has completed a call since a time.
func (l *link) completedSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completedAt.After(t)
}

// enqueue queues a call until the link is connected. The caller must hold l.mu.
func (l *link) enqueue(c call) {
	if len(l.queued) >= maxQueuedCalls {
		// The oldest calls are the most likely to have ended.
		l.queued = l.queued[1:]
	}
	l.queued = append(l.queued, c)
}
