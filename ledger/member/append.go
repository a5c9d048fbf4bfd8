package member

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// relayTimeout bounds how long a member waits for a quorum on behalf of an entry. Entries
// try another member long before it expires.
const relayTimeout = 1500 * time.Millisecond

// append stores records at this member for a peer, and forwards them if the peer asks for it.
func (m *Member) append(ctx context.Context, call *ledgerpb.Append, respond func(*ledgerpb.Response)) {
	size := proto.Size(call)
	if !m.appends.acquire(size, finishing) {
		m.signalMissed()
		respond(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_OVERLOADED})
		return
	}
	m.stats.appends.Add(1)
	end := m.forward(call, size)
	requestID := m.newRequestID(func(response *ledgerpb.Response) {
		end()
		response.Forwards = true
		respond(response)
	})
	m.post(peerAppend{ctx: ctx, AppendRequested: ledger.AppendRequested{RequestID: requestID, Records: call.GetRecords()}})
}

// peerAppend is an append for a peer whose connection ends with ctx.
type peerAppend struct {
	ledger.AppendRequested
	ctx context.Context
}

// relay stores records at a quorum for an entry.
func (m *Member) relay(call *ledgerpb.Relay, respond func(*ledgerpb.Response)) {
	size := proto.Size(call)
	if !m.relays.acquire(size, urgencyOf(call.GetRecords())) {
		respond(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_OVERLOADED})
		return
	}
	began := time.Now()
	go func() {
		response := m.relayToQuorum(call.GetRecords())
		now := time.Now()
		m.relays.release(size, now.Sub(began), now)
		respond(response)
	}()
}

// relayToQuorum appends records at a quorum and returns the response to the entry.
func (m *Member) relayToQuorum(records []*ledgerpb.Record) *ledgerpb.Response {
	if !m.peers.HasQuorum() {
		return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED}
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	spending, err := m.peers.Append(ctx, records...)
	if err != nil {
		m.log.Warn().Str("event", "relay_failed").Err(err).Msg("the entry tries another member")
		return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED}
	}
	response := &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK}
	for _, rec := range records {
		if reservation := rec.GetReservation(); reservation != nil {
			response.Budgets = append(response.Budgets, spending.Budget(reservation.GetProgram()))
		}
	}
	return response
}
