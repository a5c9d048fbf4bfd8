package member

import (
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

const (
	// forwardTimeout is the time in which forwarded records have to arrive: many times that of
	// the two messages between VMs of a region, and short for a caller who waits for a quorum.
	forwardTimeout = 25 * time.Millisecond
	// maxAwaits bounds the requests that wait for forwarded records.
	maxAwaits = 4096
)

// forward sends the records of an append to the members that it names. It returns a function
// that has to be called when the append itself ends; the last of all releases the append.
func (m *Member) forward(call *ledgerpb.Append, size int) (end func()) {
	var remaining atomic.Int64
	remaining.Store(int64(1 + len(call.GetForwardTo())))
	end = func() {
		if remaining.Add(-1) == 0 {
			m.appends.release(size, 0, time.Time{})
		}
	}
	for _, name := range call.GetForwardTo() {
		m.stats.forwards.Add(1)
		m.peers.Forward(name, call.GetRecords(), end)
	}
	return end
}

// awaitRecords responds when records that another member forwards are stored here. Like an
// append, it does not count for a writer whose view is older than this member's; a view that
// changes while it waits counts as well.
func (m *Member) awaitRecords(req *ledgerpb.Request, keys []uint64, respond func(*ledgerpb.Response)) {
	if m.isStale(req) {
		respond(m.staleViewResponse())
		return
	}
	if !m.awaits.acquire(0, finishing) {
		respond(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_OVERLOADED})
		return
	}
	requestID := m.newRequestID(func(response *ledgerpb.Response) {
		m.awaits.release(0, 0, time.Time{})
		switch {
		case response.GetStatus() == ledgerpb.Status_STATUS_NOT_FOUND:
			m.stats.missedForwards.Add(1)
		case m.isStale(req):
			response = m.staleViewResponse()
		}
		respond(response)
	})
	m.post(ledger.RecordsAwaited{RequestID: requestID, Keys: keys})
	time.AfterFunc(forwardTimeout, func() { m.post(ledger.AwaitEnded{RequestID: requestID}) })
}
