package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

const (
	// copyTimeout bounds copying from, or handing over to, one member.
	copyTimeout = 10 * time.Second
	// maxKeysPerCopy is how many records are requested at once.
	maxKeysPerCopy = 2048
)

var (
	errTooFewSources    = errors.New("too few members to copy from")
	errNotReady         = errors.New("the member is not ready")
	errDamagedMeanwhile = errors.New("another damaged record was found while records were copied")
)

// recover copies the records of the other members, also of those that are not ready. If it could
// copy from enough of them, this member becomes ready, unless another damaged record was found
// meanwhile. The view in the store has its ready seat first: others rely on the disk of that seat,
// and a member that were ready before would respond to writers whose view does not have it in
// the size of a quorum.
func (m *Member) recover(ctx context.Context, view ledger.View) error {
	damages := m.damages.Load()
	copies := m.copySources(ctx, view)
	if m.isRemovedSilent(view, copies) {
		m.log.Warn().Str("event", "removed_given_up").Str("peer", view.Removed.Name).Msg("copying without the seat that was removed")
		view.Removed = nil
	}
	if copied := view.Copied(copies); !view.IsComplete(m.options.Name, m.options.DisksLost, copies) {
		needed := view.CopySources(m.options.Name, m.options.DisksLost)
		return &Error{Step: "copy", Peer: fmt.Sprintf("%d of %d members", copied, needed), Err: errTooFewSources}
	}
	if m.damages.Load() != damages {
		return &Error{Step: "copy", Peer: m.options.Name, Err: errDamagedMeanwhile}
	}
	if hasSeat, err := m.confirmSeat(ctx, view); err != nil || !hasSeat {
		return err
	}
	if err := m.becomeReady(damages); err != nil {
		return err
	}
	m.log.Info().Str("event", "recovered").Int("sources", view.Copied(copies)).Msg("")
	return nil
}

// isRemovedSilent reports whether the member whose seat was removed has not responded for
// unresponsiveAfter, and so counts as one that has ended for good.
func (m *Member) isRemovedSilent(view ledger.View, copies map[string]ledger.Copy) bool {
	if !view.NeedsRemoved() {
		return false
	}
	if _, responds := copies[view.Removed.Name]; responds || m.removedVersion != view.Version {
		m.removedVersion, m.removedHeard = view.Version, time.Now()
	}
	return time.Since(m.removedHeard) > unresponsiveAfter
}

// copySources copies the records of the members that may be sources, and returns what it copied
// by the name of the member, besides this member's own disk.
func (m *Member) copySources(ctx context.Context, view ledger.View) map[string]ledger.Copy {
	copies := map[string]ledger.Copy{m.options.Name: {Incarnation: m.intactIncarnation()}}
	for _, disk := range view.SourceDisks(m.options.Name) {
		copied, records, err := m.copyFrom(ctx, disk, view.Version, nil)
		if err != nil {
			m.log.Warn().Str("event", "copy_failed").Str("peer", disk.Name).Err(err).Msg("")
			continue
		}
		copies[disk.Name] = copied
		m.log.Info().Str("event", "copied").Str("peer", disk.Name).Bool("ready", copied.Ready).Int("records", records).Msg("")
	}
	return copies
}

// becomeReady marks the disk as complete and lets the member count towards quorums, unless more
// damages than those are found.
func (m *Member) becomeReady(damages uint64) error {
	if err := m.setIdentity(identity{Member: m.options.Name, Incarnation: m.identity.Incarnation, Complete: true}); err != nil {
		return err
	}
	m.post(ledger.Recovered{Damages: damages})
	m.ready.Store(true)
	return nil
}

