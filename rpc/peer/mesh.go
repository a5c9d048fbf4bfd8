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

// DefaultCallTimeout is the time that a peer has to take a batch.
const DefaultCallTimeout = 500 * time.Millisecond

// DeliveryError reports a call to a peer that failed.
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

// Options are the settings of a Mesh.
type Options struct {
	Self core.Node
	// Addr is this process's address for its peers.
	Addr string
	// TLS is nil for plain text.
	TLS *tlsfile.Files
	// CallTimeout bounds one call; zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// OnError, if set, is told of failed calls.
	OnError func(error)
}

// Stats counts messages.
type Stats struct {
	Sent    atomic.Uint64
	Dropped atomic.Uint64
}

// Client is a process's side towards all its peers.
type Client struct {
	options Options
	self    *peerpb.Node
	ctx     context.Context
	cancel  context.CancelFunc
	stats   Stats

	mu    sync.Mutex
	addrs map[string]string
	// listed holds the VMs whose address the VM list gave.
	listed  map[string]bool
	boxes   map[string]*outbox
	readers map[string]*connSlot
}

// NewClient returns a mesh without known peers.
func NewClient(options Options) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		options: options,
		self:    wire.FromNode(options.Self),
		ctx:     ctx,
		cancel:  cancel,
		addrs:   make(map[string]string),
		listed:  make(map[string]bool),
		boxes:   make(map[string]*outbox),
		readers: make(map[string]*connSlot),
	}
}

// Stats returns the counters of the mesh.
func (m *Client) Stats() *Stats { return &m.stats }

// SetAddress records where a VM listens for its peers, as the VM list says.
func (m *Client) SetAddress(vm core.VM, addr string) {
	if vm == "" || addr == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addrs[string(vm)] = addr
	m.listed[string(vm)] = true
}

// SetAdvertisedAddress records where a VM says that it listens, until the VM list tells.
func (m *Client) SetAdvertisedAddress(vm core.VM, addr string) {
	if vm == "" || addr == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed[string(vm)] {
		m.addrs[string(vm)] = addr
	}
}

// Send passes a message to a peer, or drops it if the peer's address is not
// known. It never blocks.
func (m *Client) Send(to core.Node, msg core.Message) {
	env, err := wire.Encode(msg, to.Inc)
	if err != nil {
		m.report(err)
		return
	}
	box := m.box(string(to.VM))
	if box == nil {
		m.stats.Dropped.Add(1)
		return
	}
	box.put(env)
}

// flushPause is the time between two looks at the outboxes.
const flushPause = 5 * time.Millisecond

// Flush waits until every message so far was acknowledged or lost, or ctx is
// done.
func (m *Client) Flush(ctx context.Context) {
	for !m.settled() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushPause):
		}
	}
}

func (m *Client) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, box := range m.boxes {
		if !box.settled() {
			return false
		}
	}
	return true
}

// Close stops all sending and closes all connections.
func (m *Client) Close() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.boxes {
		b.close()
	}
	for _, r := range m.readers {
		r.close()
	}
}

// RemovePeer removes a VM that has ended.
func (m *Client) RemovePeer(vm core.VM) {
	m.mu.Lock()
	box := m.boxes[string(vm)]
	reader := m.readers[string(vm)]
	delete(m.addrs, string(vm))
	delete(m.listed, string(vm))
	delete(m.boxes, string(vm))
	delete(m.readers, string(vm))
	m.mu.Unlock()
	if box != nil {
		box.close()
	}
	if reader != nil {
		reader.close()
	}
}

func (m *Client) box(vm string) *outbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.boxes[vm]; b != nil {
		return b
	}
	if m.addrs[vm] == "" {
		return nil
	}
	b := newOutbox(m, vm)
	m.boxes[vm] = b
	return b
}

func (m *Client) reader(vm string) *connSlot {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.readers[vm]
	if r == nil {
		r = &connSlot{files: m.options.TLS}
		m.readers[vm] = r
	}
	return r
}

func (m *Client) address(vm string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addrs[vm]
}

func (m *Client) report(err error) {
	if m.options.OnError != nil && m.ctx.Err() == nil {
		m.options.OnError(err)
	}
}
