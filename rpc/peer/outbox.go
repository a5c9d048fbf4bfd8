package peer

import (
	"context"
	"errors"
	"sync"

	"connectrpc.com/connect"

	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

const (
	// maxQueued bounds the messages that wait for one peer; more are dropped.
	maxQueued = 16384
	// maxBatch bounds the messages of one call.
	maxBatch = 512
)

// outbox sends the messages for one VM, one batch at a time. A message is sent
// at once when no batch is under way; those that arrive meanwhile make up the
// next batch.
type outbox struct {
	mesh *Mesh
	vm   string
	slot connSlot

	mu     sync.Mutex
	queue  []*peerpb.Envelope
	active bool
}

func (o *outbox) put(env *peerpb.Envelope) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) >= maxQueued {
		o.mesh.count(&o.mesh.stats.Dropped, 1)
		return
	}
	o.queue = append(o.queue, env)
	if !o.active {
		o.active = true
		go o.run()
	}
}

// take removes the next batch; an empty one ends the run.
func (o *outbox) take() []*peerpb.Envelope {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.queue), maxBatch)
	if n == 0 {
		o.active = false
		o.queue = nil
		return nil
	}
	batch := o.queue[:n:n]
	o.queue = o.queue[n:]
	return batch
}

func (o *outbox) run() {
	for {
		batch := o.take()
		if batch == nil {
			return
		}
		o.send(batch)
	}
}

// send delivers one batch. A call without an answer in time discards the
// connection and is repeated once over a fresh one.
func (o *outbox) send(batch []*peerpb.Envelope) {
	req := &peerpb.DeliverRequest{
		From:        o.mesh.self,
		FromAddress: o.mesh.options.Addr,
		Messages:    batch,
	}
	for range 2 {
		addr := o.mesh.address(o.vm)
		if addr == "" {
			break
		}
		retry, err := o.try(addr, req)
		if err == nil {
			o.mesh.count(&o.mesh.stats.Sent, uint64(len(batch)))
			return
		}
		o.mesh.report(&DeliveryError{Step: "deliver", Peer: o.vm, Err: err})
		if !retry {
			break
		}
	}
	o.mesh.count(&o.mesh.stats.Dropped, uint64(len(batch)))
}

func (o *outbox) try(addr string, req *peerpb.DeliverRequest) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(o.mesh.ctx, o.mesh.options.CallTimeout)
	defer cancel()
	c := o.slot.get(addr)
	_, err = c.client.Deliver(ctx, req)
	if err == nil {
		return false, nil
	}
	o.slot.discard(c)
	silent := errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded
	return silent, err
}
