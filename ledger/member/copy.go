package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

const (
	// copyTimeout bounds the copying from one member.
	copyTimeout = 10 * time.Second
	// copyKeys is how many records are asked for at once.
	copyKeys = 2048
)

var errFewSources = errors.New("too few members to copy from")

// recover copies what a quorum knows, so that the member's answers count again.
func (m *Member) recover(ctx context.Context, view ledger.View) error {
	needed := view.CopySources(m.options.DisksLost)
	copied := 0
	for _, seat := range view.Seats {
		if seat.Name == m.options.Name || !seat.Ready {
			continue
		}
		records, err := m.copyFrom(ctx, seat, view.Version)
		if err != nil {
			m.log.Warn().Str("event", "copy_failed").Str("peer", seat.Name).Err(err).Msg("")
			continue
		}
		copied++
		m.log.Info().Str("event", "copied").Str("peer", seat.Name).Int("records", records).Msg("")
	}
	if copied < needed {
		return &Error{Step: "copy", Peer: fmt.Sprintf("%d of %d members", copied, needed), Err: errFewSources}
	}
	if err := m.mark(identity{Member: m.options.Name, Incarnation: m.identity.Incarnation, Complete: true}); err != nil {
		return err
	}
	m.post(ledger.Recovered{})
	m.ready.Store(true)
	m.log.Info().Str("event", "recovered").Int("sources", copied).Msg("")
	return nil
}

// catchUp copies what the others wrote while this member was away. Its answers
// count without, since a quorum of the others knows what it lacks; but each such
// gap would cost readers a question more.
func (m *Member) catchUp(ctx context.Context) {
	if !m.ready.Load() || m.options.FirstStart {
		return
	}
	for ctx.Err() == nil {
		view := m.options.Directory.View()
		if view.Version == 0 {
			ctxwait.For(ctx, seatPeriod)
			continue
		}
		for _, seat := range view.Seats {
			if seat.Name == m.options.Name {
				continue
			}
			records, err := m.copyFrom(ctx, seat, view.Version)
			m.log.Info().Str("event", "caught_up").Str("peer", seat.Name).Int("records", records).Err(err).Msg("")
		}
		return
	}
}

// copyFrom copies the records that another member holds and this one does not.
func (m *Member) copyFrom(ctx context.Context, seat ledger.Seat, version uint64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	conn, keys, status, err := m.list(ctx, seat, version)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if status != ledgerpb.Status_STATUS_OK {
		return 0, &Error{Step: "copy", Peer: seat.Name, Err: fmt.Errorf("status %v", status)}
	}
	missing, err := m.missing(ctx, keys)
	if err != nil {
		return 0, err
	}
	copied := 0
	for len(missing) > 0 {
		batch := missing[:min(copyKeys, len(missing))]
		records, err := fetch(ctx, conn, batch)
		if err != nil {
			return copied, err
		}
		if len(records) == 0 {
			// The rest expired meanwhile.
			return copied, nil
		}
		if err := m.append(ctx, records); err != nil {
			return copied, err
		}
		copied += len(records)
		missing = missing[len(records):]
	}
	return copied, nil
}

// list connects to a member and asks for the keys of its records. Both must act on
// the membership of that version.
func (m *Member) list(ctx context.Context, seat ledger.Seat, version uint64) (*transport.Conn, []uint64, ledgerpb.Status, error) {
	conn, err := transport.Dial(ctx, seat.Addr)
	if err != nil {
		return nil, nil, 0, err
	}
	listed, err := conn.Call(ctx, &ledgerpb.Request{ViewVersion: version, Call: &ledgerpb.Request_ListKeys{ListKeys: &ledgerpb.ListKeys{}}})
	if err != nil {
		conn.Close()
		return nil, nil, 0, err
	}
	m.learn(listed)
	return conn, listed.GetKeys(), listed.GetStatus(), nil
}

// learn takes the membership of a member that refused an older one.
func (m *Member) learn(response *ledgerpb.Response) {
	if response.GetStatus() != ledgerpb.Status_STATUS_STALE_VIEW {
		return
	}
	view, err := ledger.DecodeView(response.GetState().GetView())
	if err != nil {
		m.log.Warn().Str("event", "view_rejected").Err(err).Msg("")
		return
	}
	m.options.Directory.MergeView(view)
}

// missing returns the keys of records that this member does not hold.
func (m *Member) missing(ctx context.Context, keys []uint64) ([]uint64, error) {
	var missing []uint64
	err := m.inspect(ctx, func(r *ledger.Replica) {
		for _, key := range keys {
			if !r.Holds(ledger.Key(key)) {
				missing = append(missing, key)
			}
		}
	})
	if err != nil {
		// The actor may still come to the question.
		return nil, err
	}
	return missing, nil
}

