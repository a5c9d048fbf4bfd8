package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// maxUnacknowledged bounds the number of unacknowledged batches of one stream.
const maxUnacknowledged = 64

// deliveryStream is one open stream of an outbox.
type deliveryStream struct {
	outbox *outbox
	addr   string
	stream *connect.BidiStreamForClientSimple[peerpb.DeliverRequest, peerpb.DeliverResponse]
	cancel context.CancelCauseFunc
	// ackSignal is signaled on each acknowledgement.
	ackSignal chan struct{}

	mu sync.Mutex
	// pending holds the unacknowledged batches, oldest first.
	pending []*batch
	// hasAck is set on the first acknowledgement.
	hasAck bool
}

// runStream sends messages over one stream until the stream ends. If the peer has
// acknowledged a batch on the stream, or if the stream ended because of the idle
// timeout, the unacknowledged batches are requeued for the next stream. Otherwise
// the peer is unreachable: runStream drops these batches and returns false, so that
// the queued messages are dropped too.
func (o *outbox) runStream(addr string) bool {
	ctx, cancel := context.WithCancelCause(o.client.ctx)
	defer cancel(nil)
	cc := o.holder.get(addr)
	stream, err := cc.service.Deliver(ctx)
	if err != nil {
		o.holder.discard(cc)
		o.client.reportError(&DeliveryError{Step: "deliver", Peer: o.vm, Err: err})
		return false
	}
	s := &deliveryStream{
		outbox:    o,
		addr:      addr,
		stream:    stream,
		cancel:    cancel,
		ackSignal: make(chan struct{}, 1),
	}
	var receiving sync.WaitGroup
	receiving.Go(func() { s.receive() })
	s.send(ctx)
	cancel(nil)
	o.holder.discard(cc)
	receiving.Wait()
	cause := context.Cause(ctx)
	if o.client.ctx.Err() == nil && cause != nil {
		o.client.reportError(&DeliveryError{Step: "deliver", Peer: o.vm, Err: cause})
	}
	if s.hasAck || errors.Is(cause, errIdleTimeout) {
		o.requeue(s.pending)
		return true
	}
	s.dropPending()
	return false
}

// errAddressChanged is the cause when a stream ends because the peer has another
// address.
var errAddressChanged = errors.New("the peer's address has changed")

// send sends batches until the stream fails, its idle timeout expires or the
// outbox is closed.
func (s *deliveryStream) send(ctx context.Context) {
	timeout := s.outbox.client.options.CallTimeout
	ticker := time.NewTicker(timeout / 4)
	defer ticker.Stop()
	for {
		if s.hasCapacity() {
			if b := s.outbox.nextBatch(); b != nil {
				if !s.sendBatch(b) {
					// receive obtains the cause of the failure and cancels ctx with it.
					<-ctx.Done()
					return
				}
				continue
			}
		}
		select {
		case <-s.outbox.ready:
		case <-s.ackSignal:
		case <-ticker.C:
			s.checkHealth()
		case <-s.outbox.closed:
			s.cancel(nil)
			return
		case <-ctx.Done():
			return
		}
	}
}

// checkHealth ends the stream if the oldest batch has waited too long for its
// acknowledgement, or if the peer's address has changed.
func (s *deliveryStream) checkHealth() {
	client := s.outbox.client
	if s.oldestWait() > client.options.CallTimeout {
		s.cancel(errIdleTimeout)
	}
	if client.address(s.outbox.vm) != s.addr {
		s.cancel(errAddressChanged)
	}
}

// sendBatch sends one batch and reports whether that succeeded. A timer ends a
// send that blocks, which on an unresponsive connection might never return.
func (s *deliveryStream) sendBatch(b *batch) bool {
	b.tries++
	b.sent = time.Now()
	s.mu.Lock()
	s.pending = append(s.pending, b)
	s.mu.Unlock()
	timer := time.AfterFunc(s.outbox.client.options.CallTimeout, func() { s.cancel(errIdleTimeout) })
	defer timer.Stop()
	err := s.stream.Send(&peerpb.DeliverRequest{
		From:        s.outbox.client.self,
		FromAddress: s.outbox.client.options.Addr,
		Messages:    b.messages,
	})
	return err == nil
}

// receive handles the acknowledgements, which arrive in the order of the batches.
func (s *deliveryStream) receive() {
	for {
		if _, err := s.stream.Receive(); err != nil {
			s.cancel(err)
			return
		}
		s.mu.Lock()
		s.hasAck = true
		if len(s.pending) > 0 {
			s.outbox.countSent(s.pending[0])
			s.pending = s.pending[1:]
		}
		s.mu.Unlock()
		select {
		case s.ackSignal <- struct{}{}:
		default:
		}
	}
}

func (s *deliveryStream) hasCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) < maxUnacknowledged
}

// oldestWait returns how long the oldest batch has waited for its acknowledgement.
func (s *deliveryStream) oldestWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return 0
	}
	return time.Since(s.pending[0].sent)
}

// dropPending counts the unacknowledged batches as dropped.
func (s *deliveryStream) dropPending() {
	s.outbox.mu.Lock()
	defer s.outbox.mu.Unlock()
	for _, b := range s.pending {
		s.outbox.countDropped(len(b.messages))
	}
}