// catchUp copies the records that other members stored while this member was down. The
// member already counts towards a quorum, since a quorum of the other members has these
// records. But each missing turn would cost readers one more request.
func (m *Member) catchUp(ctx context.Context) {
	if !m.ready.Load() || m.options.FirstStart {
		return
	}
	for ctx.Err() == nil {
		view := m.options.Directory.View()
		if view.Version == 0 {
			ctxwait.Sleep(ctx, seatCheckPeriod)
			continue
		}
		for _, seat := range view.Counting() {
			if seat.Name == m.options.Name {
				continue
			}
			_, records, err := m.copyFrom(ctx, seat.Disk(), view.Version, nil)
			m.log.Info().Str("event", "caught_up").Str("peer", seat.Name).Int("records", records).Err(err).Msg("")
		}
		return
	}
}

// copyFrom copies the records that another member has and this one lacks. It returns
// their number. Limiter bounds the bytes per second; it may be nil.
func (m *Member) copyFrom(ctx context.Context, disk ledger.Disk, version uint64, limiter *rate.Limiter) (ledger.Copy, int, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	conn, listed, err := m.listRemoteKeys(ctx, disk, version, "")
	if err != nil {
		return ledger.Copy{}, 0, err
	}
	defer conn.Close()
	copied := ledger.Copy{Incarnation: listed.GetIncarnation(), Ready: listed.GetStatus() == ledgerpb.Status_STATUS_OK}
	records, err := m.copyMissing(ctx, conn, listed.GetKeys(), limiter)
	return copied, records, err
}

// copyMissing copies those of the records with these keys that this member lacks. It returns their
// number.
func (m *Member) copyMissing(ctx context.Context, conn *transport.Conn, keys []uint64, limiter *rate.Limiter) (int, error) {
	missing, err := m.missingKeys(ctx, keys)
	if err != nil {
		return 0, err
	}
	return m.fetchMissing(ctx, conn, missing, limiter)
}

// fetchMissing requests the records with these keys and stores them. It returns their number.
// Members that serve copy with a limiter.
func (m *Member) fetchMissing(ctx context.Context, conn *transport.Conn, missing []uint64, limiter *rate.Limiter) (int, error) {
	copied := 0
	for len(missing) > 0 {
		batch := missing[:min(maxKeysPerCopy, len(missing))]
		records, err := fetchRecords(ctx, conn, batch)
		if err != nil {
			return copied, err
		}
		if len(records) == 0 {
			// The records of this batch have expired in the meantime.
			missing = missing[len(batch):]
			continue
		}
		if err := waitForBytes(ctx, limiter, records); err != nil {
			return copied, err
		}
		if err := m.appendLocally(ctx, records, limiter != nil); err != nil {
			return copied, err
		}
		copied += len(records)
		missing = missing[len(records):]
	}
	return copied, nil
}

// waitForBytes waits until the limiter, if there is one, admits the records.
func waitForBytes(ctx context.Context, limiter *rate.Limiter, records []*ledgerpb.Record) error {
	if limiter == nil {
		return nil
	}
	size := 0
	for _, rec := range records {
		size += proto.Size(rec)
	}
	return limiter.WaitN(ctx, size)
}

