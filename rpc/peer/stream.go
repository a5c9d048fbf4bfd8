package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// maxUnacknowledged bounds the batches that one stream has under way.
const maxUnacknowledged = 64

// link is one open stream of an outbox.
type link struct {
	outbox *outbox
	addr   string
	stream *connect.BidiStreamForClientSimple[peerpb.DeliverRequest, peerpb.DeliverResponse]
	cancel context.CancelCauseFunc
	// acked is signalled on each acknowledgement.
	acked chan struct{}

	mu sync.Mutex
	// pending holds the batches without an acknowledgement, oldest first.
	pending []*batch
	// worked is set by the first acknowledgement.
	worked bool
}

// stream sends over one stream until it ends. What a stream that worked or went
// silent has not acknowledged is sent again over the next one. It reports false
// if the peer could not be reached, so that what waits for it is lost.
func (o *outbox) stream(addr string) bool {
	ctx, cancel := context.WithCancelCause(o.mesh.ctx)
	defer cancel(nil)
	c := o.slot.get(addr)
	stream, err := c.client.Deliver(ctx)
	if err != nil {
		o.slot.discard(c)
		o.mesh.report(&DeliveryError{Step: "deliver", Peer: o.vm, Err: err})
		return false
	}
	l := &link{
		outbox: o,
		addr:   addr,
		stream: stream,
		cancel: cancel,
		acked:  make(chan struct{}, 1),
	}
	var receiving sync.WaitGroup
	receiving.Go(func() { l.receive() })
	l.send(ctx)
	cancel(nil)
	o.slot.discard(c)
	receiving.Wait()
	cause := context.Cause(ctx)
	if o.mesh.ctx.Err() == nil && cause != nil {
		o.mesh.report(&DeliveryError{Step: "deliver", Peer: o.vm, Err: cause})
	}
	if l.worked || errors.Is(cause, errSilent) {
		o.giveBack(l.pending)
		return true
	}
	l.lose()
	return false
}

// errMoved ends a stream to an address that the peer no longer has.
var errMoved = errors.New("the peer has another address")

// send sends batches until the stream fails or goes silent.
func (l *link) send(ctx context.Context) {
	timeout := l.outbox.mesh.options.CallTimeout
	watch := time.NewTicker(timeout / 4)
	defer watch.Stop()
	for {
		if l.room() {
			if b := l.outbox.take(); b != nil {
				if !l.push(b) {
					// The receiving side learns the cause and cancels.
					<-ctx.Done()
					return
				}
				continue
			}
		}
		select {
		case <-l.outbox.ready:
		case <-l.acked:
		case <-watch.C:
			l.check()
		case <-l.outbox.closed:
			l.cancel(nil)
			return
		case <-ctx.Done():
			return
		}
	}
}

// check ends the stream if it is silent or leads to an old address.
func (l *link) check() {
	mesh := l.outbox.mesh
	if l.oldest() > mesh.options.CallTimeout {
		l.cancel(errSilent)
	}
	if mesh.address(l.outbox.vm) != l.addr {
		l.cancel(errMoved)
	}
}

// push sends one batch and reports whether the stream took it. A send that blocks is ended by a timer, since it may
// never end on a silent connection.
func (l *link) push(b *batch) bool {
	b.tries++
	b.sent = time.Now()
	l.mu.Lock()
	l.pending = append(l.pending, b)
	l.mu.Unlock()
	guard := time.AfterFunc(l.outbox.mesh.options.CallTimeout, func() { l.cancel(errSilent) })
	defer guard.Stop()
	err := l.stream.Send(&peerpb.DeliverRequest{
		From:        l.outbox.mesh.self,
		FromAddress: l.outbox.mesh.options.Addr,
		Messages:    b.messages,
	})
	return err == nil
}

// receive takes the acknowledgements, which come in the order of the batches.
func (l *link) receive() {
	for {
		if _, err := l.stream.Receive(); err != nil {
			l.cancel(err)
			return
		}
		l.mu.Lock()
		l.worked = true
		if len(l.pending) > 0 {
			l.outbox.arrived(l.pending[0])
			l.pending = l.pending[1:]
		}
		l.mu.Unlock()
		select {
		case l.acked <- struct{}{}:
		default:
		}
	}
}

func (l *link) room() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) < maxUnacknowledged
}

// oldest returns how long the oldest batch waits for its acknowledgement.
func (l *link) oldest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return 0
	}
	return time.Since(l.pending[0].sent)
}

// lose counts the batches without an acknowledgement as dropped.
func (l *link) lose() {
	l.outbox.mu.Lock()
	defer l.outbox.mu.Unlock()
	for _, b := range l.pending {
		l.outbox.lost(len(b.messages))
	}
}
