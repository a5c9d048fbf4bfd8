package member

import (
	"bufio"
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

const (
	// acceptRetryDelay is the delay after a failed accept, such as when the process has
	// run out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// maxQueuedResponses bounds the responses of one connection that wait to be written.
	// If there are more, the peer does not read, and the connection is closed.
	maxQueuedResponses = 4096
	// maxQueuedChainBytes is the size of the queued responses of one connection above which
	// requests for chains are rejected. Readers of slow links do not wait for more.
	maxQueuedChainBytes = 1 << 20
	bufferBytes         = 16 << 10
)

// serve handles the calls of one connection until the connection ends.
func (m *Member) serve(ctx context.Context, nc net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The connection is unusable in any case; a failure to close changes nothing.
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	out := make(chan *ledgerpb.Response, maxQueuedResponses)
	queued := &queuedBytes{out: nc, memory: m.memory}
	defer queued.close()
	go func() {
		defer cancel()
		err := transport.WriteFrames(queued, out, ctx.Done(), func(response *ledgerpb.Response, err error) {
			queued.add(-proto.Size(response))
			// The caller gets no response and tries another member.
			m.log.Error().Str("event", "answer_not_encoded").Err(err).Msg("")
		})
		if err != nil {
			m.log.Debug().Str("event", "connection_lost").Str("peer", nc.RemoteAddr().String()).Err(err).Msg("")
		}
	}()
	send := func(seq uint64, response *ledgerpb.Response) {
		if response.GetChain() != nil && !queued.hasSpace() {
			m.reads.reject()
			response = &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OVERLOADED}
		}
		response.Seq = seq
		queued.add(proto.Size(response))
		select {
		case out <- response:
		default:
			cancel()
		}
	}
	in := bufio.NewReaderSize(nc, bufferBytes)
	for {
		isAdmitted := false
		req, head, err := transport.ReadRequest(in, func(head transport.RequestHead) bool {
			isAdmitted = m.admit(head)
			return isAdmitted
		})
		if err != nil {
			if isAdmitted {
				m.release(head)
			}
			return
		}
		if req == nil {
			send(head.Seq, &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OVERLOADED})
			continue
		}
		m.handle(ctx, req, func(response *ledgerpb.Response) {
			m.release(head)
			send(req.GetSeq(), response)
		})
	}
}

// admit takes the memory for a large request before it is read, and reports whether there is room.
func (m *Member) admit(head transport.RequestHead) bool {
	if head.Bytes <= largeRequestBytes {
		return true
	}
	share := 1.0
	if head.IsRelay {
		share = relayShare
	}
	return m.memory.acquire(requestCopies*head.Bytes, share)
}

// release gives back the memory of a request that admit has admitted.
func (m *Member) release(head transport.RequestHead) {
	if head.Bytes > largeRequestBytes {
		m.memory.charge(-requestCopies * head.Bytes)
	}
}

// handle handles one call and passes its response to respond, possibly later and from
// another goroutine. Once ctx has ended, the caller can't receive a response any more.
func (m *Member) handle(ctx context.Context, req *ledgerpb.Request, respond func(*ledgerpb.Response)) {
	switch call := req.GetCall().(type) {
	case *ledgerpb.Request_Append:
		if m.isStale(req) {
			respond(m.staleViewResponse())
			return
		}
		m.append(ctx, call.Append, respond)
	case *ledgerpb.Request_AwaitRecords:
		m.awaitRecords(req, call.AwaitRecords.GetKeys(), respond)
	case *ledgerpb.Request_Relay:
		m.relay(call.Relay, respond)
	case *ledgerpb.Request_ReadChain:
		m.readChain(req, call.ReadChain, respond)
	case *ledgerpb.Request_FollowState:
		go m.followState(call.FollowState, respond)
	case *ledgerpb.Request_ListKeys:
		m.listKeys(req, call.ListKeys, respond)
	case *ledgerpb.Request_ReadRetentions:
		m.postUnderView(req, respond, func(requestID uint64) ledger.Event {
			return ledger.RetentionsRequested{RequestID: requestID, Programs: call.ReadRetentions.GetPrograms()}
		})
	case *ledgerpb.Request_ExchangeLoad:
		respond(m.exchangeLoad(call.ExchangeLoad))
	case *ledgerpb.Request_AcquirePermit:
		respond(m.acquirePermit(call.AcquirePermit))
	case *ledgerpb.Request_AcquireQuota:
		respond(m.acquireQuota(call.AcquireQuota))
	case *ledgerpb.Request_ReadRecords:
		m.post(ledger.RecordsRequested{RequestID: m.newRequestID(respond), Keys: call.ReadRecords.GetKeys()})
	default:
		respond(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED})
	}
}

