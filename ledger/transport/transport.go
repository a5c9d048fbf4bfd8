// Package transport carries ledger calls: length-delimited protobuf frames over
// one TCP connection, many at a time, answered in any order.
package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
)

const (
	// dialTimeout bounds a connection attempt. VMs of a region are a few
	// milliseconds apart; one that is cut off does not answer at all.
	dialTimeout = 250 * time.Millisecond
	// ResponseTimeout is the age of an unanswered call at which the connection is
	// taken as silent. A sync takes milliseconds; a disk that hangs for longer is
	// no use to a caller that waits.
	ResponseTimeout = 600 * time.Millisecond
	// checkPeriod is the time between two looks at the oldest call.
	checkPeriod = 100 * time.Millisecond
	// queuedFrames bounds the calls that wait to be written.
	queuedFrames = 4096
	bufferBytes  = 16 << 10
	// MaxFrameBytes bounds one frame.
	MaxFrameBytes = 72 << 20
)

// Errors of a connection.
var (
	ErrClosed       = errors.New("connection closed")
	ErrUnresponsive = errors.New("no answer in time")
	ErrQueueFull    = errors.New("too many calls wait to be written")
)

// Error is a failure of a call to a member.
type Error struct {
	// Step is dial, send or receive.
	Step string
	// Peer is the member's address.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ledger %s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ResponseFunc takes the answer of a call, or its failure.
type ResponseFunc func(*ledgerpb.Response, error)

type pending struct {
	done ResponseFunc
	sent time.Time
}

// Conn is one connection to a member.
type Conn struct {
	addr string
	nc   net.Conn
	out  chan *ledgerpb.Request
	gone chan struct{}

	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]pending
	err     error
}

// Dial connects to a member.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	nc, err := netopt.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &Error{Step: "dial", Peer: addr, Err: err}
	}
	return newConn(nc, addr), nil
}

func newConn(nc net.Conn, addr string) *Conn {
	c := &Conn{
		addr:    addr,
		nc:      nc,
		out:     make(chan *ledgerpb.Request, queuedFrames),
		gone:    make(chan struct{}),
		waiting: make(map[uint64]pending),
	}
	go c.write()
	go c.read()
	go c.watch()
	return c
}

// Closed is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.gone }

// Go sends a call. Done is called once, from another goroutine or, if the
// connection has ended, from this one. The request must not be used again.
func (c *Conn) Go(req *ledgerpb.Request, done ResponseFunc) {
	c.mu.Lock()
	if c.err != nil {
		err := c.err
		c.mu.Unlock()
		done(nil, &Error{Step: "send", Peer: c.addr, Err: err})
		return
	}
	c.seq++
	req.Seq = c.seq
	c.waiting[req.GetSeq()] = pending{done: done, sent: time.Now()}
	c.mu.Unlock()
	select {
	case c.out <- req:
	default:
		c.finish(req.GetSeq(), nil, ErrQueueFull)
	}
}

// Call sends a call and waits for its answer.
func (c *Conn) Call(ctx context.Context, req *ledgerpb.Request) (*ledgerpb.Response, error) {
	type result struct {
		response *ledgerpb.Response
		err      error
	}
	answer := make(chan result, 1)
	c.Go(req, func(response *ledgerpb.Response, err error) { answer <- result{response, err} })
	select {
	case r := <-answer:
		return r.response, r.err
	case <-ctx.Done():
		return nil, &Error{Step: "receive", Peer: c.addr, Err: ctx.Err()}
	}
}

// Ping asks the member for nothing and waits for its answer.
func (c *Conn) Ping(ctx context.Context) error {
	_, err := c.Call(ctx, &ledgerpb.Request{Call: &ledgerpb.Request_ReadRecords{ReadRecords: &ledgerpb.ReadRecords{}}})
	return err
}

// Close ends the connection; all calls fail.
func (c *Conn) Close() { c.end(ErrClosed) }

func (c *Conn) write() {
	err := WriteFrames(c.nc, c.out, c.gone, func(req *ledgerpb.Request, err error) { c.finish(req.GetSeq(), nil, err) })
	if err != nil {
		c.end(err)
	}
}

func (c *Conn) read() {
	in := bufio.NewReaderSize(c.nc, bufferBytes)
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	for {
		response := &ledgerpb.Response{}
		if err := options.UnmarshalFrom(in, response); err != nil {
			c.end(err)
			return
		}
		c.finish(response.GetSeq(), response, nil)
	}
}

// watch ends a connection that has gone silent.
func (c *Conn) watch() {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-c.gone:
			return
		case now := <-ticker.C:
			if c.oldest(now) > ResponseTimeout {
				c.end(ErrUnresponsive)
				return
			}
		}
	}
}

func (c *Conn) oldest(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Duration(0)
	for _, p := range c.waiting {
		age = max(age, now.Sub(p.sent))
	}
	return age
}

func (c *Conn) finish(seq uint64, response *ledgerpb.Response, err error) {
	c.mu.Lock()
	p, ok := c.waiting[seq]
	delete(c.waiting, seq)
	c.mu.Unlock()
	if !ok {
		return
	}
	if err != nil {
		err = &Error{Step: "receive", Peer: c.addr, Err: err}
	}
	p.done(response, err)
}

func (c *Conn) end(cause error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = cause
	left := c.waiting
	c.waiting = make(map[uint64]pending)
	c.mu.Unlock()
	close(c.gone)
	// The peer sees the end of the connection; a failure to close changes nothing.
	_ = c.nc.Close()
	for _, p := range left {
		p.done(nil, &Error{Step: "receive", Peer: c.addr, Err: cause})
	}
}
