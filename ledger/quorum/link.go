package quorum

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

const (
	// redialMin and redialMax bound the pause between two connection attempts.
	// They stay well under the time in which a member that is back has to serve.
	redialMin = 50 * time.Millisecond
	redialMax = 400 * time.Millisecond
	// viaTimeout bounds the search for an entry that can reach the member.
	viaTimeout = 500 * time.Millisecond
	// directPeriod is the time between two attempts to reach a member directly
	// that is reached through an entry.
	directPeriod = 2 * time.Second
	// maxParked bounds the calls that wait for a connection; a caller in need of
	// more has other members.
	maxParked = 1024
)

// call is one question to one or more members. Callbacks come from the links'
// goroutines.
type call interface {
	// request returns the frame for a member, or nil if the call is over.
	request() *ledgerpb.Request
	// answered takes a member's answer.
	answered(seat ledger.Seat, response *ledgerpb.Response)
}

// link keeps a connection to one member. Calls that a broken connection leaves
// unanswered are sent again: records are facts, which may be told twice.
type link struct {
	seat ledger.Seat
	// vias returns the entries through which the member may be reached while it
	// cannot be reached directly.
	vias func() []string
	stop context.CancelFunc

	mu   sync.Mutex
	conn *transport.Conn
	// indirect says that the connection goes through an entry.
	indirect bool
	parked   []call
}

func newLink(seat ledger.Seat, vias func() []string) *link {
	ctx, stop := context.WithCancel(context.Background())
	l := &link{seat: seat, vias: vias, stop: stop}
	go l.run(ctx)
	return l
}

// run keeps the link connected until ctx ends.
func (l *link) run(ctx context.Context) {
	wait := redialMin
	for ctx.Err() == nil {
		conn, err := l.dial(ctx)
		if err != nil {
			ctxwait.For(ctx, wait+rand.N(wait))
			wait = min(2*wait, redialMax)
			continue
		}
		wait = redialMin
		l.connected(conn)
		l.hold(ctx, conn)
		l.mu.Lock()
		l.conn, l.indirect = nil, false
		l.mu.Unlock()
	}
}

// dial connects directly or, if that fails, through the first entry that can.
func (l *link) dial(ctx context.Context) (*transport.Conn, error) {
	conn, err := transport.Dial(ctx, l.seat.Addr)
	vias := l.vias()
	if err == nil || len(vias) == 0 {
		return conn, err
	}
	ctx, cancel := context.WithTimeout(ctx, viaTimeout)
	defer cancel()
	won := make(chan *transport.Conn, len(vias))
	for _, entry := range vias {
		go func() {
			conn, err := dialVia(ctx, entry, l.seat.Addr)
			if err != nil {
				conn = nil
			}
			won <- conn
		}()
	}
	for left := len(vias); left > 0; left-- {
		if conn = <-won; conn != nil {
			go closeOthers(won, left-1)
			l.mu.Lock()
			l.indirect = true
			l.mu.Unlock()
			return conn, nil
		}
	}
	return nil, err
}

// closeOthers closes the connections that lost a race.
func closeOthers(conns <-chan *transport.Conn, left int) {
	for range left {
		if conn := <-conns; conn != nil {
			conn.Close()
		}
	}
}

// dialVia connects through an entry. The entry takes connections also for members
// that it cannot reach, so the member has to answer once.
func dialVia(ctx context.Context, entry, addr string) (*transport.Conn, error) {
	conn, err := transport.DialTunnel(ctx, entry, addr)
	if err != nil {
		return nil, err
	}
	if err := conn.Ping(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// hold keeps a connection until it ends. One through an entry is given up as soon
// as the member can be reached directly.
func (l *link) hold(ctx context.Context, conn *transport.Conn) {
	ticker := time.NewTicker(directPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-conn.Closed():
			return
		case <-ctx.Done():
			conn.Close()
			return
		case <-ticker.C:
			if l.isIndirect() && l.reachesDirectly(ctx) {
				conn.Close()
			}
		}
	}
}

func (l *link) isIndirect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.indirect
}

func (l *link) reachesDirectly(ctx context.Context) bool {
	conn, err := transport.Dial(ctx, l.seat.Addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func (l *link) connected(conn *transport.Conn) {
	l.mu.Lock()
	l.conn = conn
	parked := l.parked
	l.parked = nil
	l.mu.Unlock()
	for _, c := range parked {
		l.send(c)
	}
}

// up says whether the link has a connection.
func (l *link) up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// send asks the member, as soon as it is connected.
func (l *link) send(c call) {
	l.mu.Lock()
	conn := l.conn
	if conn == nil {
		l.park(c)
	}
	l.mu.Unlock()
	if conn == nil {
		return
	}
	req := c.request()
	if req == nil {
		return
	}
	conn.Go(req, func(response *ledgerpb.Response, err error) {
		if err != nil {
			l.retry(c)
			return
		}
		c.answered(l.seat, response)
	})
}

// retry sends a call again over the next connection.
func (l *link) retry(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.park(c)
}

// park keeps a call until the link is connected. The caller holds the lock.
func (l *link) park(c call) {
	if len(l.parked) >= maxParked {
		// The oldest calls are the likeliest to be over.
		l.parked = l.parked[1:]
	}
	l.parked = append(l.parked, c)
}