func fetch(ctx context.Context, conn *transport.Conn, keys []uint64) ([]*ledgerpb.Record, error) {
	response, err := conn.Call(ctx, &ledgerpb.Request{Call: &ledgerpb.Request_ReadRecords{ReadRecords: &ledgerpb.ReadRecords{Keys: keys}}})
	if err != nil {
		return nil, err
	}
	if response.GetStatus() != ledgerpb.Status_STATUS_OK {
		return nil, fmt.Errorf("status %v", response.GetStatus())
	}
	records := make([]*ledgerpb.Record, 0, len(response.GetRecords()))
	for _, payload := range response.GetRecords() {
		rec := &ledgerpb.Record{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return nil, err
		}
		records = append(records, rec)
	}
	return records, nil
}

// append stores records at this member and waits until they are durable.
func (m *Member) append(ctx context.Context, records []*ledgerpb.Record) error {
	done := make(chan *ledgerpb.Response, 1)
	m.post(ledger.AppendRequested{RequestID: m.expect(func(r *ledgerpb.Response) { done <- r }), Records: records})
	select {
	case response := <-done:
		if response.GetStatus() == ledgerpb.Status_STATUS_FAILED {
			return &Error{Step: "copy", Peer: m.options.Name, Err: errors.New("the disk refused the records")}
		}
		return nil
	case <-ctx.Done():
		return &Error{Step: "copy", Peer: m.options.Name, Err: ctx.Err()}
	}
}

// handOver gives every member of a set the records that it lacks. All of them must
// act on the membership of that version.
func (m *Member) handOver(ctx context.Context, seats []ledger.Seat, version uint64) error {
	for _, seat := range seats {
		if seat.Name == m.options.Name {
			continue
		}
		handed, err := m.handTo(ctx, seat, version)
		if err != nil {
			return &Error{Step: "hand over", Peer: seat.Name, Err: err}
		}
		m.log.Info().Str("event", "handed_over").Str("peer", seat.Name).Int("records", handed).Msg("")
	}
	return nil
}

// collect copies what the other members of a set hold.
func (m *Member) collect(ctx context.Context, seats []ledger.Seat, version uint64) error {
	for _, seat := range seats {
		if seat.Name == m.options.Name {
			continue
		}
		if _, err := m.copyFrom(ctx, seat, version); err != nil {
			return &Error{Step: "collect", Peer: seat.Name, Err: err}
		}
	}
	return nil
}

// handTo gives one member what it lacks.
func (m *Member) handTo(ctx context.Context, seat ledger.Seat, version uint64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	conn, keys, status, err := m.list(ctx, seat, version)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if status != ledgerpb.Status_STATUS_OK && status != ledgerpb.Status_STATUS_RECOVERING {
		return 0, fmt.Errorf("status %v", status)
	}
	lacking, err := m.locations(ctx, keys)
	if err != nil {
		return 0, err
	}
	handed := 0
	for len(lacking) > 0 {
		n, err := m.hand(ctx, conn, lacking, version)
		if err != nil {
			return handed, err
		}
		handed += n
		lacking = lacking[n:]
	}
	return handed, nil
}

// locations returns where the records lie that are not among the keys.
func (m *Member) locations(ctx context.Context, keys []uint64) ([]ledger.Location, error) {
	known := make(map[ledger.Key]bool, len(keys))
	for _, key := range keys {
		known[ledger.Key(key)] = true
	}
	var locations []ledger.Location
	if err := m.inspect(ctx, func(r *ledger.Replica) { locations = r.LocationsExcept(known) }); err != nil {
		// The actor may still come to the question.
		return nil, err
	}
	return locations, nil
}

// hand sends the first records, as many as one frame takes, and returns how many
// that were.
func (m *Member) hand(ctx context.Context, conn *transport.Conn, lacking []ledger.Location, version uint64) (int, error) {
	var records []*ledgerpb.Record
	size := 0
	for _, at := range lacking {
		rec, err := m.readRecord(at)
		if err != nil {
			return 0, err
		}
		records = append(records, rec)
		if size += proto.Size(rec); size > maxBatchBytes {
			break
		}
	}
	response, err := conn.Call(ctx, &ledgerpb.Request{ViewVersion: version, Call: &ledgerpb.Request_Append{Append: &ledgerpb.Append{Records: records}}})
	if err != nil {
		return 0, err
	}
	if status := response.GetStatus(); status != ledgerpb.Status_STATUS_OK && status != ledgerpb.Status_STATUS_RECOVERING {
		return 0, fmt.Errorf("status %v", status)
	}
	return len(records), nil
}
