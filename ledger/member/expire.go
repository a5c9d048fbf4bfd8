package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

// expiryTimeout bounds the question of how long another member stores programs.
const expiryTimeout = time.Second

// expirePrograms asks other members about each ExpiryDue until ctx ends.
func (m *Member) expirePrograms(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-m.expiries:
			m.post(m.askExpiry(ctx, due))
		}
	}
}

// askExpiry asks members in random order until a quorum has answered.
func (m *Member) askExpiry(ctx context.Context, due ledger.ExpiryDue) ledger.ExpiryAnswered {
	view := m.options.Directory.View()
	answered := ledger.ExpiryAnswered{Due: due, Quorum: view.Quorum(m.options.DisksLost), Counts: view.Counts(m.options.Name)}
	needed := answered.Quorum
	if answered.Counts && m.ready.Load() {
		needed--
	}
	seats := view.Counting()
	rand.Shuffle(len(seats), func(i, j int) { seats[i], seats[j] = seats[j], seats[i] })
	for _, seat := range seats {
		if seat.Name == m.options.Name || len(answered.Answers) >= needed {
			continue
		}
		answer, err := m.readRetentions(ctx, seat.Disk(), view.Version, due)
		if err != nil {
			m.log.Warn().Str("event", "expiry_unanswered").Str("peer", seat.Name).Err(err).Msg("asking another member")
			continue
		}
		answered.Answers = append(answered.Answers, answer)
	}
	return answered
}

// readRetentions asks one member about programs whose retention seems to have ended. Like listKeys,
// it relies on that member to use the view with the given version.
func (m *Member) readRetentions(ctx context.Context, disk ledger.Disk, version uint64, due ledger.ExpiryDue) (ledger.ExpiryAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, expiryTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, disk.Addr)
	if err != nil {
		return ledger.ExpiryAnswer{}, err
	}
	defer conn.Close()
	response, err := conn.Call(ctx, &ledgerpb.Request{ViewVersion: version, Call: &ledgerpb.Request_ReadRetentions{ReadRetentions: &ledgerpb.ReadRetentions{Programs: due.Programs}}})
	if err != nil {
		return ledger.ExpiryAnswer{}, err
	}
	m.mergeView(response)
	if status := response.GetStatus(); status != ledgerpb.Status_STATUS_OK || len(response.GetRetentions()) != len(due.Programs) {
		return ledger.ExpiryAnswer{}, &Error{Step: "expire", Peer: disk.Name, Err: fmt.Errorf("status %v with %d of %d programs", status, len(response.GetRetentions()), len(due.Programs))}
	}
	return ledger.ExpiryAnswer{ReceivedAt: time.Now(), Retentions: response.GetRetentions()}, nil
}