// followState responds with the state of the store as soon as the store has changes
// that the caller lacks, or when the caller's maximum wait is over.
func (m *Member) followState(call *ledgerpb.FollowState, respond func(*ledgerpb.Response)) {
	m.options.Directory.RecordTunnel(call.GetTunnel().GetVm(), call.GetTunnel().GetAddr(), time.Now())
	state, changed := m.options.Directory.ChangesSince(call.GetAfter())
	if changed != nil {
		timer := time.NewTimer(time.Duration(call.GetWaitMs()) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
			state, _ = m.options.Directory.ChangesSince(call.GetAfter())
		case <-timer.C:
		}
	}
	respond(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK, State: state})
}

// exchangeLoad records the load of a process and returns that of all others.
func (m *Member) exchangeLoad(call *ledgerpb.ExchangeLoad) *ledgerpb.Response {
	m.loadMu.Lock()
	defer m.loadMu.Unlock()
	others := m.load.Exchange(call.GetVm(), ledger.DecodeLoadReport(call.GetLoad()), time.Now())
	return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK, Load: ledger.EncodeLoadSummary(others)}
}

// acquirePermit grants the permit for one request to a target with a rate limit. A member that
// has lost the others rejects all, since the processes that it has lost with them get their
// permits from another one.
func (m *Member) acquirePermit(call *ledgerpb.AcquirePermit) *ledgerpb.Response {
	if !m.peers.HasQuorum() {
		return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED}
	}
	m.loadMu.Lock()
	defer m.loadMu.Unlock()
	permit := m.load.Acquire(call.GetTarget(), call.GetPerSecond(), time.Duration(call.GetMaxWaitUs())*time.Microsecond, time.Now())
	return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK, Permit: ledger.EncodePermit(permit)}
}

// acquireQuota grants requests out of an account's quota. A member that has lost the others
// rejects all, like acquirePermit.
func (m *Member) acquireQuota(call *ledgerpb.AcquireQuota) *ledgerpb.Response {
	if !m.peers.HasQuorum() {
		return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED}
	}
	m.loadMu.Lock()
	defer m.loadMu.Unlock()
	grant := m.load.AcquireQuota(ledger.DecodeQuotaAsk(call), time.Now())
	return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK, Quota: ledger.EncodeQuotaGrant(grant)}
}

// listKeys responds with keys of the stored records.
func (m *Member) listKeys(req *ledgerpb.Request, call *ledgerpb.ListKeys, respond func(*ledgerpb.Response)) {
	respondWithDisk := func(response *ledgerpb.Response) {
		response.Incarnation = m.intactIncarnation()
		respond(response)
	}
	m.postUnderView(req, respondWithDisk, func(requestID uint64) ledger.Event {
		return ledger.KeysRequested{RequestID: requestID, Chain: call.GetChain()}
	})
}

// postUnderView posts the event of a request from a member that copies, hands over or expires
// records. That member relies on this one to reject writers with older views, so both must use the
// same view.
func (m *Member) postUnderView(req *ledgerpb.Request, respond func(*ledgerpb.Response), event func(requestID uint64) ledger.Event) {
	known := m.options.Directory.View().Version
	switch {
	case req.GetViewVersion() < known:
		respond(m.staleViewResponse())
	case req.GetViewVersion() > known:
		respond(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED})
	default:
		m.post(event(m.newRequestID(respond)))
	}
}

// readChain responds with a chain of turns. NOT_FOUND is only meaningful to callers that
// use the current view; others get STALE_VIEW instead.
func (m *Member) readChain(req *ledgerpb.Request, call *ledgerpb.ReadChain, respond func(*ledgerpb.Response)) {
	if !m.reads.acquire(0, continuing) {
		respond(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_OVERLOADED})
		return
	}
	stale := m.isStale(req)
	requestID := m.newRequestID(func(response *ledgerpb.Response) {
		m.reads.release(0, 0, time.Time{})
		if stale && response.GetStatus() == ledgerpb.Status_STATUS_NOT_FOUND {
			response = m.staleViewResponse()
		}
		respond(response)
	})
	m.post(ledger.ChainRequested{RequestID: requestID, Turn: call.GetTurn(), MaxBytes: call.GetMaxBytes()})
}

// isStale reports whether the caller uses an older view than this member.
func (m *Member) isStale(req *ledgerpb.Request) bool {
	return req.GetViewVersion() < m.options.Directory.View().Version
}

func (m *Member) staleViewResponse() *ledgerpb.Response {
	m.stats.staleViews.Add(1)
	return &ledgerpb.Response{
		Status: ledgerpb.Status_STATUS_STALE_VIEW,
		State:  &ledgerpb.State{View: m.options.Directory.View().Encode()},
	}
}