// listRemoteKeys connects to a member and requests the keys of its records, or only of those of a
// chain if it is not empty. Both members must use the view with the given version. The other one
// may be ready or recovering.
func (m *Member) listRemoteKeys(ctx context.Context, disk ledger.Disk, version uint64, chain string) (*transport.Conn, *ledgerpb.Response, error) {
	conn, err := transport.Dial(ctx, disk.Addr)
	if err != nil {
		return nil, nil, err
	}
	listed, err := conn.Call(ctx, &ledgerpb.Request{ViewVersion: version, Call: &ledgerpb.Request_ListKeys{ListKeys: &ledgerpb.ListKeys{Chain: chain}}})
	if err == nil {
		m.mergeView(listed)
		if status := listed.GetStatus(); status != ledgerpb.Status_STATUS_OK && status != ledgerpb.Status_STATUS_RECOVERING {
			err = &Error{Step: "copy", Peer: disk.Name, Err: fmt.Errorf("status %v", status)}
		}
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, listed, nil
}

// mergeView adopts the newer view from a response that rejected a request as
// stale.
func (m *Member) mergeView(response *ledgerpb.Response) {
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

// missingKeys returns the keys of the records that this member does not store.
func (m *Member) missingKeys(ctx context.Context, keys []uint64) ([]uint64, error) {
	var missing []uint64
	err := m.inspect(ctx, func(r *ledger.Replica) {
		for _, key := range keys {
			if !r.HasRecord(ledger.Key(key)) {
				missing = append(missing, key)
			}
		}
	})
	if err != nil {
		// The actor may still append to missing.
		return nil, err
	}
	return missing, nil
}

func fetchRecords(ctx context.Context, conn *transport.Conn, keys []uint64) ([]*ledgerpb.Record, error) {
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

// appendLocally stores records at this member and waits until they are durable. AreCopies is that of
// ledger.AppendRequested.
func (m *Member) appendLocally(ctx context.Context, records []*ledgerpb.Record, areCopies bool) error {
	done := make(chan *ledgerpb.Response, 1)
	m.post(ledger.AppendRequested{RequestID: m.newRequestID(func(r *ledgerpb.Response) { done <- r }), Records: records, AreCopies: areCopies})
	select {
	case response := <-done:
		if response.GetStatus() == ledgerpb.Status_STATUS_FAILED {
			return &Error{Step: "copy", Peer: m.options.Name, Err: errors.New("the records could not be written to the disk")}
		}
		return nil
	case <-ctx.Done():
		return &Error{Step: "copy", Peer: m.options.Name, Err: ctx.Err()}
	}
}

// handOver sends this member's records to the other members in seats: to each
// member those that it lacks. All of them must use the view with the given
// version.
func (m *Member) handOver(ctx context.Context, seats []ledger.Seat, version uint64) error {
	for _, seat := range seats {
		if seat.Name == m.options.Name {
			continue
		}
		records, err := m.handOverTo(ctx, seat, version)
		if err != nil {
			return &Error{Step: "hand over", Peer: seat.Name, Err: err}
		}
		m.log.Info().Str("event", "handed_over").Str("peer", seat.Name).Int("records", records).Msg("")
	}
	return nil
}

// copyFromAll copies the records that the other members in seats have and this one
// lacks.
func (m *Member) copyFromAll(ctx context.Context, seats []ledger.Seat, version uint64) error {
	for _, seat := range seats {
		if seat.Name == m.options.Name {
			continue
		}
		copied, _, err := m.copyFrom(ctx, seat.Disk(), version, nil)
		if err == nil && !copied.Ready {
			err = errNotReady
		}
		if err != nil {
			return &Error{Step: "collect", Peer: seat.Name, Err: err}
		}
	}
	return nil
}

// handOverTo sends one member the records that it lacks, and returns their number.
func (m *Member) handOverTo(ctx context.Context, seat ledger.Seat, version uint64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	conn, listed, err := m.listRemoteKeys(ctx, seat.Disk(), version, "")
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	lacking, err := m.locationsExcept(ctx, listed.GetKeys())
	if err != nil {
		return 0, err
	}
	sent := 0
	for len(lacking) > 0 {
		n, err := m.sendBatch(ctx, conn, lacking, version)
		if err != nil {
			return sent, err
		}
		sent += n
		lacking = lacking[n:]
	}
	return sent, nil
}

// locationsExcept returns the locations of the records whose keys are not among keys.
func (m *Member) locationsExcept(ctx context.Context, keys []uint64) ([]ledger.Location, error) {
	known := make(map[ledger.Key]bool, len(keys))
	for _, key := range keys {
		known[ledger.Key(key)] = true
	}
	var locations []ledger.Location
	if err := m.inspect(ctx, func(r *ledger.Replica) { locations = r.LocationsExcept(known) }); err != nil {
		// The actor may still set locations.
		return nil, err
	}
	return locations, nil
}

// sendBatch sends records from the start of lacking, about maxBatchBytes at most, and
// returns their number.
func (m *Member) sendBatch(ctx context.Context, conn *transport.Conn, lacking []ledger.Location, version uint64) (int, error) {
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
