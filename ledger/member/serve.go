package member

import (
	"bufio"
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

const (
	// acceptPause is the pause after a failed accept, such as for want of
	// descriptors.
	acceptPause = 50 * time.Millisecond
	// queuedAnswers bounds the answers that wait to be written. A peer that does
	// not read so many loses its connection.
	queuedAnswers = 4096
	bufferBytes   = 16 << 10
	// relayTimeout bounds the wait for a quorum on an entry's behalf. Entries ask
	// another member long before.
	relayTimeout = 1500 * time.Millisecond
)

// serve answers the calls of one connection.
func (m *Member) serve(ctx context.Context, nc net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The peer sees the end; a failure to close changes nothing.
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	out := make(chan *ledgerpb.Response, queuedAnswers)
	go func() {
		defer cancel()
		err := transport.WriteFrames(nc, out, ctx.Done(), func(_ *ledgerpb.Response, err error) {
			// The caller sees no answer and asks another member.
			m.log.Error().Str("event", "answer_not_encoded").Err(err).Msg("")
		})
		if err != nil {
			m.log.Debug().Str("event", "connection_lost").Str("peer", nc.RemoteAddr().String()).Err(err).Msg("")
		}
	}()
	in := bufio.NewReaderSize(nc, bufferBytes)
	options := protodelim.UnmarshalOptions{MaxSize: transport.MaxFrameBytes}
	for {
		req := &ledgerpb.Request{}
		if err := options.UnmarshalFrom(in, req); err != nil {
			return
		}
		seq := req.GetSeq()
		m.handle(req, func(response *ledgerpb.Response) {
			response.Seq = seq
			select {
			case out <- response:
			default:
				cancel()
			}
		})
	}
}

// handle answers one call.
func (m *Member) handle(req *ledgerpb.Request, answer func(*ledgerpb.Response)) {
	switch call := req.GetCall().(type) {
	case *ledgerpb.Request_Append:
		if m.isStale(req) {
			answer(m.staleView())
			return
		}
		m.stats.appends.Add(1)
		m.post(ledger.AppendRequested{RequestID: m.expect(answer), Records: call.Append.GetRecords()})
	case *ledgerpb.Request_Relay:
		go m.relay(call.Relay.GetRecords(), answer)
	case *ledgerpb.Request_ReadChain:
		m.readChain(req, call.ReadChain.GetTurn(), answer)
	case *ledgerpb.Request_FollowState:
		go m.followState(call.FollowState, answer)
	case *ledgerpb.Request_ListKeys:
		m.listKeys(req, answer)
	case *ledgerpb.Request_ReadRecords:
		m.post(ledger.RecordsRequested{RequestID: m.expect(answer), Keys: call.ReadRecords.GetKeys()})
	default:
		answer(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED})
	}
}

// relay stores records at a quorum for an entry.
func (m *Member) relay(records []*ledgerpb.Record, answer func(*ledgerpb.Response)) {
	failed := &ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED}
	if !m.peers.HasQuorum() {
		answer(failed)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	spending, err := m.peers.Append(ctx, records...)
	if err != nil {
		m.log.Warn().Str("event", "relay_failed").Err(err).Msg("the entry asks another member")
		answer(failed)
		return
	}
	response := &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK}
	for _, rec := range records {
		if reservation := rec.GetReservation(); reservation != nil {
			response.Budgets = append(response.Budgets, spending.Budget(reservation.GetProgram()))
		}
	}
	answer(response)
}

// followState answers when there is news of the store, or when the wait is over.
func (m *Member) followState(call *ledgerpb.FollowState, answer func(*ledgerpb.Response)) {
	m.options.Directory.RecordTunnel(call.GetTunnel().GetVm(), call.GetTunnel().GetAddr(), time.Now())
	state, news := m.options.Directory.ChangesSince(call.GetAfter())
	if news != nil {
		timer := time.NewTimer(time.Duration(call.GetWaitMs()) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-news:
			state, _ = m.options.Directory.ChangesSince(call.GetAfter())
		case <-timer.C:
		}
	}
	answer(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK, State: state})
}

// listKeys answers to a member that copies or hands over. It relies on this one to
// refuse writers that act on older memberships, so both must act on the same.
func (m *Member) listKeys(req *ledgerpb.Request, answer func(*ledgerpb.Response)) {
	known := m.options.Directory.View().Version
	switch {
	case req.GetViewVersion() < known:
		answer(m.staleView())
	case req.GetViewVersion() > known:
		answer(&ledgerpb.Response{Status: ledgerpb.Status_STATUS_FAILED})
	default:
		m.post(ledger.KeysRequested{RequestID: m.expect(answer)})
	}
}

// readChain answers with a chain of turns. What this member does not know counts
// only for callers that act on the current membership.
func (m *Member) readChain(req *ledgerpb.Request, turn string, answer func(*ledgerpb.Response)) {
	stale := m.isStale(req)
	ticket := m.expect(func(response *ledgerpb.Response) {
		if stale && response.GetStatus() == ledgerpb.Status_STATUS_NOT_FOUND {
			response = m.staleView()
		}
		answer(response)
	})
	m.post(ledger.ChainRequested{RequestID: ticket, Turn: turn})
}

// isStale says whether the caller acts on an old membership.
func (m *Member) isStale(req *ledgerpb.Request) bool {
	return req.GetViewVersion() < m.options.Directory.View().Version
}

func (m *Member) staleView() *ledgerpb.Response {
	m.stats.staleView.Add(1)
	return &ledgerpb.Response{
		Status: ledgerpb.Status_STATUS_STALE_VIEW,
		State:  &ledgerpb.State{View: m.options.Directory.View().Encode()},
	}
}
