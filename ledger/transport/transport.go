// Package transport carries calls to ledger members: length-delimited protobuf frames
// over one TCP connection. Many calls may be in flight, and responses come in any order.
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
	// milliseconds apart, and a partitioned one does not respond at all.
	dialTimeout = 250 * time.Millisecond
	// ResponseTimeout is the time without any response, while calls are pending, after which
	// the connection is closed as unresponsive. A disk sync takes milliseconds; a caller is
	// better served by other members than by one that hangs for longer.
	ResponseTimeout = 600 * time.Millisecond
	// callTimeout is the age at which a single pending call fails. A slow member that responds
	// to other calls keeps its connection: closing it would make the peer send all its calls
	// again, and the member slower.
	callTimeout = 2 * time.Second
	// stallCheckPeriod is the time between two checks of the pending calls.
	stallCheckPeriod = 100 * time.Millisecond
	// sendQueueFrames bounds the requests that wait to be written.
	sendQueueFrames = 4096
	bufferBytes     = 16 << 10
	// MaxFrameBytes bounds one received frame.
	MaxFrameBytes = 72 << 20
)

// Causes of failed calls.
var (
	ErrClosed       = errors.New("connection closed")
	ErrUnresponsive = errors.New("no response in time")
	ErrQueueFull    = errors.New("too many requests wait to be written")
)

// Error is a failed call or connection to a member.
type Error struct {
	// Step is dial, accept, send or receive.
	Step string
	// Peer is the address of the member or tunnel.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ledger %s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ResponseFunc receives the response to a call, or its error.
type ResponseFunc func(*ledgerpb.Response, error)

type pendingCall struct {
	done   ResponseFunc
	sentAt time.Time
}

// Conn is one connection to a member.
type Conn struct {
	addr      string
	nc        net.Conn
	sendQueue chan *ledgerpb.Request
	closed    chan struct{}

	mu         sync.Mutex
	seq        uint64
	pending    map[uint64]pendingCall
	receivedAt time.Time
	err        error
}

// Dial connects to the member at addr.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	nc, err := netopt.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &Error{Step: "dial", Peer: addr, Err: err}
	}
	return newConn(nc, addr), nil
}

func newConn(nc net.Conn, addr string) *Conn {
	c := &Conn{
		addr:      addr,
		nc:        nc,
		sendQueue: make(chan *ledgerpb.Request, sendQueueFrames),
		closed:    make(chan struct{}),
		pending:   make(map[uint64]pendingCall),
	}
	go c.writeLoop()
	go c.readLoop()
	go c.closeWhenStalled()
	return c
}

// Closed returns a channel that is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Go sends a request without waiting for the response. Done is called exactly once, from
// another goroutine or, if the connection has ended or its send queue is full, from this
// one. The caller must not use the request again.
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
	c.pending[req.GetSeq()] = pendingCall{done: done, sentAt: time.Now()}
	c.mu.Unlock()
	select {
	case c.sendQueue <- req:
	default:
		c.complete(req.GetSeq(), nil, ErrQueueFull)
	}
}

// Call sends a request and waits for its response.
func (c *Conn) Call(ctx context.Context, req *ledgerpb.Request) (*ledgerpb.Response, error) {
	type result struct {
		response *ledgerpb.Response
		err      error
	}
	done := make(chan result, 1)
	c.Go(req, func(response *ledgerpb.Response, err error) { done <- result{response, err} })
	select {
	case r := <-done:
		return r.response, r.err
	case <-ctx.Done():
		return nil, &Error{Step: "receive", Peer: c.addr, Err: ctx.Err()}
	}
}

// Ping sends a request without content and waits for the response.
func (c *Conn) Ping(ctx context.Context) error {
	_, err := c.Call(ctx, &ledgerpb.Request{Call: &ledgerpb.Request_ReadRecords{ReadRecords: &ledgerpb.ReadRecords{}}})
	return err
}

// Close closes the connection; calls in flight fail with ErrClosed.
func (c *Conn) Close() { c.closeWith(ErrClosed) }

func (c *Conn) writeLoop() {
	err := WriteFrames(c.nc, c.sendQueue, c.closed, func(req *ledgerpb.Request, err error) { c.complete(req.GetSeq(), nil, err) })
	if err != nil {
		c.closeWith(err)
	}
}

func (c *Conn) readLoop() {
	in := bufio.NewReaderSize(c.nc, bufferBytes)
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	for {
		response := &ledgerpb.Response{}
		if err := options.UnmarshalFrom(in, response); err != nil {
			c.closeWith(err)
			return
		}
		c.mu.Lock()
		c.receivedAt = time.Now()
		c.mu.Unlock()
		c.complete(response.GetSeq(), response, nil)
	}
}

// closeWhenStalled fails calls that have waited for callTimeout, and closes the connection
// with ErrUnresponsive when nothing was received for ResponseTimeout while calls are pending.
func (c *Conn) closeWhenStalled() {
	ticker := time.NewTicker(stallCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case now := <-ticker.C:
			stalled, expired := c.checkPending(now)
			if stalled {
				c.closeWith(ErrUnresponsive)
				return
			}
			for _, seq := range expired {
				c.complete(seq, nil, ErrUnresponsive)
			}
		}
	}
}

// checkPending reports whether the connection is unresponsive, and returns the calls that
// have waited for callTimeout.
func (c *Conn) checkPending(now time.Time) (stalled bool, expired []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := now
	for seq, p := range c.pending {
		if p.sentAt.Before(oldest) {
			oldest = p.sentAt
		}
		if now.Sub(p.sentAt) > callTimeout {
			expired = append(expired, seq)
		}
	}
	if c.receivedAt.After(oldest) {
		oldest = c.receivedAt
	}
	return now.Sub(oldest) > ResponseTimeout, expired
}

func (c *Conn) complete(seq uint64, response *ledgerpb.Response, err error) {
	c.mu.Lock()
	p, ok := c.pending[seq]
	delete(c.pending, seq)
	c.mu.Unlock()
	if !ok {
		return
	}
	if err != nil {
		err = &Error{Step: "receive", Peer: c.addr, Err: err}
	}
	p.done(response, err)
}

func (c *Conn) closeWith(cause error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = cause
	unanswered := c.pending
	c.pending = make(map[uint64]pendingCall)
	c.mu.Unlock()
	close(c.closed)
	// The connection is unusable in any case; a failure to close changes nothing.
	_ = c.nc.Close()
	for _, p := range unanswered {
		p.done(nil, &Error{Step: "receive", Peer: c.addr, Err: cause})
	}
}
