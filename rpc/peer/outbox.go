package peer

import (
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

const (
	// maxQueued bounds the messages queued for one peer; further ones are dropped.
	maxQueued = 16384
	// maxBatch bounds the messages of one batch.
	maxBatch = 512
	// maxTries bounds the number of times that a batch is sent.
	maxTries = 2
	// redialDelay is the wait after a failure to reach a peer.
	redialDelay = 20 * time.Millisecond
)

// outbox queues the messages for one VM and sends them over one stream. Messages
// are sent as soon as the stream accepts them. Messages that are queued while the
// stream is busy form the next batch.
type outbox struct {
	client *Client
	vm     string
	holder connHolder
	// ready is signaled when there is something to send.
	ready chan struct{}
	// closed is a channel that is closed to stop the outbox.
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	queue []*peerpb.Envelope
	// resend holds the batches that were sent on earlier streams and not
	// acknowledged.
	resend []*batch
	// unsettled counts the messages that are neither acknowledged nor dropped.
	unsettled int
}

// batch is a group of messages that are sent and acknowledged together.
type batch struct {
	messages []*peerpb.Envelope
	tries    int
	sent     time.Time
}

func newOutbox(c *Client, vm string) *outbox {
	o := &outbox{
		client: c,
		vm:     vm,
		holder: connHolder{files: c.options.TLS},
		ready:  make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
	go o.run()
	return o
}

func (o *outbox) enqueue(env *peerpb.Envelope) {
	o.mu.Lock()
	full := len(o.queue) >= maxQueued
	if !full {
		o.queue = append(o.queue, env)
		o.unsettled++
	}
	o.mu.Unlock()
	if full {
		o.client.stats.Dropped.Add(1)
		return
	}
	o.wake()
}

func (o *outbox) wake() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

func (o *outbox) close() {
	o.once.Do(func() { close(o.closed) })
	o.holder.close()
}

// nextBatch removes and returns the next batch, or nil if nothing is queued.
func (o *outbox) nextBatch() *batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.resend) > 0 {
		b := o.resend[0]
		o.resend = o.resend[1:]
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

// isIdle reports whether nothing is queued.
func (o *outbox) isIdle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue)+len(o.resend) == 0
}

// dropQueued drops all queued messages.
func (o *outbox) dropQueued() {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.queue)
	for _, b := range o.resend {
		n += len(b.messages)
	}
	o.queue = nil
	o.resend = nil
	o.countDropped(n)
}

// countDropped counts n messages as dropped; mu must be held.
func (o *outbox) countDropped(n int) {
	o.unsettled -= n
	o.client.stats.Dropped.Add(uint64(n))
}

// countSent counts the messages of an acknowledged batch as sent.
func (o *outbox) countSent(b *batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsettled -= len(b.messages)
	o.client.stats.Sent.Add(uint64(len(b.messages)))
}

// isSettled reports whether every message has been acknowledged or dropped.
func (o *outbox) isSettled() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unsettled == 0
}

// requeue queues the unacknowledged batches of a stream to be sent again. It drops
// batches that have been sent maxTries times.
func (o *outbox) requeue(batches []*batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range batches {
		if b.tries >= maxTries {
			o.countDropped(len(b.messages))
			continue
		}
		o.resend = append(o.resend, b)
	}
}

// run sends messages until the outbox or the client is closed. It opens a stream
// whenever there is something to send. It drops the messages for a peer that cannot
// be reached.
func (o *outbox) run() {
	for {
		if o.isIdle() {
			select {
			case <-o.ready:
				continue
			case <-o.closed:
				return
			case <-o.client.ctx.Done():
				return
			}
		}
		addr := o.client.address(o.vm)
		if addr == "" {
			o.dropQueued()
			continue
		}
		if o.runStream(addr) {
			continue
		}
		o.dropQueued()
		select {
		case <-time.After(redialDelay):
		case <-o.closed:
			return
		case <-o.client.ctx.Done():
			return
		}
	}
}
