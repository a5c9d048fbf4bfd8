package member

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/segment"
)

const (
	// chainCopyTimeout bounds the copying of one chain.
	chainCopyTimeout = 2 * time.Second
	// repairBytesPerSecond bounds the rate at which a member that serves copies records that it has
	// missed.
	repairBytesPerSecond = 4 << 20
	// repairDelay is the time after a possible loss of appends before the records are copied. What
	// is still on its way arrives meanwhile.
	repairDelay = 2 * time.Second
	// repairPeriod is the least time between two copies of all missed records.
	repairPeriod = 10 * time.Second
	// maxChains bounds the chains that wait to be copied.
	maxChains = 256
	// maxTickGap is the time between two ticks above which the member has not been running.
	maxTickGap = tickPeriod + time.Second
)

func newRepairLimiter() *rate.Limiter {
	return rate.NewLimiter(repairBytesPerSecond, segment.MaxRecordBytes+maxBatchBytes)
}

// recordRepair counts and logs records that were copied because this member had missed them.
func (m *Member) recordRepair(peer string, copied int) {
	if copied == 0 {
		return
	}
	m.stats.repaired.Add(int64(copied))
	m.log.Info().Str("event", "repaired").Str("peer", peer).Int("records", copied).Msg("")
}

// signalMissed makes the member copy records that quorums may have stored without it.
func (m *Member) signalMissed() {
	select {
	case m.missed <- struct{}{}:
	default:
	}
}

// repairMissed copies the records that the member has missed while it served, until ctx ends.
func (m *Member) repairMissed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.missed:
		}
		ctxwait.Sleep(ctx, repairDelay)
		view := m.options.Directory.View()
		for _, seat := range view.Counting() {
			if seat.Name == m.options.Name || !m.ready.Load() || ctx.Err() != nil {
				continue
			}
			_, copied, err := m.copyFrom(ctx, seat.Disk(), view.Version, m.repairLimiter)
			if err != nil {
				m.log.Warn().Str("event", "repair_failed").Str("peer", seat.Name).Err(err).Msg("a quorum has the records")
			}
			m.recordRepair(seat.Name, copied)
		}
		ctxwait.Sleep(ctx, repairPeriod-repairDelay)
	}
}

// copyChains copies what the chains of appended turns lack, until ctx ends.
func (m *Member) copyChains(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case turn := <-m.chains:
			m.copyChain(ctx, turn)
		}
	}
}

// copyChain copies a turn and its chain from the members that have them.
func (m *Member) copyChain(ctx context.Context, turn string) {
	ctx, cancel := context.WithTimeout(ctx, chainCopyTimeout)
	defer cancel()
	view := m.options.Directory.View()
	for _, seat := range view.Counting() {
		isStored := false
		err := m.inspect(ctx, func(r *ledger.Replica) { isStored = r.HasChain(turn) })
		if err != nil || isStored {
			return
		}
		if seat.Name == m.options.Name {
			continue
		}
		copied, err := m.copyChainFrom(ctx, seat.Disk(), view.Version, turn)
		if err != nil {
			m.log.Warn().Str("event", "repair_failed").Str("peer", seat.Name).Str("turn", turn).Err(err).Msg("asking another member")
		}
		m.recordRepair(seat.Name, copied)
	}
}

func (m *Member) copyChainFrom(ctx context.Context, disk ledger.Disk, version uint64, turn string) (int, error) {
	conn, listed, err := m.listRemoteKeys(ctx, disk, version, turn)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	return m.copyMissing(ctx, conn, listed.GetKeys(), m.repairLimiter)
}

// tick posts the periodic event of the replica, and notices when records may have been missed.
func (m *Member) tick(ctx context.Context) {
	last, wasConnected := time.Now(), true
	ctxwait.Every(ctx, tickPeriod, func(time.Time) {
		m.post(ledger.Tick{})
		isConnected := m.peers.IsConnected()
		if time.Since(last) > maxTickGap || isConnected && !wasConnected {
			m.signalMissed()
		}
		last, wasConnected = time.Now(), isConnected
	})
}
