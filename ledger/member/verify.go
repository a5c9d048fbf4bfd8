package member

import (
	"cmp"
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/segment"
)

const (
	// verifyDelay is the time after the start before the records on the disk are
	// verified, so that this does not compete with the restart of the other processes.
	verifyDelay = 15 * time.Second
	// verifyBytesPerSecond bounds the rate at which records are verified.
	verifyBytesPerSecond = 4 << 20
)

// verifyDisk verifies the records on the disk once, verifyDelay after the start.
func (m *Member) verifyDisk(ctx context.Context) {
	ctxwait.Sleep(ctx, verifyDelay)
	m.verifyRecords(ctx)
}

// verifyRecords reads all stored records, since a member reads only their index when it
// starts. Damaged records are then copied from other members.
func (m *Member) verifyRecords(ctx context.Context) {
	var locations []ledger.Location
	if err := m.inspect(ctx, func(r *ledger.Replica) { locations = r.LocationsExcept(nil) }); err != nil {
		return
	}
	slices.SortFunc(locations, func(a, b ledger.Location) int {
		return cmp.Or(cmp.Compare(a.Segment, b.Segment), cmp.Compare(a.Offset, b.Offset))
	})
	// The burst admits the largest record. It is used up first, so that the rate also holds
	// at the beginning.
	limiter := rate.NewLimiter(verifyBytesPerSecond, segment.MaxRecordBytes)
	limiter.AllowN(time.Now(), segment.MaxRecordBytes)
	damaged := 0
	for _, at := range locations {
		if err := limiter.WaitN(ctx, int(at.Length)); err != nil {
			return
		}
		_, err := m.read(at)
		switch {
		case errors.Is(err, segment.ErrDamaged):
			damaged++
		case err != nil && !errors.Is(err, os.ErrNotExist):
			// A segment whose records expired meanwhile no longer exists.
			m.log.Error().Str("event", "read_failed").Err(err).Msg("this record is not verified")
		}
	}
	m.log.Info().Str("event", "disk_verified").Int("records", len(locations)).Int("damaged", damaged).Msg("")
}

// read returns the stored record at a location. If the record is damaged, the member stops
// counting towards a quorum until it has copied the record from other members.
func (m *Member) read(at ledger.Location) ([]byte, error) {
	payload, err := m.disk.Read(at)
	if errors.Is(err, segment.ErrDamaged) {
		m.log.Error().Str("event", "record_damaged").Err(err).Uint32("offset", at.Offset).Msg("copying the record from other members")
		m.damages.Add(1)
		m.post(ledger.Damaged{Locations: []ledger.Location{at}})
	}
	return payload, err
}
