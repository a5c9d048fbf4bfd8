package quorum

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

const (
	// redialMin and redialMax bound the pause between two connection attempts.
	// They stay well under the time in which a member that is back has to serve.
	redialMin = 50 * time.Millisecond
	redialMax = 400 * time.Millisecond
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
	stop context.CancelFunc

	mu     sync.Mutex
	conn   *transport.Conn
	parked []call
}

func newLink(seat ledger.Seat) *link {
	ctx, stop := context.WithCancel(context.Background())
	l := &link{seat: seat, stop: stop}
	go l.run(ctx)
	return l
}

// run keeps the link connected until ctx ends.
func (l *link) run(ctx context.Context) {
	pause := redialMin
	for ctx.Err() == nil {
		conn, err := transport.Dial(ctx, l.seat.Addr)
		if err != nil {
			sleep(ctx, pause+rand.N(pause))
			pause = min(2*pause, redialMax)
			continue
		}
		pause = redialMin
		l.connected(conn)
		select {
		case <-conn.Gone():
		case <-ctx.Done():
			conn.Close()
		}
		l.mu.Lock()
		l.conn = nil
		l.mu.Unlock()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
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
