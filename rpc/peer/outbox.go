package peer

import (
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

const (
	// maxQueued bounds the messages that wait for one peer; more are dropped.
	maxQueued = 16384
	// maxBatch bounds the messages of one batch.
	maxBatch = 512
	// maxTries bounds how often a batch is sent.
	maxTries = 2
	// redialPause is the wait after a peer could not be reached.
	redialPause = 20 * time.Millisecond
)

// outbox sends the messages for one VM over one stream. Messages are sent at
// once while the stream takes them; those that arrive meanwhile make up the next
// batch.
type outbox struct {
	mesh *Client
	vm   string
	slot connSlot
	// ready is signalled when there is something to send.
	ready chan struct{}
	// closed ends the outbox.
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	queue []*peerpb.Envelope
	// again holds the batches of a stream that went silent.
	again []*batch
	// pending counts the messages that are neither acknowledged nor lost.
	pending int
}

// batch is a group of messages and how often it was sent.
type batch struct {
	messages []*peerpb.Envelope
	tries    int
	sent     time.Time
}

func newOutbox(m *Client, vm string) *outbox {
	o := &outbox{
		mesh:   m,
		vm:     vm,
		slot:   connSlot{files: m.options.TLS},
		ready:  make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
	go o.run()
	return o
}

func (o *outbox) put(env *peerpb.Envelope) {
	o.mu.Lock()
	full := len(o.queue) >= maxQueued
	if !full {
		o.queue = append(o.queue, env)
		o.pending++
	}
	o.mu.Unlock()
	if full {
		o.mesh.stats.Dropped.Add(1)
		return
	}
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

func (o *outbox) close() {
	o.once.Do(func() { close(o.closed) })
	o.slot.close()
}

// take removes the next batch, or returns nil.
func (o *outbox) take() *batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.again) > 0 {
		b := o.again[0]
		o.again = o.again[1:]
		return b
	}
	n := min(len(o.queue), maxBatch)
	if n == 0 {
		return nil
	}
	b := &batch{messages: o.queue[:n:n]}
	o.queue = o.queue[n:]
	if len(o.queue) == 0 {
		o.queue = nil
	}
	return b
}

// idle reports whether nothing waits to be sent.
func (o *outbox) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue)+len(o.again) == 0
}

// drop loses all that waits.
func (o *outbox) drop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.queue)
	for _, b := range o.again {
		n += len(b.messages)
	}
	o.queue = nil
	o.again = nil
	o.lost(n)
}

// lost counts messages that will not be sent any more; mu must be held.
func (o *outbox) lost(n int) {
	o.pending -= n
	o.mesh.stats.Dropped.Add(uint64(n))
}

// arrived counts the messages of an acknowledged batch.
func (o *outbox) arrived(b *batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending -= len(b.messages)
	o.mesh.stats.Sent.Add(uint64(len(b.messages)))
}

// settled reports whether every message was acknowledged or lost.
func (o *outbox) settled() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending == 0
}

// giveBack takes the batches that a silent stream has not acknowledged.
func (o *outbox) giveBack(batches []*batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range batches {
		if b.tries >= maxTries {
			o.lost(len(b.messages))
			continue
		}
		o.again = append(o.again, b)
	}
}

// run opens a stream whenever there is something to send.
func (o *outbox) run() {
	for {
		if o.idle() {
			select {
			case <-o.ready:
				continue
			case <-o.closed:
				return
			case <-o.mesh.ctx.Done():
				return
			}
		}
		addr := o.mesh.address(o.vm)
		if addr == "" {
			o.drop()
			continue
		}
		if o.stream(addr) {
			continue
		}
		o.drop()
		select {
		case <-time.After(redialPause):
		case <-o.closed:
			return
		case <-o.mesh.ctx.Done():
			return
		}
	}
}
