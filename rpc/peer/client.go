package peer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/tlsfile"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/wire"
)

// DefaultCallTimeout is the time within which a peer must acknowledge a batch.
const DefaultCallTimeout = 500 * time.Millisecond

// DeliveryError reports a failed call to a peer.
type DeliveryError struct {
	Step string
	// Peer is the VM that was called.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *DeliveryError) Error() string { return fmt.Sprintf("%s to %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *DeliveryError) Unwrap() error { return e.Err }

// Options are the settings of a Client.
type Options struct {
	Self core.Node
	// Addr is the address at which peers reach this process.
	Addr string
	// TLS is nil for plain text.
	TLS *tlsfile.Files
	// CallTimeout bounds the delivery of a batch and a call of FetchConfig; zero
	// means DefaultCallTimeout.
	CallTimeout time.Duration
	// OnError, if set, is called with the error of each failed call.
	OnError func(error)
}

// Stats counts messages. Sent counts the messages that peers have acknowledged;
// Dropped counts those that the client has discarded.
type Stats struct {
	Sent    atomic.Uint64
	Dropped atomic.Uint64
}

// Client sends messages to all peers of a process and reads answers,
// conversations and the configuration from them. It is safe for concurrent use.
type Client struct {
	options Options
	self    *peerpb.Node
	ctx     context.Context
	cancel  context.CancelFunc
	stats   Stats

	mu    sync.Mutex
	addrs map[string]string
	// listedVMs holds the VMs whose address is from the VM list.
	listedVMs map[string]bool
	outboxes  map[string]*outbox
	// callConns holds the connections for all requests except message delivery.
	callConns map[string]*connHolder
}

// NewClient returns a client without peers; SetAddress and SetAdvertisedAddress
// add them.
func NewClient(options Options) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		options:   options,
		self:      wire.FromNode(options.Self),
		ctx:       ctx,
		cancel:    cancel,
		addrs:     make(map[string]string),
		listedVMs: make(map[string]bool),
		outboxes:  make(map[string]*outbox),
		callConns: make(map[string]*connHolder),
	}
}

// Stats returns the counters of the client.
func (c *Client) Stats() *Stats { return &c.stats }

// SetAddress sets the address at which a VM listens for its peers, according to
// the VM list.
func (c *Client) SetAddress(vm core.VM, addr string) {
	if vm == "" || addr == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrs[string(vm)] = addr
	c.listedVMs[string(vm)] = true
}

// SetAdvertisedAddress sets the address that a VM has reported about itself. It has
// no effect once SetAddress has been called for the VM.
func (c *Client) SetAdvertisedAddress(vm core.VM, addr string) {
	if vm == "" || addr == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listedVMs[string(vm)] {
		c.addrs[string(vm)] = addr
	}
}

// Send queues a message for a peer, or drops it if the peer's address is not
// known. It never blocks.
func (c *Client) Send(to core.Node, msg core.Message) {
	env, err := wire.Encode(msg, to.Inc)
	if err != nil {
		c.reportError(err)
		return
	}
	box := c.outboxFor(string(to.VM))
	if box == nil {
		c.stats.Dropped.Add(1)
		return
	}
	box.enqueue(env)
}

// flushPollInterval is the interval at which Flush checks the outboxes.
const flushPollInterval = 5 * time.Millisecond

// Flush waits until every message has been acknowledged or dropped, or ctx is
// done.
func (c *Client) Flush(ctx context.Context) {
	for !c.isSettled() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushPollInterval):
		}
	}
}

func (c *Client) isSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, box := range c.outboxes {
		if !box.isSettled() {
			return false
		}
	}
	return true
}

// Close stops all sending and closes all connections.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.outboxes {
		b.close()
	}
	for _, holder := range c.callConns {
		holder.close()
	}
}

// RemovePeer removes a VM that no longer exists and closes the connections to it.
func (c *Client) RemovePeer(vm core.VM) {
	c.mu.Lock()
	box := c.outboxes[string(vm)]
	holder := c.callConns[string(vm)]
	delete(c.addrs, string(vm))
	delete(c.listedVMs, string(vm))
	delete(c.outboxes, string(vm))
	delete(c.callConns, string(vm))
	c.mu.Unlock()
	if box != nil {
		box.close()
	}
	if holder != nil {
		holder.close()
	}
}

func (c *Client) outboxFor(vm string) *outbox {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.outboxes[vm]; b != nil {
		return b
	}
	if c.addrs[vm] == "" {
		return nil
	}
	b := newOutbox(c, vm)
	c.outboxes[vm] = b
	return b
}

func (c *Client) callConn(vm string) *connHolder {
	c.mu.Lock()
	defer c.mu.Unlock()
	holder := c.callConns[vm]
	if holder == nil {
		holder = &connHolder{files: c.options.TLS}
		c.callConns[vm] = holder
	}
	return holder
}

func (c *Client) address(vm string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[vm]
}

func (c *Client) reportError(err error) {
	if c.options.OnError != nil && c.ctx.Err() == nil {
		c.options.OnError(err)
	}
}
